/// @file
/// Cancellation of work in progress, such as a request whose caller disconnected.
#pragma once

#include <functional>
#include <utility>

namespace masticshunt::fleet {

/// A cancellation request. The code that does the work registers the action that stops it.
///
/// Thread safety: none.
class cancellation {
 public:
  /// Requests cancellation and runs the registered action. Further calls do nothing.
  void request() {
    if (std::exchange(requested_, true)) return;
    if (auto action = std::exchange(action_, nullptr)) action();
  }
  /// Returns true once cancellation was requested.
  [[nodiscard]] bool requested() const { return requested_; }
  /// Registers the action that stops the work. Runs it at once if cancellation was requested.
  void on_request(std::function<void()> action) {
    if (requested_) return action();
    action_ = std::move(action);
  }
  /// Removes the registered action.
  void clear() { action_ = nullptr; }

 private:
  bool requested_ = false;
  std::function<void()> action_;
};

}  // namespace masticshunt::fleet
