/// @file
/// Counters, gauges and latency histograms of one process, exported in the Prometheus text format.
#pragma once

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::support {

/// One label of a metric.
struct metric_label {
  std::string name;
  std::string value;
};

/// Identifies a metric. Metrics of one family differ in their labels.
struct metric_name {
  std::string family;  ///< Such as "masticshunt_requests_total".
  std::string help;    ///< One line; the first text given for a family is used.
  std::vector<metric_label> labels;
};

/// A monotonic event counter.
///
/// Thread safety: all members may be called from any thread and are lock-free.
class counter {
 public:
  /// Adds `events` to the count.
  void add(std::uint64_t events = 1) { value_.fetch_add(events, std::memory_order_relaxed); }
  [[nodiscard]] std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// A latency histogram with four buckets per decade from 100 microseconds to 100 seconds.
///
/// Thread safety: all members may be called from any thread and are lock-free. The sum and the
/// buckets are not updated atomically, so a reader may see a latency in only one of them.
class latency_metric {
 public:
  latency_metric();
  /// Records one latency.
  void record(duration latency);
  /// Returns the number of latencies recorded.
  [[nodiscard]] std::uint64_t count() const;
  /// Returns the sum of all latencies recorded.
  [[nodiscard]] duration sum() const { return duration{sum_.load(std::memory_order_relaxed)}; }
  /// Returns the cumulative counts for the bounds of `bounds`, followed by the total.
  [[nodiscard]] std::vector<std::uint64_t> cumulative() const;
  /// Returns the upper bounds of the buckets in seconds.
  [[nodiscard]] std::vector<double> bounds() const;

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using cell = boost::histogram::accumulators::count<std::uint64_t, true>;

  boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<cell>> buckets_;
  std::atomic<duration::rep> sum_{0};
};

/// All metrics of one process.
///
/// Usage: make every metric once and keep the reference, which stays valid for the lifetime of the
/// registry. A second request for the same family and labels returns the same metric.
/// Thread safety: all members may be called from any thread. Updates of metrics take no lock.
///
///     auto& served = metrics.make_counter({"masticshunt_requests_total", "Requests by outcome",
///                                          {{"outcome", "served"}}});
///     served.add();
class metrics_registry {
 public:
  /// Returns the counter called `name` and creates it if necessary.
  counter& make_counter(const metric_name& name);
  /// Returns the latency metric called `name` and creates it if necessary. The family should end in
  /// "_seconds".
  latency_metric& make_latency(const metric_name& name);
  /// Registers gauge `name`; `read` returns its value and is called by `text`.
  void make_gauge(const metric_name& name, std::function<double()> read);

  /// Returns all metrics in the Prometheus text format, sorted by family and labels within each
  /// type.
  [[nodiscard]] std::string text() const;

 private:
  template <class Metric>
  struct family {
    std::string help;
    std::map<std::string, Metric> by_labels;
  };
  template <class Metric>
  using families = std::map<std::string, family<Metric>>;

  mutable std::mutex mutex_;  ///< Guards the maps, not the metrics in them.
  families<std::unique_ptr<counter>> counters_;
  families<std::unique_ptr<latency_metric>> latencies_;
  families<std::function<double()>> gauges_;
};

}  // namespace masticshunt::support
