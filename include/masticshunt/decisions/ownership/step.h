/// @file
/// Types shared by the ownership modules while one event is handled.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "masticshunt/decisions/ownership/agent_core.h"

namespace masticshunt::ownership {

/// Counts invariant violations by name. Any count above zero is a defect of the program.
class invariant_counters {
 public:
  /// Counts a violation of `name` unless `holds`.
  void check(bool holds, const std::string& name) {
    if (!holds) ++violations_[name];
  }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& violations() const {
    return violations_;
  }

 private:
  std::map<std::string, std::uint64_t> violations_;
};

/// The context of one event: its time and the actions decided so far.
struct step {
  time_point now;
  actions out;

  /// Sends `body` to `to`.
  void send(const endpoint& to, message body) {
    out.emplace_back(send_message{to, std::move(body)});
  }
};

/// Converts durations between clocks whose rates differ from true time by at most the drift.
class clock_bounds {
 public:
  clock_bounds(const lease_timing& timing, const fault_injection& faults)
      : drift_ppm_(faults.drift_ignored ? 0 : timing.clock_drift_ppm) {}

  /// Returns how long the holder of a lease of true length `length` may use it by its own clock.
  [[nodiscard]] duration for_holder(duration length) const { return length - drift_of(length); }
  /// Returns how long the grantor of a lease of true length `length` must wait by its own clock.
  [[nodiscard]] duration for_grantor(duration length) const { return length + drift_of(length); }

 private:
  [[nodiscard]] duration drift_of(duration length) const {
    constexpr std::int64_t parts = 1'000'000;
    return duration{length.count() * drift_ppm_ / parts + (drift_ppm_ == 0 ? 0 : 1)};
  }
  std::int64_t drift_ppm_;
};

/// A seeded pseudo-random generator (SplitMix64) for jitter; not cryptographically secure.
class jitter_source {
 public:
  explicit jitter_source(std::uint64_t seed) : state_(seed) {}

  /// Returns a number in [0, 1).
  double next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31U;
    return static_cast<double>(mixed >> 11U) / 9007199254740992.0;
  }
  /// Returns a duration in [0, longest).
  duration next_up_to(duration longest) {
    return duration{static_cast<duration::rep>(static_cast<double>(longest.count()) * next())};
  }

 private:
  std::uint64_t state_;
};

/// Bounded exponential backoff with jitter for store calls.
class backoff {
 public:
  /// Returns the delay before the next attempt and doubles the following one.
  duration next_delay(jitter_source& jitter) {
    const duration ceiling = ceiling_;
    ceiling_ = std::min(ceiling_ * 2, longest);
    return ceiling / 2 + jitter.next_up_to(ceiling / 2);
  }
  /// Restarts from the shortest delay.
  void reset() { ceiling_ = shortest; }

 private:
  static constexpr duration shortest = std::chrono::milliseconds{100};
  static constexpr duration longest = std::chrono::seconds{5};
  duration ceiling_ = shortest;
};

}  // namespace masticshunt::ownership
