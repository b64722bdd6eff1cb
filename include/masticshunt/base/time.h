/// @file
/// The time type of the decision code: points on a clock that also counts suspended time.
#pragma once

#include <chrono>
#include <cstdint>

namespace masticshunt {

/// A clock that keeps running while the machine is suspended (CLOCK_BOOTTIME on Linux).
///
/// The type has no `now()` by design: decision code receives the time as an argument, and only the
/// I/O code around it reads a real clock (see masticshunt/support/clock.h).
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;
};

/// A point on the boot clock of one machine. Not comparable between machines, so never sent.
using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

}  // namespace masticshunt
