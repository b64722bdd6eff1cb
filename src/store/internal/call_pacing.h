/// @file
/// Rate limit, back-off and response timeout of the store client, without clocks or sockets.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "masticshunt/base/time.h"

namespace masticshunt::store {

/// A token bucket that reserves future start times once it is empty.
class rate_budget {
 public:
  /// Allows `per_second` calls on average and `burst` calls at once.
  rate_budget(double per_second, double burst);

  /// Takes a token for a call that must start by `latest`. Returns when the call may start, or
  /// nothing, without taking a token, if that is after `latest`.
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
  /// Reports a call that got a response.
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

/// Estimates how long a reused connection may take to respond before it is considered dead.
class response_timeout_estimate {
 public:
  /// Records the latency of a call that got a response.
  void record_latency(duration latency);
  /// Returns the response timeout of a call on a reused connection.
  [[nodiscard]] duration timeout() const;

 private:
  duration slowest_latency_{};  ///< Decays with every faster response.
};

}  // namespace masticshunt::store
