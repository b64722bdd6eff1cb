#include "masticshunt/decisions/requests/rate_limit.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void rate_limit::answered(std::optional<double> per_second, time_point now) {
  has_answered_ = true;
  if (per_second)
    named_at_ = now;
  else if (limit_ && now - named_at_ < settings_.memory)
    return;
  set_limit(per_second, now);
}

void rate_limit::learned(double per_second, time_point now) {
  if (!has_answered_) set_limit(per_second, now);
}

void rate_limit::reset() {
  limit_.reset();
  has_answered_ = false;
}

void rate_limit::set_limit(std::optional<double> per_second, time_point now) {
  if (per_second == limit_) return;
  // What was started before the limit was named counts against it, so it begins without tokens.
  tokens_ = limit_ ? tokens_at(now) : 0;
  refilled_ = now;
  limit_ = per_second;
}

void rate_limit::started(time_point now) {
  if (!limit_) return;
  tokens_ = tokens_at(now) - 1;
  refilled_ = now;
}

double rate_limit::rate() const {
  return std::max(*limit_, 1 / seconds(settings_.trial_interval));
}

double rate_limit::tokens_at(time_point now) const {
  const double most = std::max(1.0, rate() * seconds(settings_.burst));
  return std::min(most, tokens_ + rate() * seconds(now - refilled_));
}

duration rate_limit::wait(std::size_t ahead, time_point now) const {
  if (!limit_) return {};
  const double missing = static_cast<double>(ahead) + 1 - tokens_at(now);
  if (missing <= 0) return {};
  // Rounded up, so that the token is complete after the wait.
  return std::chrono::ceil<std::chrono::microseconds>(
      std::chrono::duration<double>(missing / rate()));
}

}  // namespace masticshunt::requests
