/// @file
/// Spaces events by a rate.
#pragma once

#include <cstddef>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Lets events through at a rate, and those that were not used some time later at once.
///
/// Thread safety: none.
class token_bucket {
 public:
  /// Starts empty at `now`, with `per_second` events a second, above zero, and at most what the
  /// rate allows in `burst` at once, but at least one.
  token_bucket(double per_second, duration burst, time_point now);

  /// Changes the rate. Keeps the tokens.
  void set_rate(double per_second, time_point now);
  /// Takes the token of one event.
  void take(time_point now);
  /// Returns how long an event must wait that has `ahead` others before it.
  [[nodiscard]] duration wait(std::size_t ahead, time_point now) const;

 private:
  [[nodiscard]] double tokens_at(time_point now) const;

  double rate_;
  duration burst_;
  double tokens_ = 0;
  time_point refilled_;
};

}  // namespace masticshunt::requests
