/// @file
/// Measurement of an upstream's load by key.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::fleet {

/// Counts requests per key with exponential decay and adds them up over subranges of keys.
///
/// Thread safety: none.
class key_meter {
 public:
  /// Counts a request for `key`.
  void arrived(claims::shard_key key, time_point now);
  /// Returns subranges of about equal load inside `ranges`, as busy slots at `service_time` per
  /// request.
  [[nodiscard]] std::vector<claims::key_load> loads(const std::vector<claims::key_range>& ranges,
                                                    duration service_time, time_point now);

 private:
  void decay(time_point now);

  std::map<claims::shard_key, double> counts_;
  time_point last_decay_{};
  time_point counting_since_{};  ///< Time of the first request in the current counts.
};

}  // namespace masticshunt::fleet
