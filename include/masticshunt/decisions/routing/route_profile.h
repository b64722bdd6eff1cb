/// @file
/// Running estimates of the size, cost and caller timeout of a route's requests.
#pragma once

#include <chrono>
#include <cstdint>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::routing {

/// Estimates the cost of a route's requests and the timeout of its callers from past requests.
///
/// Life cycle: one for each route of an ingress agent. Thread safety: none.
class route_profile {
 public:
  /// Records a request whose caller will wait `caller_timeout` from now on.
  void arrived(std::chrono::milliseconds caller_timeout);
  /// Returns the time for which the caller of such a request has probably waited already, in
  /// earlier attempts; zero if this is probably its first attempt.
  [[nodiscard]] duration waited_before(std::chrono::milliseconds caller_timeout) const;

  /// Records an answer of `bytes` by an upstream that ran the request for `ran_for` and takes
  /// `usual_service_time` on average over all kinds of requests.
  void answered(duration ran_for, duration usual_service_time, std::uint64_t bytes);
  /// Returns the estimate for a request whose body has `request_bytes`.
  [[nodiscard]] request_estimate estimate(std::uint64_t request_bytes) const;

 private:
  double longest_timeout_ms_ = 0;
  double work_ratio_ = 1;
  double answer_bytes_ = 0;
};

}  // namespace masticshunt::routing
