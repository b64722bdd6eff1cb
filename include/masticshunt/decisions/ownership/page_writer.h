/// @file
/// Writes one page at a time and finds out what became of each write.
#pragma once

#include <optional>
#include <string>

#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// The conditional writes of one group's page.
///
/// A write whose fate is unknown is tried again unchanged: either it takes effect now, or the
/// conflict shows that it, or somebody else's, did before. Until its fate is known, no other write
/// starts.
/// Thread safety: none.
class page_writer {
 public:
  /// What is known of the last write after an answer.
  enum class write_outcome {
    pending,  ///< Not known yet; `due` tries again.
    committed,
    lost,      ///< Somebody else's write came first.
    must_read  ///< Read the page and pass it to `observe_page`.
  };

  /// Returns true if the budget of writes allows another one.
  bool may_start(time_point now);
  /// Starts a write of `next` over the version `expected`. `write_id` names it.
  void start(assignment_page next, std::uint64_t expected, std::string write_id, time_point now);
  /// Returns the write to be sent now, or nothing.
  std::optional<store_write> due(store_call_id call, time_point now);
  /// Takes in the store's answer; those to earlier writes are ignored.
  write_outcome handle_write_result(const store_write_done& answer, jitter_source& jitter,
                                    time_point now);
  /// A page was seen, in the store or from a peer: decides a write in doubt.
  write_outcome observe_page(const assignment_page& page);

  /// Returns true while the fate of a write is unknown.
  [[nodiscard]] bool busy() const { return next_.has_value(); }
  /// Returns true if a call is waiting for its answer.
  [[nodiscard]] bool waiting() const { return waiting_; }
  /// Returns the page being written, or null.
  [[nodiscard]] const assignment_page* next() const { return next_ ? &*next_ : nullptr; }

 private:
  std::optional<assignment_page> next_;
  std::uint64_t expected_ = 0;
  bool waiting_ = false;
  store_call_id call_ = 0;  ///< The call whose answer is awaited.
  time_point retry_at_{};
  double tokens_ = 0;  ///< Writes that the budget allows now.
  time_point refilled_{};
  backoff backoff_;
};

}  // namespace masticshunt::ownership
