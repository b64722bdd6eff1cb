/// @file
/// A second attempt of a slow idempotent lookup over another connection.
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
  double quantile = 0.95;   ///< A lookup slower than this share of lookups is hedged.
  double delay_factor = 2;  ///< The delay is this multiple of the quantile.
  duration delay_min = std::chrono::milliseconds{5};
  std::uint64_t body_bytes_max = 16'384;  ///< Larger requests are not hedged.
};

/// Decides when an idempotent lookup gets a second attempt.
///
/// A key has one owner, so a hedge goes to the same owner over another connection: it overtakes a
/// connection that went silent, not a slow upstream.
/// Life cycle: one for each service at the entry. `first_attempt` for every request, `answered` for
/// every answer; `delay` when an attempt is sent; `take` when the delay is over without an answer.
/// Thread safety: none; the shell holds the lock of the entry.
class hedge_policy {
 public:
  explicit hedge_policy(hedge_settings settings)
      : settings_(settings), tokens_(settings.budget_burst) {}

  /// Reports a first attempt; earns its share of a hedge.
  void first_attempt();
  /// Reports the latency of an answered attempt.
  void answered(duration latency);
  /// Returns when to hedge `request`, counted from its sending, or nothing if it must not be.
  [[nodiscard]] std::optional<duration> delay(const request_descriptor& request,
                                              time_point now) const;
  /// Takes a hedge from the budget. Returns false if none is left.
  bool take();
  /// Returns the hedges taken so far.
  [[nodiscard]] std::uint64_t taken() const { return taken_; }

 private:
  hedge_settings settings_;
  double tokens_;
  double quantile_ = 0;  ///< In nanoseconds.
  std::uint64_t observed_ = 0;
  std::uint64_t taken_ = 0;
};

}  // namespace masticshunt::requests
