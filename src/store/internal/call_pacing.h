/// @file
/// When the store client may call: its rate budget and its back-off. No clock, no sockets.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "masticshunt/base/time.h"

namespace masticshunt::store {

/// A token bucket that hands out places in the future once it is empty.
class rate_budget {
 public:
  /// `per_second` calls in the long run, `burst` at once.
  rate_budget(double per_second, double burst);

  /// Takes one call that may start no later than `latest`. Returns when it may start, or nothing
  /// (and takes none) if that would be too late.
  std::optional<time_point> reserve(time_point now, time_point latest);

 private:
  duration per_call_;
  duration window_;
  time_point empty_until_;  ///< The bucket is full `window_` after this.
};

/// Exponential back-off with full jitter over consecutive failures.
class backoff {
 public:
  backoff(std::chrono::milliseconds first_delay, std::chrono::milliseconds max_delay,
          std::uint64_t seed);

  /// Reports a failed call.
  void failed(time_point now);
  /// Reports a call that was answered.
  void succeeded();
  /// Returns when the next call may start.
  [[nodiscard]] time_point not_before() const { return not_before_; }

 private:
  std::chrono::milliseconds first_delay_;
  std::chrono::milliseconds max_delay_;
  std::mt19937_64 random_;
  std::uint32_t failures_ = 0;
  time_point not_before_ = time_point::min();
};

/// How long a kept connection may take to answer before it is taken for silent.
class response_timeout_estimate {
 public:
  /// Reports the latency of an answered call.
  void record_latency(duration latency);
  /// Returns the time allowed to a call on a connection that was kept open.
  [[nodiscard]] duration timeout() const;

 private:
  duration slowest_latency_{};  ///< Decays with every faster answer.
};

}  // namespace masticshunt::store
