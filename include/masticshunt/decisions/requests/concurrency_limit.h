/// @file
/// A limit on attempts in flight at one upstream that follows what is observed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// How the limit follows the observations.
enum class limit_algorithm {
  fixed,     ///< Stays where it starts.
  additive,  ///< Additive increase, multiplicative decrease.
  gradient   ///< Follows the queue that the latency betrays.
};

/// Settings of a limit.
struct limit_settings {
  limit_algorithm algorithm = limit_algorithm::gradient;
  double start = 1;
  double growth_max = 4;            ///< The limit stays under this multiple of its start.
  double shrink_max = 4;            ///< And above this part of it.
  std::size_t latency_classes = 1;  ///< Kinds of attempts with a usual latency of their own.
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
/// Observations are gathered in windows. At the end of a saturated window the mean latency is
/// compared with the mean under light load, which is measured whenever the load is light and, under
/// lasting saturation, in short windows with half of the limit.
/// Thread safety: none.
class concurrency_limit {
 public:
  explicit concurrency_limit(limit_settings settings);

  /// Takes the end of one attempt into account.
  void observe(const limit_sample& sample);

  /// Returns the attempts that may be in flight now.
  [[nodiscard]] double value() const { return probing_ ? limit_ / 2 : limit_; }

 private:
  struct class_latency {
    double sum = 0;
    double count = 0;
    double light = 0;  ///< Mean under light load; zero if unknown.
  };
  using window_end = void (concurrency_limit::*)(double latency_ratio);

  void end_window();
  void end_fixed(double latency_ratio);
  void end_additive(double latency_ratio);
  void end_gradient(double latency_ratio);
  void learn_light_latency(double weight);
  void schedule_probe();
  void start_window();
  [[nodiscard]] double latency_ratio() const;
  [[nodiscard]] bool window_is_full() const;
  [[nodiscard]] bool saturated() const;
  void set_limit(double limit);

  limit_settings settings_;
  double limit_;
  std::vector<class_latency> classes_;
  double samples_ = 0;
  double in_flight_sum_ = 0;
  double shed_ = 0;
  double timed_out_ = 0;
  bool probing_ = false;
  std::uint32_t windows_since_probe_ = 0;
};

}  // namespace masticshunt::requests
