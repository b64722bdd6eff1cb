/// @file
/// Hedged requests: a second attempt of a slow idempotent lookup over another connection.
#pragma once

#include <cstdint>
#include <optional>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Settings of hedging.
struct hedge_settings {
  double budget_share = 0.05;  ///< Hedges allowed per first attempt.
  double budget_burst = 10;
  double quantile = 0.95;   ///< Latency quantile that the hedging delay is derived from.
  double delay_factor = 2;  ///< The delay is this multiple of the quantile.
  duration delay_min = std::chrono::milliseconds{5};
  std::uint64_t body_bytes_max = 16'384;  ///< Larger requests are not hedged.
};

/// Decides when an idempotent lookup gets a second attempt.
///
/// A key has one owner, so a hedge goes to the same owner over another connection: it helps
/// against an unresponsive connection, not against a slow upstream.
///
/// Usage: one policy for each service at the ingress agent. Call `first_attempt` for every request
/// and `answered` for every answer; call `delay` when an attempt is sent, and `take` when the delay
/// passes without an answer. Thread safety: none; the calling agent holds the lock of its ingress.
class hedge_policy {
 public:
  explicit hedge_policy(hedge_settings settings)
      : settings_(settings), tokens_(settings.budget_burst) {}

  /// Reports a first attempt, which adds `budget_share` to the budget.
  void first_attempt();
  /// Reports the latency of an answered attempt.
  void answered(duration latency);
  /// Returns the delay between sending `request` and hedging it, or nothing if it must not be
  /// hedged.
  [[nodiscard]] std::optional<duration> delay(const request_descriptor& request,
                                              time_point now) const;
  /// Takes one hedge from the budget. Returns false if the budget is exhausted.
  bool take();
  /// Returns the number of hedges taken so far.
  [[nodiscard]] std::uint64_t taken() const { return taken_; }

 private:
  hedge_settings settings_;
  double tokens_;
  double quantile_ = 0;  ///< In nanoseconds.
  std::uint64_t observed_ = 0;
  std::uint64_t taken_ = 0;
};

}  // namespace masticshunt::requests
