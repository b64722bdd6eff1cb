#include "masticshunt/decisions/routing/route_profile.h"

#include <algorithm>

namespace masticshunt::routing {

namespace {

constexpr double step = 0.05;            // of an observation in the running means
constexpr double patience_step = 0.002;  // by which the longest patience falls
// Callers' patience varies within this share of the longest; less of it was used up before.
constexpr double first_attempt_from = 0.85;
constexpr double usual_patience = 0.92;
constexpr double ratio_min = 0.1;
constexpr double ratio_max = 10;

}  // namespace

void route_profile::arrived(std::chrono::milliseconds patience) {
  const auto ms = static_cast<double>(patience.count());
  longest_patience_ms_ = ms > longest_patience_ms_
                             ? ms
                             : longest_patience_ms_ - patience_step * (longest_patience_ms_ - ms);
}

duration route_profile::waited_before(std::chrono::milliseconds patience) const {
  const auto ms = static_cast<double>(patience.count());
  if (ms >= first_attempt_from * longest_patience_ms_) return {};
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(usual_patience * longest_patience_ms_ - ms));
}

void route_profile::answered(duration ran_for, duration usual, std::uint64_t bytes) {
  answer_bytes_ += step * (static_cast<double>(bytes) - answer_bytes_);
  if (ran_for <= duration{} || usual <= duration{}) return;
  const double ratio = static_cast<double>(ran_for.count()) / static_cast<double>(usual.count());
  work_ratio_ += step * (std::clamp(ratio, ratio_min, ratio_max) - work_ratio_);
}

request_estimate route_profile::estimate(std::uint64_t request_bytes) const {
  return {.bytes = request_bytes + static_cast<std::uint64_t>(answer_bytes_),
          .work_ratio = work_ratio_};
}

}  // namespace masticshunt::routing
