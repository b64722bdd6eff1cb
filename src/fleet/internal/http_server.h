/// @file
/// An HTTP/1.1 server with pipelining: it answers the requests of a connection in their order.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// The answer to a request.
struct server_answer {
  unsigned status = 200;
  std::string headers;              ///< Header lines, each terminated by CR LF, without framing.
  std::string text;                 ///< The body, if `body` is null.
  std::shared_ptr<body_pipe> body;  ///< May still be arriving.
  bool close = false;               ///< Closes the connection after this answer.
  bool abort = false;               ///< Closes the connection without an answer.
};

/// A received request. The handler calls `respond` once, at any time.
class server_request {
 public:
  request_head head;
  std::shared_ptr<body_pipe> body;
  time_point arrived;
  std::string sender;            ///< IP address of the peer.
  std::uint64_t connection = 0;  ///< Identifies the connection among all of this server.
  cancellation cancel;           ///< Requested when the sender disconnects.

  /// Answers the request. Calls after the first have no effect.
  void respond(server_answer answer) {
    if (answered_) return;
    answered_ = true;
    answer_ = std::move(answer);
    if (on_answer_) on_answer_();
  }
  /// Sends 100 Continue if the sender waits for it; for servers with `handler_sends_continue`.
  void send_continue() {
    if (auto send = std::exchange(on_send_continue_, nullptr)) send();
  }
  /// Returns true while the sender waits for 100 Continue before it sends the body.
  [[nodiscard]] bool awaits_continue() const { return on_send_continue_ != nullptr; }
  /// Returns true once the request was answered.
  [[nodiscard]] bool answered() const { return answered_; }
  /// Returns true if the budget has no room for the body, so that the request is to be refused.
  [[nodiscard]] bool over_budget() const { return over_budget_; }
  /// Returns the share of the budget in which the answer is to be counted.
  [[nodiscard]] const requests::budget_share& share() const { return share_; }

 private:
  friend class server_session;
  server_answer answer_;
  bool answered_ = false;
  bool over_budget_ = false;
  requests::budget_share share_;
  bool keep_alive_ = true;
  bool http_1_0_ = false;
  bool is_head_ = false;
  bool started_ = false;
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
  bool handler_sends_continue = false;  ///< Otherwise the server sends 100 Continue itself.
  duration user_timeout = std::chrono::seconds{4};
  /// Beyond it, the connections that have been idle for longest are closed, and further ones if
  /// none is idle.
  std::size_t connections_max = 1'000'000;
};

class server_session;

/// A connection that was closed because others need what it holds.
struct eviction {
  std::string_view why;  ///< "memory" or "connections".
  std::string sender;
  std::uint64_t bytes = 0;
  duration age{};  ///< Since the connection was accepted.
};

/// An address at which no server could listen.
struct listen_failure {
  endpoint address;
  boost::system::error_code why;

  [[nodiscard]] std::string describe() const {
    return "cannot listen at " + address + ": " + why.message();
  }
};

/// Listens at an address and passes each request to the handler.
///
/// Life cycle: construct, call `start`, call `sweep` a few times per second. `stop_accepting`
/// closes the listener; `close_gracefully` closes the connections. Thread safety: none.
class http_server {
 public:
  http_server(const boost::asio::any_io_executor& executor, request_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts to listen at `address`. Returns an empty text, or the reason of a failure.
  std::string start(const endpoint& address);
  /// Starts to listen at `address`, unless it listens already. Returns the reason of a failure,
  /// after which it can be tried again, or nothing.
  std::optional<listen_failure> listen(const endpoint& address);
  /// Sets the callback for connections that can't be accepted; it runs once a second at most.
  void on_accept_failed(std::function<void(const std::string& why)> action) {
    on_accept_failed_ = std::move(action);
  }
  /// Closes the listener.
  void stop_accepting();
  /// Closes idle connections at once, and others after their current requests.
  void close_gracefully();
  /// Closes connections that exceed a time limit.
  void sweep(time_point now);
  /// Counts what is held for the connections in `share`. A request whose body has no
  /// room is passed to `refuse` in place of the handler, or after it, and is to be answered there
  /// at once: it has not been passed on.
  void use_budget(const requests::budget_share& share, request_handler refuse) {
    share_ = share;
    refuse_ = std::move(refuse);
  }
  /// Sets the callback for a connection that is closed because others need what it holds.
  void on_evicted(std::function<void(const eviction&)> action) { on_evicted_ = std::move(action); }
  /// Sets the limits that apply from now on.
  void set_limits(const server_limits& limits) { limits_ = limits; }

  [[nodiscard]] const server_limits& limits() const { return limits_; }
  [[nodiscard]] bool closing() const { return closing_; }
  /// Returns the number of requests whose answers are not complete.
  [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
  /// Returns true if all answers are complete and sent.
  [[nodiscard]] bool idle() const;
  [[nodiscard]] std::size_t connections() const { return sessions_.size(); }

 private:
  friend class server_session;
  void accept_next();
  /// Accepts again after a pause: as long as descriptors are used up, each try fails at once.
  void accept_later(const boost::system::error_code& why);
  /// Makes room for a connection. Returns false if no other can be closed for it.
  bool make_room(time_point now);
  /// Closes connections that make the least progress while the budget is under pressure.
  void relieve_memory(time_point now);
  void evict(const std::shared_ptr<server_session>& session, std::string_view why, time_point now);

  boost::asio::any_io_executor executor_;
  request_handler handler_;
  server_limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::function<void(const std::string& why)> on_accept_failed_;
  time_point next_accept_report_{};
  std::set<std::shared_ptr<server_session>> sessions_;
  requests::budget_share share_;
  request_handler refuse_;
  std::function<void(const eviction&)> on_evicted_;
  std::uint64_t connections_accepted_ = 0;
  std::size_t open_requests_ = 0;
  bool closing_ = false;
};

/// Parses an endpoint of the form "IP:PORT". Sets `error` if it is malformed or its port is
/// not in 1 to 65535.
boost::asio::ip::tcp::endpoint tcp_endpoint(const endpoint& text, boost::system::error_code& error);

}  // namespace masticshunt::fleet
