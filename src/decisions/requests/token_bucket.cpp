#include "masticshunt/decisions/requests/token_bucket.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

token_bucket::token_bucket(double per_second, duration burst, time_point now)
    : rate_(per_second), burst_(burst), refilled_(now) {}

void token_bucket::set_rate(double per_second, time_point now) {
  tokens_ = tokens_at(now);
  refilled_ = now;
  rate_ = per_second;
}

void token_bucket::take(time_point now) {
  tokens_ = tokens_at(now) - 1;
  refilled_ = now;
}

double token_bucket::tokens_at(time_point now) const {
  const double most = std::max(1.0, rate_ * seconds(burst_));
  return std::min(most, tokens_ + rate_ * seconds(now - refilled_));
}

duration token_bucket::wait(std::size_t ahead, time_point now) const {
  const double missing = static_cast<double>(ahead) + 1 - tokens_at(now);
  if (missing <= 0) return {};
  // Rounded up, so that the token is complete after the wait.
  return std::chrono::ceil<std::chrono::microseconds>(
      std::chrono::duration<double>(missing / rate_));
}

}  // namespace masticshunt::requests
