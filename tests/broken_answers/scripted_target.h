/// @file
/// An upstream that answers with scripted bytes and ends the connection as told.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>
#include <vector>

#include "fleet/internal/http_server.h"

namespace masticshunt::testing {

/// What a scripted target does with the connection after its answer.
enum class ending {
  reset,       ///< Resets it.
  half_close,  ///< Ends its own side, and reads on.
  close,       ///< Closes it with what was not read, which resets it if there is any.
  keep,        ///< Keeps it, and reads on.
  serve_next   ///< Keeps it, and answers the next request on it.
};

/// The answer to each request; `ID` in `bytes` stands for the id of the request.
struct scripted_answer {
  std::string bytes;
  ending end = ending::keep;
  duration pause{};             ///< Between the answer and the end.
  std::size_t reads_first = 0;  ///< Bytes of the request's body that it reads before it answers.
  bool trickles = false;        ///< Sends byte by byte.
  std::string late_bytes;       ///< Sent after the pause.
};

/// Reads the head of each request, and answers by its script. Thread safety: none.
class scripted_target {
 public:
  scripted_target(boost::asio::io_context& context, const endpoint& address) : context_(context) {
    listen(address);
  }
  /// Listens at a further address.
  void listen(const endpoint& address) {
    boost::system::error_code error;
    const auto local = fleet::tcp_endpoint(address, error);
    boost::asio::ip::tcp::acceptor acceptor(context_, local.protocol());
    acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(local);
    acceptor.listen();
    boost::asio::co_spawn(context_, accept(std::move(acceptor)), boost::asio::detached);
  }
  void answer_with(scripted_answer answer) { answer_ = std::move(answer); }
  /// Returns how many requests for a path with `part` have arrived.
  [[nodiscard]] std::size_t arrived(std::string_view part) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        heads_, [part](const std::string& each) { return each.find(part) != each.npos; }));
  }

  /// Returns how many connections have been opened to it.
  [[nodiscard]] std::size_t connections() const { return connections_; }

 private:
  using socket = boost::asio::ip::tcp::socket;
  inline static const scripted_answer healthy{
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", ending::close};

  static std::string field_of(const std::string& head, const std::string& name) {
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) return {};
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
  }

  static bool is_health_check(const std::string& head) { return head.starts_with("GET /health"); }

  boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor acceptor) {
    for (;;) {
      auto accepted = co_await acceptor.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(context_, serve(std::move(accepted)), boost::asio::detached);
    }
  }
  boost::asio::awaitable<void> serve(socket connection) {
    ++connections_;
    auto end = ending::serve_next;
    while (end == ending::serve_next) end = co_await serve_one(connection);
    co_await finish(std::move(connection), end);
  }
  boost::asio::awaitable<ending> serve_one(socket& connection) {
    boost::system::error_code error;
    std::string received;
    const auto head_bytes = co_await boost::asio::async_read_until(
        connection, boost::asio::dynamic_buffer(received), "\r\n\r\n",
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) co_return ending::close;
    const std::string head = received.substr(0, head_bytes);
    heads_.push_back(head);
    std::size_t body_bytes = received.size() - head_bytes;
    const scripted_answer answer = is_health_check(head) ? healthy : answer_;
    while (!error && body_bytes < answer.reads_first)
      body_bytes += co_await read_some(connection, error);
    std::string bytes = answer.bytes;
    if (const auto id = bytes.find("ID"); id != std::string::npos)
      bytes.replace(id, 2, field_of(head, "X-Request-Id"));
    co_await send(connection, bytes, answer.trickles ? 1 : bytes.size());
    boost::asio::steady_timer timer(context_, answer.pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
    if (!answer.late_bytes.empty()) co_await send(connection, answer.late_bytes, bytes.size());
    co_return answer.end;
  }
  boost::asio::awaitable<void> send(socket& connection, std::string_view bytes, std::size_t piece) {
    boost::system::error_code error;
    connection.set_option(boost::asio::ip::tcp::no_delay(true), error);
    boost::asio::steady_timer timer(context_);
    while (!bytes.empty() && !error) {
      co_await boost::asio::async_write(
          connection, boost::asio::buffer(bytes.substr(0, piece)),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      bytes.remove_prefix(std::min(piece, bytes.size()));
      timer.expires_after(std::chrono::microseconds{50});
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
  boost::asio::awaitable<void> finish(socket connection, ending end) {
    boost::system::error_code error;
    if (end == ending::reset)
      connection.set_option(boost::asio::socket_base::linger(true, 0), error);
    // The destructor would end it in order.
    if (end == ending::reset || end == ending::close) connection.close(error);
    if (end == ending::half_close) connection.shutdown(socket::shutdown_send, error);
    while (!error && connection.is_open()) co_await read_some(connection, error);
  }
  static boost::asio::awaitable<std::size_t> read_some(socket& connection,
                                                       boost::system::error_code& error) {
    std::array<char, 64 * 1024> bytes{};
    co_return co_await connection.async_read_some(
        boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }

  boost::asio::io_context& context_;
  scripted_answer answer_;
  std::vector<std::string> heads_;
  std::size_t connections_ = 0;
};

}  // namespace masticshunt::testing
