#include "masticshunt/decisions/requests/concurrency_limit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace masticshunt::requests {

namespace {

constexpr double window_samples_per_slot = 32;
constexpr double trial_samples_per_slot = 128;
constexpr double probe_samples_per_slot = 16;
constexpr std::uint32_t windows_between_probes = 40;
constexpr std::uint32_t windows_before_first_probe = 4;
constexpr double probe_share = 2.0 / 3;
constexpr double light_load_share = 0.6;
constexpr double saturated_share = 0.9;
constexpr double light_samples_known = 32;
constexpr double light_samples_max = 1'024;
constexpr double latency_ratio_counted_max = 10;
constexpr double throughput_weight = 0.3;
constexpr double queue_share_max = 0.25;
constexpr double shrink_margin = 1.05;
constexpr double trial_step_share = 1.0 / 6;
constexpr double trial_gain_share = 0.5;
constexpr std::uint32_t trial_pause_min = 16;
constexpr std::uint32_t trial_pause_max = 128;
constexpr double additive_latency_ratio_max = 1.5;
constexpr double additive_decrease = 0.9;
constexpr double shed_decrease = 0.75;
constexpr double shed_helped_share = 0.75;
constexpr double shed_tolerance = 1.5;
constexpr double tolerated_shed_decay = 0.99;
constexpr double shed_share_max = 0.01;
constexpr double timeout_decrease = 0.7;

}  // namespace

concurrency_limit::concurrency_limit(limit_settings settings)
    : settings_(settings),
      limit_(settings.start),
      classes_(std::max<std::size_t>(settings.latency_classes, 1)),
      windows_until_probe_(windows_before_first_probe),
      windows_until_trial_(trial_pause_min),
      trial_pause_(trial_pause_min) {}

void concurrency_limit::observe(const limit_sample& sample) {
  samples_ += 1;
  in_flight_sum_ += sample.in_flight;
  if (sample.result == attempt_result::shed) shed_ += 1;
  if (sample.result == attempt_result::timed_out) timed_out_ += 1;
  if (sample.result == attempt_result::answered) {
    class_latency& observed = classes_[std::min(sample.latency_class, classes_.size() - 1)];
    const double highest = observed.light_samples < light_samples_known
                               ? std::numeric_limits<double>::max()
                               : observed.light * latency_ratio_counted_max;
    observed.sum += std::min(static_cast<double>(sample.latency.count()), highest);
    observed.count += 1;
  }
  if (window_is_full()) end_window();
}

void concurrency_limit::end_window() {
  constexpr std::array<window_end, 3> rules{&concurrency_limit::end_fixed,
                                            &concurrency_limit::end_additive,
                                            &concurrency_limit::end_gradient};
  const bool adapts = settings_.algorithm != limit_algorithm::fixed;
  if (adapts && timed_out_ > samples_ / 2) {
    end_timed_out();
  } else if (limit_before_time_outs_ > 0) {
    restore_after_time_outs();
  } else {
    (this->*rules[static_cast<std::size_t>(settings_.algorithm)])();
  }
  start_window();
}

void concurrency_limit::end_shed() {
  const bool helped = shed_share() < shed_share_before_ * shed_helped_share;
  if (limit_before_sheds_ > 0 && !helped) {
    set_limit(limit_before_sheds_);
    limit_before_sheds_ = 0;
    shed_share_tolerated_ = shed_share() * shed_tolerance;
    return;
  }
  limit_before_sheds_ = limit_;
  shed_share_before_ = shed_share();
  set_limit(std::min(limit_ - 1, limit_ * shed_decrease));
  trial_pause_ = std::min(trial_pause_ * 2, trial_pause_max);
  windows_until_trial_ = trial_pause_;
}

void concurrency_limit::end_timed_out() {
  limit_before_time_outs_ = std::max(limit_before_time_outs_, limit_);
  phase_ = phase::steady;
  set_limit(limit_ * timeout_decrease);
}

void concurrency_limit::restore_after_time_outs() {
  set_limit(limit_before_time_outs_);
  limit_before_time_outs_ = 0;
}

void concurrency_limit::end_fixed() {}

void concurrency_limit::end_additive() {
  if (phase_ == phase::probe || is_light()) learn_light_latency();
  if (phase_ == phase::probe) {
    phase_ = phase::steady;
    return;
  }
  if (sheds() || latency_ratio() > additive_latency_ratio_max) {
    set_limit(std::min(limit_ - 1, limit_ * additive_decrease));
  } else if (is_saturated()) {
    set_limit(limit_ + 1);
  }
  schedule_probe();
}

