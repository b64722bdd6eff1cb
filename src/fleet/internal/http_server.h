/// @file
/// Takes requests over HTTP/1.1, several at once from one connection, and answers in order.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "fleet/internal/body_pipe.h"
#include "fleet/internal/cancellation.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::fleet {

using fields = boost::beast::http::fields;
using request_head = boost::beast::http::header<true, fields>;
using answer_head = boost::beast::http::header<false, fields>;

/// What a request is answered with.
struct server_answer {
  unsigned status = 200;
  std::string headers;              ///< Header lines, each ended by CR LF; no framing.
  std::string text;                 ///< The body, unless there is a pipe.
  std::shared_ptr<body_pipe> body;  ///< May still be filling.
  bool close = false;               ///< The connection ends with this answer.
  bool abort = false;               ///< The connection ends without an answer.
};

/// One request. The handler calls `respond` once, at any time.
class server_request {
 public:
  request_head head;
  std::shared_ptr<body_pipe> body;
  time_point arrived;
  std::string sender;  ///< The other side's IP address.
  cancellation left;   ///< Requested when the sender's connection has ended.

  /// Answers the request; only the first call counts.
  void respond(server_answer with) {
    if (answered_) return;
    answered_ = true;
    answer_ = std::move(with);
    if (on_answer_) on_answer_();
  }
  /// Asks for the body if its sender waits for that; where bodies are asked for by the handler.
  void send_continue() {
    if (auto ask = std::exchange(on_send_continue_, nullptr)) ask();
  }
  /// Returns true while the sender holds the body back until it is asked for.
  [[nodiscard]] bool awaits_continue() const { return on_send_continue_ != nullptr; }
  /// Returns true once it was answered.
  [[nodiscard]] bool answered() const { return answered_; }

 private:
  friend class server_session;
  server_answer answer_;
  bool answered_ = false;
  bool keep_alive_ = true;
  bool http_1_0_ = false;
  bool is_head_ = false;
  bool begun_ = false;
  bool chunked_ = false;
  std::function<void()> on_answer_;
  std::function<void()> on_send_continue_;
};

using request_handler = std::function<void(std::shared_ptr<server_request>)>;

/// Limits of a server's connections.
struct server_limits {
  std::uint32_t header_bytes = 16'384;
  std::uint64_t body_bytes = 67'108'864;
  duration header_timeout = std::chrono::seconds{3};
  duration idle_timeout = std::chrono::seconds{15};
  std::size_t pipelined_max = 32;
  bool handler_sends_continue = false;  ///< Else every body is asked for at once.
  duration user_timeout = std::chrono::seconds{4};
};

class server_session;

/// Listens at one address.
///
/// Life cycle: construct, `start`; `stop_accepting` closes the listener, and every later answer
/// closes its connection; call `sweep` a few times a second.
/// Thread safety: none.
class http_server {
 public:
  http_server(const boost::asio::any_io_executor& executor, request_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Listens at `address`. Returns an empty text, or why that failed.
  std::string start(const endpoint& address);
  /// Takes no new connections.
  void stop_accepting();
  /// Ends connections after their current requests, and idle ones at once.
  void close_gracefully();
  /// Ends connections that are over their limits.
  void sweep(time_point now);
  /// Takes limits into force for everything from now on.
  void set_limits(const server_limits& limits) { limits_ = limits; }

  [[nodiscard]] const server_limits& limits() const { return limits_; }
  [[nodiscard]] bool closing() const { return closing_; }
  /// Returns the requests that are not answered yet.
  [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
  [[nodiscard]] std::size_t connections() const { return sessions_.size(); }

 private:
  friend class server_session;
  void accept_next();

  boost::asio::any_io_executor executor_;
  request_handler handler_;
  server_limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<server_session>> sessions_;
  std::size_t open_requests_ = 0;
  bool closing_ = false;
};

/// Returns the endpoint that `text` ("IP:PORT") names; port 0 with an error set if it is none.
boost::asio::ip::tcp::endpoint tcp_endpoint(const endpoint& text, boost::system::error_code& error);

}  // namespace masticshunt::fleet
