/// @file
/// Helpers that build requests and times and inspect actions in the tests of request decisions.
#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>
#include <variant>

#include "expect.h"
#include "masticshunt/decisions/requests/gate.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the point `since_start` after the start of the test.
inline time_point at(duration since_start) {
  return time_point{seconds{1'000}} + since_start;
}

/// Returns an idempotent request with a deadline 10 s after the start of the test.
inline requests::request_descriptor lookup(requests::attempt_id attempt, std::uint32_t rank = 0) {
  requests::request_descriptor request;
  request.attempt = attempt;
  request.service = "schedule-viewer";
  request.hash = attempt * 0x9E3779B97F4A7C15ULL;
  request.caller = "planner";
  request.rank = rank;
  request.deadline = at(seconds{10});
  return request;
}

/// Returns a non-idempotent request.
inline requests::request_descriptor booking(requests::attempt_id attempt,
                                            std::string idempotency_key) {
  requests::request_descriptor request = lookup(attempt);
  request.hash = 42;
  request.idempotent = false;
  request.idempotency_key = std::move(idempotency_key);
  return request;
}

/// Ends the test unless the property holds for all generated arguments. The seed is fixed, so that
/// every run generates the same arguments.
template <class Property>
void expect_property(Property property) {
  setenv("RC_PARAMS", "seed=20261204", 1);
  expect_true(rc::check(property), "the property must hold");
}

/// Returns the number of actions of one type.
template <class Action>
std::size_t count_of(const requests::gate_actions& actions) {
  return static_cast<std::size_t>(std::ranges::count_if(
      actions, [](const auto& action) { return std::holds_alternative<Action>(action); }));
}

/// Returns true if the attempt was started.
inline bool starts(const requests::gate_actions& actions, requests::attempt_id attempt) {
  return std::ranges::any_of(actions, [&](const auto& action) {
    const auto* start = std::get_if<requests::start_attempt>(&action);
    return start != nullptr && start->attempt == attempt;
  });
}

/// Returns the reason why the attempt was refused, or `none` if it was not.
inline requests::refusal_reason reason_of(const requests::gate_actions& actions,
                                          requests::attempt_id attempt) {
  for (const auto& action : actions) {
    const auto* refusal = std::get_if<requests::refuse_attempt>(&action);
    if (refusal != nullptr && refusal->attempt == attempt) return refusal->reason;
  }
  return requests::refusal_reason::none;
}

}  // namespace masticshunt::testing
