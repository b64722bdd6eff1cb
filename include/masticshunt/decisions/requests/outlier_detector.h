/// @file
/// Passive outlier detection: judges upstreams by the outcomes of requests, not by what they
/// report.
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
  std::uint32_t consecutive_failures = 5;  ///< Ejects a member.
  double failure_share = 0.5;  ///< Ejects a member, once `window_min` results are known.
  std::uint32_t window_min = 20;
  std::uint32_t unresponsive_in_flight_min = 3;
  /// Time without any answer while attempts are in flight.
  duration unresponsive_after = std::chrono::seconds{1};
  double ejected_share_max = 0.34;  ///< Share of the members; one member may always be ejected.
  duration ejection_time_first = std::chrono::seconds{1};
  duration ejection_time_max = std::chrono::seconds{30};
  duration slow_start = std::chrono::seconds{5};  ///< Ramp-up time of a new or readmitted member.
  double slow_start_weight = 0.1;                 ///< Weight at the start of the ramp.
  bool ignore_ejection_bound = false;  ///< Fault injection: proves that the bound is checked.
};

/// Counters of a detector.
struct outlier_counts {
  std::uint64_t ejected = 0;
  std::uint64_t kept_by_ejection_bound = 0;
  std::uint64_t ejection_bound_broken = 0;  ///< Invariant violation: too many members ejected.
};

/// Ejects members that fail or do not respond. An ejection lasts for a limited time; then the
/// member is readmitted with a slow start.
///
/// A member is an upstream, or one connection to it. Errors, time-outs and refused connections
/// count as failures; shed answers do not, since a member that sheds load is responsive.
///
/// Usage: call `add_member` and `remove_member` as the membership changes, and `sent` and `ended`
/// for every attempt. Thread safety: none; the calling agent holds the lock of its ingress.
class outlier_detector {
 public:
  explicit outlier_detector(outlier_settings settings) : settings_(settings) {}

  /// Adds a member; a `cold` member gets a slow start.
  void add_member(std::string_view member, bool cold, time_point now);
  void remove_member(std::string_view member);
  /// Reports that an attempt was sent to a member.
  void sent(std::string_view member, time_point now);
  /// Reports how an attempt ended.
  void ended(std::string_view member, attempt_result result, time_point now);
  /// Ejects the members that are unresponsive at `now`.
  void tick(time_point now);

  /// Returns true if the member may receive an attempt now. `draw` is a random number in [0, 1)
  /// that the calling agent supplies; it decides during the ramp of a slow start.
  [[nodiscard]] bool admits(std::string_view member, double draw, time_point now) const;
  /// Returns the share of its usual load that the member may receive now: 0 while it is ejected.
  [[nodiscard]] double weight(std::string_view member, time_point now) const;
  /// Returns the number of members that are ejected now.
  [[nodiscard]] std::size_t ejected(time_point now) const;
  [[nodiscard]] const outlier_counts& counts() const { return counts_; }

 private:
  struct member_state {
    std::uint32_t in_flight = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t window_failures = 0;
    std::uint32_t window_total = 0;
    std::uint32_t times_ejected = 0;
    time_point waiting_since{};  ///< Last answer, or first attempt in flight after it.
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
