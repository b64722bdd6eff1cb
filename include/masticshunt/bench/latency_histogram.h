/// @file
/// A histogram of latencies with logarithmic buckets.
#pragma once

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

namespace masticshunt::bench {

/// Counts latencies from 10 microseconds to 100 seconds with a relative error of 1 %.
///
/// Thread safety: none.
class latency_histogram {
 public:
  latency_histogram();

  /// Counts one latency.
  void record(std::chrono::nanoseconds latency);
  /// Adds the counts of `other`.
  void merge(const latency_histogram& other);
  /// Returns how many latencies were counted.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  /// Returns the quantile `share` (0 to 1) of the counted latencies; zero if there are none.
  [[nodiscard]] std::chrono::nanoseconds quantile(double share) const;
  /// Returns the largest latency counted.
  [[nodiscard]] std::chrono::nanoseconds largest() const { return largest_; }

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using storage = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<axis>, storage> buckets_;
  std::uint64_t count_ = 0;
  std::chrono::nanoseconds largest_{0};
};

}  // namespace masticshunt::bench
