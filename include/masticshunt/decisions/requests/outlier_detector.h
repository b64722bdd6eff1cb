/// @file
/// The health of upstreams by the outcomes of requests, not by what they report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Settings of a detector.
struct outlier_settings {
  std::uint32_t consecutive_failures = 5;  ///< Sets a member aside.
  double failure_share = 0.5;              ///< Sets a member aside, over a window of `window_min`.
  std::uint32_t window_min = 20;
  std::uint32_t unresponsive_in_flight_min = 3;
  duration unresponsive_after =
      std::chrono::seconds{1};      ///< Without any answer while work is in flight.
  double ejected_share_max = 0.34;  ///< Of the members; at least one may always be set aside.
  duration ejection_time_first = std::chrono::seconds{1};
  duration ejection_time_max = std::chrono::seconds{30};
  duration slow_start = std::chrono::seconds{5};  ///< Ramp of a member that is new or is back.
  double slow_start_weight = 0.1;                 ///< Where the ramp begins.
  bool ignore_ejection_bound = false;             ///< Test only: proves that the bound is checked.
};

/// Counts of a detector.
struct outlier_counts {
  std::uint64_t ejected = 0;
  std::uint64_t kept_by_ejection_bound = 0;
  std::uint64_t ejection_bound_broken = 0;  ///< Broken promise: too many members set aside.
};

/// Sets members that fail or fall silent aside for a while, and lets them back in slowly.
///
/// A member is an upstream, or one connection to it. Errors, time-outs and refused connections
/// count as failures; shed answers do not: a member that sheds is alive.
///
/// Life cycle: `add_member` and `remove_member` as members come and go; `sent` and `ended` for
/// every attempt. Thread safety: none; the shell holds the lock of the entry.
class outlier_detector {
 public:
  explicit outlier_detector(outlier_settings settings) : settings_(settings) {}

  /// Adds a member; `cold` members start slowly.
  void add_member(std::string_view member, bool cold, time_point now);
  /// Removes a member.
  void remove_member(std::string_view member);
  /// Reports that an attempt was sent to a member.
  void sent(std::string_view member, time_point now);
  /// Reports how an attempt ended.
  void ended(std::string_view member, attempt_result result, time_point now);
  /// Lets time act: finds silent members.
  void tick(time_point now);

  /// Returns true if the member takes an attempt now. `draw` is a number in [0, 1) that the shell
  /// drew; it spreads the ramp of a slow start.
  [[nodiscard]] bool admits(std::string_view member, double draw, time_point now) const;
  /// Returns the share of its usual work that the member takes now: 0 while it is set aside.
  [[nodiscard]] double weight(std::string_view member, time_point now) const;
  /// Returns the members set aside now.
  [[nodiscard]] std::size_t ejected(time_point now) const;
  /// Returns the counts so far.
  [[nodiscard]] const outlier_counts& counts() const { return counts_; }

 private:
  struct member_state {
    std::uint32_t in_flight = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t window_failures = 0;
    std::uint32_t window_total = 0;
    std::uint32_t times_ejected = 0;
    time_point waiting_since{};  ///< The last answer, or the first attempt in flight after it.
    time_point ejected_until = time_point::min();
    time_point ramp_start = time_point::min();
  };

  void count(member_state& member, bool failed);
  void eject(member_state& member, time_point now);

  outlier_settings settings_;
  std::map<std::string, member_state, std::less<>> members_;
  outlier_counts counts_;
};

}  // namespace masticshunt::requests
