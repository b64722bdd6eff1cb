/// @file
/// Whether and when a failed attempt may be tried again.
#pragma once

#include <optional>

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Settings of retries.
struct retry_settings {
  double budget_share = 0.1;  ///< Retries allowed per first attempt.
  double budget_burst = 10;   ///< Retries allowed before any first attempt.
  std::uint32_t attempts_max = 3;
  duration backoff_first = std::chrono::milliseconds{20};
  duration backoff_max = std::chrono::milliseconds{500};
};

/// How the last attempt ended, as far as the entry agent knows.
struct failed_attempt {
  std::uint32_t attempts_made = 1;
  outcome what = outcome::not_run;
  refusal_reason reason = refusal_reason::none;
  duration retry_after{};  ///< The other side's wish; zero for none.
};

/// Grants retries within a budget that is a share of first attempts.
///
/// A retry is granted only if the last attempt did not run or the request is idempotent, if
/// another attempt can end differently, and if it can start before the deadline. The delay grows
/// exponentially between half of its ceiling and its ceiling, by jitter.
///
/// Life cycle: one for each service at the entry; `first_attempt` once a request, `next_delay`
/// after every failed attempt.
/// Thread safety: none; the shell holds the lock of the entry.
class retry_policy {
 public:
  explicit retry_policy(retry_settings settings);

  /// Reports a first attempt; earns its share of a retry.
  void first_attempt();

  /// Returns how long to wait before trying again, or nothing if the request must be refused.
  /// `jitter` is a number in [0, 1) that the shell drew.
  std::optional<duration> next_delay(const request_descriptor& request, const failed_attempt& last,
                                     double jitter, time_point now);

  /// Returns the retries granted so far.
  [[nodiscard]] std::uint64_t granted() const { return granted_; }
  /// Returns the first attempts reported so far.
  [[nodiscard]] std::uint64_t first_attempts() const { return first_attempts_; }
  /// Returns the retries that only the budget forbade.
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
