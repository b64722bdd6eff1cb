/// @file
/// An estimate of the usual service time that is robust against a few stalled attempts.
#pragma once

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Estimates the median of service times in constant memory.
///
/// Thread safety: none.
class service_estimate {
 public:
  /// Adds a sample.
  void observe(duration service) {
    const auto sample = static_cast<double>(service.count());
    if (median_ == 0) {
      median_ = sample;
    } else {
      median_ *= sample > median_ ? 1 + step : 1 - step;
    }
  }

  /// Returns the median, or zero before the first sample.
  [[nodiscard]] duration median() const { return duration{static_cast<duration::rep>(median_)}; }

 private:
  static constexpr double step = 0.04;

  double median_ = 0;
};

}  // namespace masticshunt::requests
