/// @file
/// The outcome of a request, derived from all of its attempts.
#pragma once

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Combines the outcomes of a request's attempts into the one that the caller receives.
///
/// A request is "not run" only if none of its attempts ran: a last attempt that was refused proves
/// nothing about an earlier one whose connection broke.
/// Usage: `add` the outcome of every unanswered attempt, then call `reported_outcome`.
/// Thread safety: none.
class attempt_history {
 public:
  /// Adds the outcome of an attempt that received no answer.
  void add(outcome ended) { any_may_have_run_ = any_may_have_run_ || ended != outcome::not_run; }

  /// Returns the outcome to report to the caller, given the outcome of the last attempt.
  [[nodiscard]] outcome reported_outcome(outcome last) const {
    return last == outcome::not_run && any_may_have_run_ ? outcome::may_have_run : last;
  }

 private:
  bool any_may_have_run_ = false;
};

}  // namespace masticshunt::requests
