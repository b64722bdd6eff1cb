#include "masticshunt/decisions/requests/hedging.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

constexpr double quantile_step = 0.1;
constexpr std::uint64_t observed_min = 100;

}  // namespace

void hedge_policy::first_attempt() {
  tokens_ = std::min(settings_.budget_burst, tokens_ + settings_.budget_share);
}

void hedge_policy::answered(duration latency) {
  const auto sample = static_cast<double>(latency.count());
  ++observed_;
  if (quantile_ == 0) {
    quantile_ = sample;
  } else if (sample > quantile_) {
    quantile_ *= 1 + quantile_step * settings_.quantile;
  } else {
    quantile_ *= 1 - quantile_step * (1 - settings_.quantile);
  }
}

std::optional<duration> hedge_policy::delay(const request_descriptor& request,
                                            time_point now) const {
  if (!request.idempotent || request.body_bytes > settings_.body_bytes_max) return std::nullopt;
  if (observed_ < observed_min) return std::nullopt;
  const duration typical{static_cast<duration::rep>(quantile_ * settings_.delay_factor)};
  const duration wait = std::max(settings_.delay_min, typical);
  if (now + wait >= request.deadline) return std::nullopt;
  return wait;
}

bool hedge_policy::take() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  ++taken_;
  return true;
}

}  // namespace masticshunt::requests
