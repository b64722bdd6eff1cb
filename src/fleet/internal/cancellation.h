/// @file
/// The wish that work in progress should end because nobody waits for its result any more.
#pragma once

#include <functional>
#include <utility>

namespace masticshunt::fleet {

/// One wish to cancel; whoever works registers how it is stopped at the moment.
///
/// Thread safety: none.
class cancellation {
 public:
  /// Asks for the end; the registered action runs once.
  void request() {
    if (std::exchange(requested_, true)) return;
    if (auto action = std::exchange(action_, nullptr)) action();
  }
  /// Returns true once the end was asked for.
  [[nodiscard]] bool requested() const { return requested_; }
  /// Registers how the work is stopped from here on; runs it at once if the end was asked for.
  void on_request(std::function<void()> action) {
    if (requested_) return action();
    action_ = std::move(action);
  }
  /// Nothing needs to be stopped any more.
  void clear() { action_ = nullptr; }

 private:
  bool requested_ = false;
  std::function<void()> action_;
};

}  // namespace masticshunt::fleet
