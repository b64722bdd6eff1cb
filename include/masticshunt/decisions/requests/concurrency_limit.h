/// @file
/// An adaptive limit on the attempts in flight at one upstream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// How the limit adapts to the observed latency and shed answers.
enum class limit_algorithm {
  fixed,     ///< Stays where it starts.
  additive,  ///< Additive increase, multiplicative decrease.
  gradient   ///< Follows the queue length that the latency indicates.
};

/// Settings of a limit.
struct limit_settings {
  limit_algorithm algorithm = limit_algorithm::gradient;
  double start = 1;
  double growth_max = 4;  ///< The limit never exceeds this multiple of its start.
  /// The limit never falls below its start divided by this, except in a probe.
  double shrink_max = 4;
  std::size_t latency_classes = 1;  ///< Kinds of attempts whose latency is tracked separately.
};

/// One ended attempt.
struct limit_sample {
  std::size_t latency_class = 0;
  duration latency{};
  std::uint32_t in_flight = 0;  ///< Attempts in flight just before it ended.
  attempt_result result = attempt_result::answered;
};

/// Adapts a concurrency limit to latency, attempts in flight and shed answers.
///
/// Samples are collected in windows. The gradient algorithm compares the mean latency of a
/// saturated window with the mean under light load, which is measured whenever the load is light
/// and, under lasting saturation, in short probes with a lower limit. It shrinks the limit to the
/// concurrency that this ratio indicates. It grows the limit by trials: a step up is kept if the
/// throughput rises with it; a failed trial doubles the pause until the next. While most attempts
/// time out, the limit shrinks, so that a frozen upstream holds less work; it is restored once
/// answers arrive again. Thread safety: none.
class concurrency_limit {
 public:
  explicit concurrency_limit(limit_settings settings);

  /// Adds the sample of one ended attempt.
  void observe(const limit_sample& sample);

  /// Returns the number of attempts that may be in flight now.
  [[nodiscard]] double value() const { return phase_ == phase::probe ? probe_limit() : limit_; }

 private:
  enum class phase { steady, probe, trial };
  struct class_latency {
    double sum = 0;
    double count = 0;
    double light = 0;          ///< Mean under light load.
    double light_samples = 0;  ///< Number of samples behind that mean, bounded.
  };
  using window_end = void (concurrency_limit::*)();

  void end_window();
  void end_fixed();
  void end_additive();
  void end_gradient();
  void end_trial();
  void end_saturated();
  void end_shed();
  void end_timed_out();
  void restore_after_time_outs();
  void learn_light_latency();
  void schedule_probe();
  void start_trial();
  void start_window();
  /// Returns the mean latency as a multiple of the mean under light load.
  [[nodiscard]] double latency_ratio() const;
  /// Returns the throughput, expressed as the attempts that would be in flight without queueing.
  [[nodiscard]] double throughput() const;
  [[nodiscard]] double probe_limit() const;
  [[nodiscard]] bool window_is_full() const;
  [[nodiscard]] bool is_saturated() const;
  [[nodiscard]] bool is_light() const;
  [[nodiscard]] double shed_share() const { return samples_ > 0 ? shed_ / samples_ : 0; }
  [[nodiscard]] bool sheds() const;
  [[nodiscard]] bool light_is_unknown() const;
  void set_limit(double limit);

  limit_settings settings_;
  double limit_;
  std::vector<class_latency> classes_;
  double samples_ = 0;
  double in_flight_sum_ = 0;
  double shed_ = 0;
  double timed_out_ = 0;
  phase phase_ = phase::steady;
  std::uint32_t windows_until_probe_;
  std::uint32_t windows_until_trial_;
  std::uint32_t trial_pause_;
  double limit_before_trial_ = 0;
  double limit_before_sheds_ = 0;      ///< Zero unless shed answers reduced the limit.
  double shed_share_before_ = 0;       ///< The share of shed answers that reduced it.
  double shed_share_tolerated_ = 0;    ///< A share that a lower limit did not reduce.
  double limit_before_time_outs_ = 0;  ///< Zero unless time-outs reduced the limit.
  double reference_throughput_ = 0;
};

}  // namespace masticshunt::requests
