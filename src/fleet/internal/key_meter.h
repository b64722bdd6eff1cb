/// @file
/// Which keys of an upstream carry its load.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::fleet {

/// Counts requests by key over the last seconds and sums them up by stretch of keys.
///
/// Thread safety: none.
class key_meter {
 public:
  /// Counts a request.
  void arrived(claims::shard_key key, time_point now);
  /// Returns stretches of about equal load inside `ranges`, in slots at `service_time` a request.
  [[nodiscard]] std::vector<claims::key_load> loads(const std::vector<claims::key_range>& ranges,
                                                    duration service_time, time_point now);

 private:
  void decay(time_point now);

  std::map<claims::shard_key, double> counts_;
  time_point last_decay_{};
  time_point counting_since_{};  ///< When the first of the present counts came.
};

}  // namespace masticshunt::fleet
