/// @file
/// Writes one page at a time and determines the outcome of each write.
#pragma once

#include <optional>
#include <string>

#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// The conditional writes of one group's page.
///
/// A write with an unknown outcome is retried unchanged: either it takes effect now, or the
/// conflict shows that it or another agent's write was committed before. No other write starts
/// until the outcome is known.
///
/// Thread safety: none.
class page_writer {
 public:
  /// Outcome of the last write as far as it is known.
  enum class write_outcome {
    pending,  ///< Unknown; `due` retries.
    committed,
    superseded,  ///< Another agent's write was committed first.
    must_read    ///< Unknown until the page is read and passed to `observe_page`.
  };

  /// Returns true if no write is pending and the write budget allows another one.
  bool may_start(time_point now);
  /// Starts a write of `next` over version `expected`. `write_id` identifies the write.
  void start(assignment_page next, std::uint64_t expected, std::string write_id, time_point now);
  /// Returns the write to send now, or nothing.
  std::optional<store_write> due(store_call_id call, time_point now);
  /// Handles the store's response; responses to earlier calls are ignored.
  write_outcome handle_write_result(const store_write_done& result, jitter_source& jitter,
                                    time_point now);
  /// Resolves a pending write from a page read from the store or received from a peer.
  write_outcome observe_page(const assignment_page& page);

  /// Returns true while the outcome of a write is unknown.
  [[nodiscard]] bool busy() const { return next_.has_value(); }
  /// Returns true while a call awaits its response.
  [[nodiscard]] bool waiting() const { return waiting_; }
  /// Returns the page being written, or null.
  [[nodiscard]] const assignment_page* next() const { return next_ ? &*next_ : nullptr; }

 private:
  std::optional<assignment_page> next_;
  std::uint64_t expected_ = 0;
  bool waiting_ = false;
  store_call_id call_ = 0;  ///< The call that awaits its response.
  time_point retry_at_{};
  double tokens_ = 0;  ///< Remaining tokens of the write budget.
  time_point refilled_{};
  backoff backoff_;
};

}  // namespace masticshunt::ownership
