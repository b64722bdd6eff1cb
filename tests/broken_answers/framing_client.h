/// @file
/// A caller that judges by HTTP/1.1 framing whether it got a whole answer.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>

#include "fleet/internal/http_server.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::testing {

/// A request, whose body is sent piece by piece while the answer is awaited.
struct caller_request {
  std::string head;            ///< Without the empty line.
  std::size_t body_bytes = 0;  ///< Zero: no body.
  duration pause{};            ///< After each piece of the body.
};

/// What a caller got.
struct caller_answer {
  bool whole = false;  ///< A whole answer by its framing.
  unsigned status = 0;
  std::string body;
  std::string bytes;  ///< All that was received.
  duration took{};

  [[nodiscard]] bool has(std::string_view text) const { return bytes.find(text) != bytes.npos; }
  [[nodiscard]] std::string describe() const {
    return (whole ? "whole, status " : "not whole, status ") + std::to_string(status) + ", " +
           std::to_string(body.size()) + " bytes of body: " + bytes.substr(0, 300);
  }
};

/// Sends one request on a connection of its own. Thread safety: none.
class framing_client {
 public:
  explicit framing_client(boost::asio::io_context& context) : context_(context) {}

  /// Sends `request` to `to` and returns what came until the answer or the connection ended.
  boost::asio::awaitable<caller_answer> ask(endpoint to, caller_request request) {
    const auto began = boot_now();
    auto connection = std::make_shared<socket>(context_);
    boost::system::error_code error;
    connection->connect(fleet::tcp_endpoint(to, error), error);
    boost::asio::co_spawn(context_, send(connection, std::move(request)), boost::asio::detached);
    boost::asio::steady_timer limit(context_, answer_limit);
    limit.async_wait([connection](const auto& cancelled) {
      boost::system::error_code ignored;
      if (!cancelled) connection->close(ignored);
    });
    auto answer = co_await receive(*connection);
    answer.took = boot_now() - began;
    connection->close(error);
    co_return answer;
  }

 private:
  using socket = boost::asio::ip::tcp::socket;
  static constexpr duration answer_limit = std::chrono::seconds{8};
  static constexpr std::size_t piece_bytes = 16 * 1024;

  boost::asio::awaitable<void> send(std::shared_ptr<socket> connection, caller_request request) {
    boost::system::error_code error;
    std::string bytes = request.head;
    if (request.body_bytes > 0)
      bytes += "Content-Length: " + std::to_string(request.body_bytes) + "\r\n";
    bytes += "\r\n";
    boost::asio::steady_timer timer(context_);
    for (std::size_t left = request.body_bytes;;) {
      co_await boost::asio::async_write(
          *connection, boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error || left == 0) co_return;
      bytes.assign(std::min(left, piece_bytes), 'u');
      left -= bytes.size();
      if (request.pause == duration{}) continue;
      timer.expires_after(request.pause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
  static boost::asio::awaitable<caller_answer> receive(socket& connection) {
    namespace http = boost::beast::http;
    caller_answer answer;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    std::array<char, 16 * 1024> bytes{};
    std::string unread;
    boost::system::error_code error;
    while (!parser.is_done()) {
      const auto got = co_await connection.async_read_some(
          boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error == boost::asio::error::eof && parser.is_header_done() && parser.need_eof()) {
        error = {};
        parser.put_eof(error);
      }
      if (error) break;
      answer.bytes.append(bytes.data(), got);
      unread.append(bytes.data(), got);
      while (!unread.empty() && !parser.is_done() && !error)
        unread.erase(0, parser.put(boost::asio::buffer(unread), error));
      if (error == http::error::need_more) error = {};
      if (error) break;
    }
    answer.whole = parser.is_done();
    answer.status = parser.is_header_done() ? parser.get().result_int() : 0;
    answer.body = parser.get().body();
    co_return answer;
  }

  boost::asio::io_context& context_;
};

}  // namespace masticshunt::testing
