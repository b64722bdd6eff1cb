/// @file
/// Counters and latencies of one process, counted inside and printed in Prometheus' text form.
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

/// Names a metric: two with the same family differ in their labels.
struct metric_name {
  std::string family;  ///< For example "masticshunt_requests_total".
  std::string help;    ///< One line; the first one given for a family counts.
  std::vector<metric_label> labels;
};

/// Counts events. Thread safety: all members may be called from any thread, without a lock.
class counter {
 public:
  /// Counts `events` more.
  void add(std::uint64_t events = 1) { value_.fetch_add(events, std::memory_order_relaxed); }
  /// Returns the count.
  [[nodiscard]] std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Counts latencies in four buckets a decade from 100 microseconds to 100 seconds.
///
/// Thread safety: all members may be called from any thread, without a lock. A reader may see a
/// latency counted in one of the sum and the buckets before the other.
class latency_metric {
 public:
  latency_metric();
  /// Counts one latency.
  void record(duration latency);
  /// Returns how many latencies were counted.
  [[nodiscard]] std::uint64_t count() const;
  /// Returns the sum of all latencies counted.
  [[nodiscard]] duration sum() const { return duration{sum_.load(std::memory_order_relaxed)}; }
  /// Returns the counts of latencies up to each bound of `bounds`.
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
/// Life cycle: make every metric once and keep the reference; it stays valid as long as the
/// registry. Asking again for the same family and labels returns the same metric.
/// Thread safety: all members may be called from any thread; counting takes no lock.
///
///     auto& served = metrics.make_counter({"masticshunt_requests_total", "Requests by outcome",
///                                          {{"outcome", "served"}}});
///     served.add();
class metrics_registry {
 public:
  /// Returns the counter called `name`.
  counter& make_counter(const metric_name& name);
  /// Returns the latency metric called `name`; the family should end in "_seconds".
  latency_metric& make_latency(const metric_name& name);
  /// Has `read` asked for the value of gauge `name` whenever the metrics are printed.
  void make_gauge(const metric_name& name, std::function<double()> read);

  /// Returns all metrics in Prometheus' text form, families and labels in order.
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