void concurrency_limit::end_gradient() {
  if (phase_ == phase::trial) return end_trial();
  if (phase_ == phase::probe) {
    learn_light_latency();
    phase_ = phase::steady;
    return;
  }
  if (is_light()) learn_light_latency();
  if (sheds()) {
    end_shed();
  } else {
    limit_before_sheds_ = 0;
    shed_share_tolerated_ *= tolerated_shed_decay;
    if (is_saturated()) end_saturated();
  }
  schedule_probe();
}

void concurrency_limit::end_saturated() {
  if (light_is_unknown()) return;
  const double ratio = std::max(latency_ratio(), 1.0);
  if (1 - 1 / ratio > queue_share_max) {
    set_limit(limit_ / ratio * shrink_margin);
    reference_throughput_ = 0;
    windows_until_probe_ = windows_before_first_probe;
    return;
  }
  const double weight = reference_throughput_ == 0 ? 1 : throughput_weight;
  reference_throughput_ += (throughput() - reference_throughput_) * weight;
  if (windows_until_trial_ > 0) --windows_until_trial_;
  if (windows_until_trial_ == 0) start_trial();
}

void concurrency_limit::start_trial() {
  limit_before_trial_ = limit_;
  set_limit(limit_ + std::max(1.0, std::ceil(limit_ * trial_step_share)));
  if (limit_ > limit_before_trial_) phase_ = phase::trial;
}

void concurrency_limit::end_trial() {
  phase_ = phase::steady;
  const double gain_wanted = 1 + trial_gain_share * (limit_ / limit_before_trial_ - 1);
  if (!sheds() && throughput() >= reference_throughput_ * gain_wanted) {
    trial_pause_ = trial_pause_min;
    windows_until_trial_ = 1;
  } else {
    set_limit(limit_before_trial_);
    trial_pause_ = std::min(trial_pause_ * 2, trial_pause_max);
    windows_until_trial_ = trial_pause_;
  }
  reference_throughput_ = 0;
}

void concurrency_limit::learn_light_latency() {
  for (class_latency& observed : classes_) {
    if (observed.count == 0) continue;
    observed.light_samples += observed.count;
    const double mean = observed.sum / observed.count;
    observed.light += (mean - observed.light) * observed.count / observed.light_samples;
    observed.light_samples = std::min(observed.light_samples, light_samples_max);
  }
}

void concurrency_limit::schedule_probe() {
  if (!is_saturated() || phase_ != phase::steady) return;
  if (windows_until_probe_ > 0) --windows_until_probe_;
  if (windows_until_probe_ > 0) return;
  windows_until_probe_ = light_is_unknown() ? 1 : windows_between_probes;
  phase_ = phase::probe;
}

void concurrency_limit::start_window() {
  samples_ = in_flight_sum_ = shed_ = timed_out_ = 0;
  for (class_latency& observed : classes_) observed.sum = observed.count = 0;
}

double concurrency_limit::latency_ratio() const {
  double observed_total = 0;
  double light_total = 0;
  for (const class_latency& observed : classes_) {
    if (observed.light_samples < light_samples_known) continue;
    observed_total += observed.sum;
    light_total += observed.light * observed.count;
  }
  return light_total > 0 ? observed_total / light_total : 1;
}

double concurrency_limit::throughput() const {
  return samples_ > 0 ? in_flight_sum_ / samples_ / latency_ratio() : 0;
}

bool concurrency_limit::window_is_full() const {
  constexpr std::array<double, 3> samples_per_slot{window_samples_per_slot, probe_samples_per_slot,
                                                   trial_samples_per_slot};
  const double per_slot = samples_per_slot[static_cast<std::size_t>(phase_)];
  return samples_ >= std::max(limit_ * per_slot, per_slot);
}

bool concurrency_limit::is_saturated() const {
  return in_flight_sum_ >= samples_ * limit_ * saturated_share;
}

bool concurrency_limit::is_light() const {
  return in_flight_sum_ < samples_ * limit_ * light_load_share;
}

bool concurrency_limit::sheds() const {
  return shed_share() > std::max(shed_share_max, shed_share_tolerated_);
}

bool concurrency_limit::light_is_unknown() const {
  double known = 0;
  double all = 0;
  for (const class_latency& each : classes_) {
    all += each.count;
    if (each.light_samples >= light_samples_known) known += each.count;
  }
  return known < all / 2;
}

double concurrency_limit::probe_limit() const {
  return std::max(1.0, std::floor(limit_ * probe_share));
}

void concurrency_limit::set_limit(double limit) {
  const double low = std::max(1.0, std::round(settings_.start / settings_.shrink_max));
  const double high = std::max(low, settings_.start * settings_.growth_max);
  limit_ = std::clamp(std::round(limit), low, high);
}

}  // namespace masticshunt::requests
