/// @file
/// Closes a socket at a deadline, so that no operation on it can wait forever.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "masticshunt/base/time.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::agent {

/// Closes the armed socket when its deadline passes.
///
/// Life cycle: `arm`, run operations on the socket, `disarm`; then `fired` returns whether the
/// deadline closed it. While armed, the watchdog must not outlive the socket.
/// Thread safety: none; must be used on the thread that runs the socket's operations.
class socket_watchdog {
 public:
  explicit socket_watchdog(const boost::asio::any_io_executor& executor)
      : state_(std::make_shared<state>(executor)) {}
  ~socket_watchdog() { disarm(); }
  socket_watchdog(const socket_watchdog&) = delete;
  socket_watchdog& operator=(const socket_watchdog&) = delete;

  /// Closes `socket` at `deadline`, unless disarmed or armed again before then.
  void arm(boost::asio::ip::tcp::socket& socket, time_point deadline) {
    state_->watched = &socket;
    const auto remaining = std::max(deadline - boot_now(), duration::zero());
    state_->timer.expires_after(remaining);
    state_->timer.async_wait([state = state_](const boost::system::error_code& error) {
      if (error || state->watched == nullptr) return;
      if (state->timer.expiry() > std::chrono::steady_clock::now()) return;  // Armed again.
      state->fired = true;
      boost::system::error_code ignored;
      state->watched->close(ignored);
      state->watched = nullptr;
    });
  }

  /// Stops watching the socket.
  void disarm() {
    state_->watched = nullptr;
    state_->timer.cancel();
  }

  /// Returns true if the deadline closed the socket.
  [[nodiscard]] bool fired() const { return state_->fired; }

 private:
  struct state {
    explicit state(const boost::asio::any_io_executor& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    boost::asio::ip::tcp::socket* watched = nullptr;
    bool fired = false;
  };
  std::shared_ptr<state> state_;
};

}  // namespace masticshunt::agent
