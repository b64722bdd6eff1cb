/// @file
/// What all attempts of one request together allow the caller to be told.
#pragma once

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Folds the outcomes of a request's attempts into the one that is told.
///
/// A request is "not run" only if none of its attempts ran: a last attempt that was refused proves
/// nothing about an earlier one whose connection broke.
/// Life cycle: `add` the outcome of every unanswered attempt, then ask `reported_outcome`.
/// Thread safety: none.
class attempt_history {
 public:
  /// Adds the outcome of an attempt that brought no answer.
  void add(outcome what) { any_may_have_run_ = any_may_have_run_ || what != outcome::not_run; }

  /// Returns what the caller may be told, given the outcome of the last attempt.
  [[nodiscard]] outcome reported_outcome(outcome last) const {
    return last == outcome::not_run && any_may_have_run_ ? outcome::may_have_run : last;
  }

 private:
  bool any_may_have_run_ = false;
};

}  // namespace masticshunt::requests
