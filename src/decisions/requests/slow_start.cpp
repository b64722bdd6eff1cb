#include "masticshunt/decisions/requests/slow_start.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

/// Keeps waits finite for a service that states a rate of zero.
constexpr double rate_min = 0.5;

}  // namespace

void slow_start::set_rate(std::optional<double> per_second, time_point now) {
  if (per_second) per_second = std::max(*per_second, rate_min);
  if (per_second == rate_) return;
  rate_ = per_second;
  if (!rate_)
    bucket_.reset();
  else if (bucket_)
    bucket_->set_rate(*rate_, now);
  else if (cold(now))
    begin(now);
}

void slow_start::begin(time_point now) {
  // Without tokens: requests that started just before count for the upstream too.
  if (rate_ && !bucket_) bucket_.emplace(*rate_, settings_.burst, now);
}

void slow_start::state_unknown(time_point now) {
  unknown_since_ = now;
  begin(now);
}

void slow_start::heartbeat_received(duration cold_for, time_point now) {
  const bool outdated =
      cold_for <= duration{} && unknown_since_ && now - *unknown_since_ < settings_.heartbeat_delay;
  if (!outdated) state_known(cold_for, now);
}

void slow_start::health_answered(duration cold_for, time_point asked, time_point now) {
  if (unknown_since_ && asked < *unknown_since_) return;
  state_known(cold_for, now);
}

void slow_start::state_known(duration cold_for, time_point now) {
  unknown_since_.reset();
  cold_until_ = now + std::clamp(cold_for, duration{}, settings_.cold_max);
  if (cold(now))
    begin(now);
  else
    bucket_.reset();
}

void slow_start::started(time_point now) {
  if (bucket_ && cold(now)) bucket_->take(now);
}

bool slow_start::cold(time_point now) const {
  return rate_ && (unknown_since_ || now < cold_until_);
}

std::optional<double> slow_start::rate(time_point now) const {
  return cold(now) ? rate_ : std::nullopt;
}

duration slow_start::wait(std::size_t ahead, time_point now) const {
  if (!bucket_ || !cold(now)) return {};
  return bucket_->wait(ahead, now);
}

}  // namespace masticshunt::requests
