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
  bucket_.reset();
  has_answered_ = false;
}

void rate_limit::set_limit(std::optional<double> per_second, time_point now) {
  if (per_second == limit_) return;
  limit_ = per_second;
  if (!limit_) {
    bucket_.reset();
    return;
  }
  const double rate = std::max(*limit_, 1 / seconds(settings_.trial_interval));
  // What was started before the limit was named counts against it, so it begins without tokens.
  if (bucket_)
    bucket_->set_rate(rate, now);
  else
    bucket_.emplace(rate, settings_.burst, now);
}

void rate_limit::started(time_point now) {
  if (bucket_) bucket_->take(now);
}

duration rate_limit::wait(std::size_t ahead, time_point now) const {
  return bucket_ ? bucket_->wait(ahead, now) : duration{};
}

}  // namespace masticshunt::requests
