/// @file
/// Helpers of the claim holder: scaled durations and ranges in log lines.
#pragma once

#include <string>

#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::claims {

/// Grants that would last for less than this are not made.
inline constexpr duration shortest_hold = std::chrono::milliseconds{300};

/// Returns `span` times `factor`.
inline duration scaled(duration span, double factor) {
  return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * factor)};
}

/// Returns a range and its fence for a log line.
inline std::string text_of(const key_range& keys, std::uint64_t fence) {
  return "keys=" + std::to_string(keys.first) + "-" + std::to_string(keys.last) +
         " fence=" + std::to_string(fence);
}

}  // namespace masticshunt::claims
