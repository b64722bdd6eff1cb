/// @file
/// A peer that answers with scripted bytes.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>
#include <vector>

#include "masticshunt/base/identity.h"

namespace masticshunt::testing {

/// What a scripted peer does after an answer.
enum class after_answer {
  keep_if_framed,  ///< Keeps the connection if the answer states its length.
  close
};

/// A peer that accepts connections, reads a request head and sends the next scripted answer. An
/// empty answer closes the connection.
struct scripted_peer {
  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<std::string> answers;
  after_answer then = after_answer::keep_if_framed;
  bool repeats_answers = false;  ///< Sends each answer again before the next on its connection.
  int connections = 0;

  scripted_peer(boost::asio::io_context& on, std::vector<std::string> scripted_answers)
      : context(on),
        acceptor(on, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        answers(std::move(scripted_answers)) {
    boost::asio::co_spawn(context, accept(), boost::asio::detached);
  }
  endpoint address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  boost::asio::awaitable<void> accept() {
    for (;;) {
      auto socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
      ++connections;
      boost::asio::co_spawn(context, serve(std::move(socket)), boost::asio::detached);
    }
  }
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket) {
    std::string received;
    std::string last;
    while (!answers.empty()) {
      while (received.find("\r\n\r\n") == std::string::npos) {
        std::array<char, 4096> bytes{};
        const auto got =
            co_await socket.async_read_some(boost::asio::buffer(bytes), boost::asio::use_awaitable);
        received.append(bytes.data(), got);
      }
      received.erase(0, received.find("\r\n\r\n") + 4);
      const std::string answer = answers.front();
      answers.erase(answers.begin());
      if (answer.empty()) co_return;
      const std::string bytes = repeats_answers ? last + answer : answer;
      last = answer;
      co_await boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                        boost::asio::use_awaitable);
      if (then == after_answer::close || answer.find("Content-Length") == std::string::npos)
        co_return;
    }
    co_await socket.async_wait(boost::asio::ip::tcp::socket::wait_error,
                               boost::asio::use_awaitable);
  }
};

}  // namespace masticshunt::testing
