/// @file
/// What the requests of one route are usually like, learned from those seen.
#pragma once

#include <chrono>
#include <cstdint>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::routing {

/// Learns how heavy a route's requests are, and how long its callers wait.
///
/// Life cycle: one for each route of an entry. Thread safety: none.
class route_profile {
 public:
  /// Notes a request whose caller will wait `patience` from now on.
  void arrived(std::chrono::milliseconds patience);
  /// Returns for how long the caller of such a request has waited before, in earlier attempts; zero
  /// if this is likely its first attempt.
  [[nodiscard]] duration waited_before(std::chrono::milliseconds patience) const;

  /// Notes an answer of `bytes` by an upstream that ran the request for `ran_for` and usually takes
  /// `usual`, over all kinds of requests.
  void answered(duration ran_for, duration usual, std::uint64_t bytes);
  /// Returns what to expect of a request whose body has `request_bytes`.
  [[nodiscard]] request_estimate estimate(std::uint64_t request_bytes) const;

 private:
  double longest_patience_ms_ = 0;
  double work_ratio_ = 1;
  double answer_bytes_ = 0;
};

}  // namespace masticshunt::routing
