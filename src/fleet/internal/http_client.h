/// @file
/// Sends requests over kept connections and takes the answers.
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
  duration idle_limit{};
};
using connection_ptr = std::shared_ptr<client_connection>;

/// Limits of a pool.
struct pool_limits {
  duration idle_limit = std::chrono::seconds{8};  ///< Unless the other side states a shorter one.
  duration connect_timeout = std::chrono::milliseconds{400};
  duration user_timeout = std::chrono::milliseconds{1'500};
  std::size_t idle_max = 64;  ///< For each endpoint.
};

/// Keeps idle connections by endpoint; the last one used goes first.
///
/// Thread safety: none.
class connection_pool {
 public:
  connection_pool(const boost::asio::any_io_executor& executor, pool_limits limits)
      : executor_(executor), limits_(limits) {}

  /// Returns an idle connection that is still sound, or a new one; null if none can be had before
  /// `deadline`.
  boost::asio::awaitable<connection_ptr> acquire(endpoint to, time_point deadline,
                                                 cancellation& left);
  /// Takes a connection back after a complete exchange.
  void release(connection_ptr connection);
  /// Ends idle connections that are too old.
  void sweep(time_point now);
  /// Ends the idle connections to `to`.
  void drop_idle(const endpoint& to) { idle_.erase(to); }
  /// Returns how many connections were opened.
  [[nodiscard]] std::uint64_t connections_opened() const { return opened_; }
  /// Returns the executor that connections live on.
  [[nodiscard]] const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  connection_ptr take_idle(const endpoint& to);

  boost::asio::any_io_executor executor_;
  pool_limits limits_;
  std::map<endpoint, std::vector<connection_ptr>> idle_;
  std::uint64_t opened_ = 0;
};

/// What to send. `head` ends after the last header line; framing lines are added.
struct exchange_request {
  std::string head;
  std::shared_ptr<body_pipe> body;  ///< Null: no body.
  bool is_head = false;             ///< The answer has no body.
  std::string id;  ///< If set, an answer that states another id belongs to another request.
  std::string (*id_of)(const answer_head&) = nullptr;
  /// How long the other side keeps the connection open idle, if it states that.
  std::optional<duration> (*idle_limit_of)(const answer_head&) = nullptr;
  /// If set: the other side is to ask for the body until then, or nothing of it is sent.
  std::optional<time_point> continue_deadline;
  time_point deadline;  ///< For the whole answer, or its first part if it is large.
  /// If set: what could not be sent by then is not sent at all.
  std::optional<time_point> send_before;
};

/// How an exchange ended.
enum class exchange_result {
  answered,       ///< `head` and `body` hold the answer; the body may still be filling.
  not_connected,  ///< Nothing was sent: there is no connection.
  too_late,       ///< Nothing that could run was sent: `send_before` had passed, or the body was
                  ///< not asked for.
  broken,         ///< The connection ended after sending, before a whole answer.
  malformed,      ///< What came is no answer.
  timed_out,      ///< The deadline passed after sending.
  cancelled       ///< Nobody waits any more.
};

/// An exchange's end.
struct exchange_outcome {
  exchange_result result = exchange_result::not_connected;
  answer_head head;
  unsigned status = 0;
  std::shared_ptr<body_pipe> body;
  bool reused = false;  ///< The connection had served an exchange before.
  std::string detail;   ///< Why, for the log.
};

/// Carries out one exchange. Small answers are held whole before it returns, so that a cut-off
/// answer is an error and not half an answer.
boost::asio::awaitable<exchange_outcome> run_exchange(connection_pool& pool, endpoint to,
                                                      exchange_request request, cancellation& left);

}  // namespace masticshunt::fleet
