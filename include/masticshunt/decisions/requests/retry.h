/// @file
/// Decides whether and when a failed attempt is retried.
#pragma once

#include <optional>

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Settings of a retry policy.
struct retry_settings {
  double budget_share = 0.1;  ///< Retries allowed per first attempt.
  double budget_burst = 10;   ///< Retries allowed before any first attempt.
  std::uint32_t attempts_max = 3;
  duration backoff_first = std::chrono::milliseconds{20};
  duration backoff_max = std::chrono::milliseconds{500};
};

/// How the last attempt ended, as seen by the ingress agent.
struct failed_attempt {
  std::uint32_t attempts_made = 1;
  requests::outcome outcome = requests::outcome::not_run;
  refusal_reason reason = refusal_reason::none;
  duration retry_after{};  ///< Minimum delay that the refusing agent asked for; zero for none.
};

/// Grants retries within a budget that is a share of first attempts.
///
/// A retry is granted only if the last attempt did not run or the request is idempotent, if
/// another attempt can end differently, and if it can start before the deadline. The ceiling of
/// the delay grows exponentially; jitter places the delay between half of the ceiling and the
/// ceiling.
///
/// Usage: one policy for each service at the ingress agent. Call `first_attempt` once for each
/// request and `next_delay` after every failed attempt.
/// Thread safety: none; the calling agent holds the lock of its ingress.
class retry_policy {
 public:
  explicit retry_policy(retry_settings settings);

  /// Reports a first attempt, which adds `budget_share` to the budget.
  void first_attempt();

  /// Returns the delay before the next attempt, or nothing if the request must be refused.
  /// `jitter` is a random number in [0, 1) that the calling agent supplies.
  std::optional<duration> next_delay(const request_descriptor& request, const failed_attempt& last,
                                     double jitter, time_point now);

  /// Returns the number of retries granted so far.
  [[nodiscard]] std::uint64_t granted() const { return granted_; }
  /// Returns the number of first attempts reported so far.
  [[nodiscard]] std::uint64_t first_attempts() const { return first_attempts_; }
  /// Returns the number of retries that were denied only by the budget.
  [[nodiscard]] std::uint64_t denied_by_budget() const { return denied_by_budget_; }

 private:
  [[nodiscard]] duration backoff(std::uint32_t attempts_made, double jitter) const;

  retry_settings settings_;
  double tokens_ = 0;
  std::uint64_t granted_ = 0;
  std::uint64_t first_attempts_ = 0;
  std::uint64_t denied_by_budget_ = 0;
};

}  // namespace masticshunt::requests
