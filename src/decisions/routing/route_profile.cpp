#include "masticshunt/decisions/routing/route_profile.h"

#include <algorithm>

namespace masticshunt::routing {

namespace {

constexpr double smoothing = 0.05;       // weight of a new value in the running means
constexpr double timeout_decay = 0.002;  // share by which the longest timeout falls per request
// First attempts have at least this share of the longest timeout. A shorter one shows that the
// caller has used part of it in earlier attempts.
constexpr double first_attempt_from = 0.85;
constexpr double usual_timeout_share = 0.92;
constexpr double ratio_min = 0.1;
constexpr double ratio_max = 10;

}  // namespace

void route_profile::arrived(std::chrono::milliseconds caller_timeout) {
  const auto ms = static_cast<double>(caller_timeout.count());
  longest_timeout_ms_ = ms > longest_timeout_ms_
                            ? ms
                            : longest_timeout_ms_ - timeout_decay * (longest_timeout_ms_ - ms);
}

duration route_profile::waited_before(std::chrono::milliseconds caller_timeout) const {
  const auto ms = static_cast<double>(caller_timeout.count());
  if (ms >= first_attempt_from * longest_timeout_ms_) return {};
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(usual_timeout_share * longest_timeout_ms_ - ms));
}

void route_profile::answered(duration ran_for, duration usual_service_time, std::uint64_t bytes) {
  answer_bytes_ += smoothing * (static_cast<double>(bytes) - answer_bytes_);
  if (ran_for <= duration{} || usual_service_time <= duration{}) return;
  const double ratio =
      static_cast<double>(ran_for.count()) / static_cast<double>(usual_service_time.count());
  work_ratio_ += smoothing * (std::clamp(ratio, ratio_min, ratio_max) - work_ratio_);
}

request_estimate route_profile::estimate(std::uint64_t request_bytes) const {
  return {.bytes = request_bytes + static_cast<std::uint64_t>(answer_bytes_),
          .work_ratio = work_ratio_};
}

}  // namespace masticshunt::routing
