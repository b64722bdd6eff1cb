/// @file
/// A pool of persistent connections to other processes.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/internal/cancellation.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::fleet {

/// The answers that a peer may send again on a connection, late, where the next one is expected.
///
/// Thread safety: none.
class repeatable_answers {
 public:
  /// Adds an answer to an exchange with `key`. After `until`, no exchange has that key any more.
  void add(std::string key, time_point until, time_point now);
  /// Returns true if an answer to an exchange with `key` was added.
  [[nodiscard]] bool contains(std::string_view key) const;
  /// Returns true if too many answers were added to add another one.
  [[nodiscard]] bool full() const { return answers_.size() >= answers_max; }

 private:
  static constexpr std::size_t answers_max = 64;
  struct answer {
    std::string key;
    time_point until;
  };
  std::vector<answer> answers_;
};

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
  repeatable_answers repeatable;
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
  /// cancelled, or is not done by `deadline` or within the pool's `connect_timeout`. No answer to
  /// an earlier exchange with `answer_key` can arrive on the connection, unless the key is empty.
  boost::asio::awaitable<connection_ptr> acquire(endpoint to, time_point deadline,
                                                 cancellation& cancel,
                                                 std::string_view answer_key = {});
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
  /// Sets the callback for an address that refused a connection: no process listens there.
  void on_refused(std::function<void(const endpoint&)> action) { on_refused_ = std::move(action); }
  /// Returns the number of connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const { return opened_; }
  /// Returns the executor of the connections.
  [[nodiscard]] const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  connection_ptr take_idle(const endpoint& to, std::string_view answer_key);

  boost::asio::any_io_executor executor_;
  pool_limits limits_;
  std::map<endpoint, std::vector<connection_ptr>> idle_;
  std::uint64_t opened_ = 0;
  std::function<void(const endpoint&)> on_refused_;
};

/// Closes a connection at a deadline. The deadline can be moved; destruction disarms it.
class watchdog {
 public:
  watchdog(client_connection& connection, time_point deadline);

  void move(time_point deadline);
  [[nodiscard]] bool expired() const { return expired_; }

 private:
  client_connection& connection_;
  boost::asio::steady_timer timer_;
  bool expired_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace masticshunt::fleet
