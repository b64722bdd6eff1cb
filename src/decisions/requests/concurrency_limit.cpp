#include "masticshunt/decisions/requests/concurrency_limit.h"

#include <algorithm>
#include <array>

namespace masticshunt::requests {

namespace {

constexpr double window_samples_per_slot = 32;
constexpr double probe_samples_per_slot = 8;
constexpr std::uint32_t windows_between_probes = 30;
constexpr double light_load_share = 0.6;
constexpr double saturated_share = 0.85;
constexpr double light_latency_weight = 0.2;
constexpr double queue_low = 0.1;   // share of the limit
constexpr double queue_high = 0.2;  // share of the limit
constexpr double additive_latency_ratio_max = 1.5;
constexpr double additive_decrease = 0.9;
constexpr double shed_decrease = 0.9;
constexpr double timeout_decrease = 0.7;
constexpr double shed_share_max = 0.01;

}  // namespace

concurrency_limit::concurrency_limit(limit_settings settings)
    : settings_(settings), limit_(settings.start), classes_(settings.latency_classes) {}

void concurrency_limit::observe(const limit_sample& sample) {
  samples_ += 1;
  in_flight_sum_ += sample.in_flight;
  if (sample.result == attempt_result::shed) shed_ += 1;
  if (sample.result == attempt_result::timed_out) timed_out_ += 1;
  if (sample.result == attempt_result::answered) {
    class_latency& observed = classes_[std::min(sample.latency_class, classes_.size() - 1)];
    observed.sum += static_cast<double>(sample.latency.count());
    observed.count += 1;
  }
  if (window_is_full()) end_window();
}

void concurrency_limit::end_window() {
  constexpr std::array<window_end, 3> rules{&concurrency_limit::end_fixed,
                                            &concurrency_limit::end_additive,
                                            &concurrency_limit::end_gradient};
  if (probing_) {
    learn_light_latency(1);
    probing_ = false;
  } else if (timed_out_ > samples_ / 2) {
    if (settings_.algorithm != limit_algorithm::fixed) set_limit(limit_ * timeout_decrease);
  } else {
    if (in_flight_sum_ < samples_ * limit_ * light_load_share)
      learn_light_latency(light_latency_weight);
    (this->*rules[static_cast<std::size_t>(settings_.algorithm)])(latency_ratio());
  }
  start_window();
}

void concurrency_limit::end_fixed(double /*latency_ratio*/) {}

void concurrency_limit::end_additive(double latency_ratio) {
  if (shed_ > samples_ * shed_share_max || latency_ratio > additive_latency_ratio_max) {
    set_limit(limit_ * additive_decrease);
  } else if (saturated()) {
    set_limit(limit_ + 1);
  }
  schedule_probe();
}

void concurrency_limit::end_gradient(double latency_ratio) {
  if (shed_ > samples_ * shed_share_max) {
    set_limit(limit_ * shed_decrease);
  } else if (saturated()) {
    const double queued = limit_ * (1 - 1 / std::max(latency_ratio, 1.0));
    if (queued > limit_ * queue_high) set_limit(limit_ - queued / 2);
    if (queued < limit_ * queue_low) set_limit(limit_ + 1);
  }
  schedule_probe();
}

void concurrency_limit::learn_light_latency(double weight) {
  for (class_latency& observed : classes_) {
    if (observed.count == 0) continue;
    const double mean = observed.sum / observed.count;
    observed.light = observed.light == 0 ? mean : observed.light + (mean - observed.light) * weight;
  }
}

void concurrency_limit::schedule_probe() {
  const bool light_unknown = std::ranges::any_of(
      classes_, [](const class_latency& each) { return each.count > 0 && each.light == 0; });
  windows_since_probe_ = saturated() ? windows_since_probe_ + 1 : 0;
  if (!saturated() || (!light_unknown && windows_since_probe_ < windows_between_probes)) return;
  windows_since_probe_ = 0;
  probing_ = true;
}

void concurrency_limit::start_window() {
  samples_ = in_flight_sum_ = shed_ = timed_out_ = 0;
  for (class_latency& observed : classes_) observed.sum = observed.count = 0;
}

double concurrency_limit::latency_ratio() const {
  double observed_total = 0;
  double light_total = 0;
  for (const class_latency& observed : classes_) {
    if (observed.light == 0) continue;
    observed_total += observed.sum;
    light_total += observed.light * observed.count;
  }
  return light_total > 0 ? observed_total / light_total : 1;
}

bool concurrency_limit::window_is_full() const {
  const double per_slot = probing_ ? probe_samples_per_slot : window_samples_per_slot;
  return samples_ >= std::max(limit_ * per_slot, per_slot);
}

bool concurrency_limit::saturated() const {
  return in_flight_sum_ >= samples_ * limit_ * saturated_share;
}

void concurrency_limit::set_limit(double limit) {
  const double low = std::max(1.0, settings_.start / settings_.shrink_max);
  limit_ = std::clamp(limit, low, std::max(low, settings_.start * settings_.growth_max));
}

}  // namespace masticshunt::requests
