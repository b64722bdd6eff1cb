/// @file
/// How long requests should wait for something that is usually back soon.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Lengths of waits.
struct outage_tracker_settings {
  duration short_outage_max = std::chrono::milliseconds{450};  ///< Planned moves end within it.
  duration wait = std::chrono::milliseconds{300};              ///< While the outage is a usual one.
  duration wait_in_long_outage = std::chrono::milliseconds{20};
};

/// Remembers since when each of several things is away. Requests wait for one that has just gone;
/// once it is away for longer than usual they are told soon, since waiting would not help them.
///
/// Thread safety: none.
class outage_tracker {
 public:
  explicit outage_tracker(outage_tracker_settings settings) : settings_(settings) {}

  /// `name` could not be used at `now`.
  void report_unavailable(std::string_view name, time_point now);
  /// `name` was used.
  void report_available(std::string_view name);
  /// Returns how long a request that needs `name` may wait from `now` on.
  [[nodiscard]] duration wait_limit(std::string_view name, time_point now) const;

 private:
  /// An outage that nobody met for this long is over, for all that is known.
  static constexpr duration outage_retention = std::chrono::seconds{2};
  struct outage {
    time_point since;
    time_point last_reported;
  };

  outage_tracker_settings settings_;
  std::map<std::string, outage, std::less<>> outages_;
};

}  // namespace masticshunt::requests
