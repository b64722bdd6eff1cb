/// @file
/// How long requests should wait for a resource that is temporarily unavailable.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Settings of an outage tracker.
struct outage_tracker_settings {
  duration short_outage_max = std::chrono::milliseconds{450};  ///< Planned moves are shorter.
  duration wait = std::chrono::milliseconds{300};  ///< Wait limit during a short outage.
  duration wait_in_long_outage = std::chrono::milliseconds{20};
};

/// Tracks since when each of several named resources is unavailable. A request may wait for a
/// resource that became unavailable a short time ago. Once the outage lasts longer than
/// `short_outage_max`, the wait limit is short, since waiting would not help the requests.
///
/// Thread safety: none.
class outage_tracker {
 public:
  explicit outage_tracker(outage_tracker_settings settings) : settings_(settings) {}

  /// Reports that `name` could not be used at `now`.
  void report_unavailable(std::string_view name, time_point now);
  /// Reports that `name` was used successfully.
  void report_available(std::string_view name);
  /// Returns how long a request that needs `name` may wait from `now` on.
  [[nodiscard]] duration wait_limit(std::string_view name, time_point now) const;

 private:
  /// An outage without a new report for this long is assumed to be over.
  static constexpr duration outage_retention = std::chrono::seconds{2};
  struct outage {
    time_point since;
    time_point last_reported;
  };

  outage_tracker_settings settings_;
  std::map<std::string, outage, std::less<>> outages_;
};

}  // namespace masticshunt::requests
