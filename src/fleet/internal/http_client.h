/// @file
/// An HTTP/1.1 client with a pool of persistent connections.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/internal/body_pipe.h"
#include "fleet/internal/cancellation.h"
#include "fleet/internal/http_server.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::fleet {

/// A connection to another process.
struct client_connection {
  explicit client_connection(const boost::asio::any_io_executor& executor) : socket(executor) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  endpoint to;
  std::uint32_t uses = 0;
  time_point idle_since{};
  time_point received_at{};  ///< When bytes of the peer arrived last.
  duration idle_limit{};
  bool allows_stalls = false;  ///< Its user timeout lasts until the deadline of its exchange.
};
using connection_ptr = std::shared_ptr<client_connection>;

/// Limits of a connection pool.
struct pool_limits {
  duration idle_limit = std::chrono::seconds{8};  ///< Unless the peer announces another.
  duration connect_timeout = std::chrono::milliseconds{400};
  duration user_timeout = std::chrono::milliseconds{1'500};
  std::chrono::seconds keepalive_idle{2};  ///< Idle time before the kernel probes the peer.
  int keepalive_probes = 3;                ///< Unanswered ones, a second apart, end a connection.
  std::size_t idle_max = 64;               ///< Idle connections per endpoint.
};

/// Keeps idle connections per endpoint and reuses the most recently used one first.
///
/// Thread safety: none.
class connection_pool {
 public:
  connection_pool(const boost::asio::any_io_executor& executor, pool_limits limits)
      : executor_(executor), limits_(limits) {}

  /// Returns an idle connection that is still open, or a new one; null if connecting fails, is
  /// cancelled, or is not done by `deadline` or within the pool's `connect_timeout`.
  boost::asio::awaitable<connection_ptr> acquire(endpoint to, time_point deadline,
                                                 cancellation& cancel);
  /// Returns a connection to the pool after a complete exchange.
  void release(connection_ptr connection);
  /// Keeps the connection until `deadline` although the peer reads nothing; ends with `release`.
  void allow_stalls(client_connection& connection, time_point deadline);
  /// Closes connections that have been idle for too long.
  void sweep(time_point now);
  /// Closes the idle connections to `to`.
  void drop_idle(const endpoint& to) { idle_.erase(to); }
  /// Closes the connections to `to` that have been idle since before `when`.
  void drop_idle_since(const endpoint& to, time_point when);
  /// Returns the number of connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const { return opened_; }
  /// Returns the executor of the connections.
  [[nodiscard]] const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  connection_ptr take_idle(const endpoint& to);

  boost::asio::any_io_executor executor_;
  pool_limits limits_;
  std::map<endpoint, std::vector<connection_ptr>> idle_;
  std::uint64_t opened_ = 0;
};

/// A request to send. `head` ends after the last header line; `run_exchange` adds the framing.
struct exchange_request {
  std::string head;
  std::shared_ptr<body_pipe> body;  ///< Null if the request has no body.
  bool is_head = false;             ///< HEAD request: the answer has no body.
  /// If set, answers with another id belong to other requests; the first few of them are skipped.
  std::string id;
  std::string (*id_of)(const answer_head&) = nullptr;
  /// Returns the peer's keep-alive timeout, if the answer announces one.
  std::optional<duration> (*idle_limit_of)(const answer_head&) = nullptr;
  /// If set, the request expects 100 Continue; without it by this time, the body is not sent.
  std::optional<time_point> continue_deadline;
  /// Time limit for the complete answer, or for the first part of a large one.
  time_point deadline;
  /// If set, a request that could not be sent by this time is not sent at all.
  std::optional<time_point> send_before;
};

/// The result of an exchange.
enum class exchange_result {
  answered,       ///< `head` and `body` hold the answer; the body may still be arriving.
  not_connected,  ///< No connection: nothing was sent.
  too_late,       ///< No complete request was sent: `send_before` had passed, or 100 Continue did
                  ///< not arrive in time.
  broken,         ///< The connection was lost after sending, before a complete answer.
  malformed,      ///< The received bytes are not a valid answer.
  timed_out,      ///< The deadline passed after sending.
  cancelled       ///< Cancellation was requested.
};

/// The outcome of an exchange.
struct exchange_outcome {
  exchange_result result = exchange_result::not_connected;
  answer_head head;
  unsigned status = 0;
  std::shared_ptr<body_pipe> body;
  bool reused = false;  ///< The connection had served an exchange before.
  std::string detail;   ///< Explanation for the log.
};

/// Sends a request and receives its answer. Small answers are buffered completely before it
/// returns, so that a truncated answer is an error and not a partial answer.
boost::asio::awaitable<exchange_outcome> run_exchange(connection_pool& pool, endpoint to,
                                                      exchange_request request,
                                                      cancellation& cancel);

}  // namespace masticshunt::fleet
