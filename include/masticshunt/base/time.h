/// @file
/// Time as the decisions see it: a point on a clock that also counts suspended time.
#pragma once

#include <chrono>
#include <cstdint>

namespace masticshunt {

/// A clock that goes on while the machine is suspended (CLOCK_BOOTTIME on Linux).
///
/// The type carries no `now()` on purpose: decisions receive the time as an argument, and only
/// the shells read a real clock (see masticshunt/support/clock.h).
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;
};

/// A point on the boot clock of one machine. Never sent to another machine.
using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

}  // namespace masticshunt
