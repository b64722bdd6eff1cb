#include "masticshunt/support/metrics.h"

#include <thread>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::support;
using namespace std::chrono_literals;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;

namespace {

bool has_line(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

Test(metrics, print_counters_with_their_labels_in_order) {
  metrics_registry metrics;
  metrics.make_counter({"requests_total", "Requests", {{"outcome", "served"}}}).add(2);
  metrics.make_counter({"requests_total", "", {{"outcome", "not-run"}}}).add();
  expect_equal(metrics.text(),
               "# HELP requests_total Requests\n# TYPE requests_total counter\n"
               "requests_total{outcome=\"not-run\"} 1\nrequests_total{outcome=\"served\"} 2\n");
}

Test(metrics, are_created_once_per_name_and_labels) {
  metrics_registry metrics;
  expect_true(&metrics.make_counter({"a", "", {}}) == &metrics.make_counter({"a", "", {}}));
  expect_true(&metrics.make_latency({"b", "", {}}) == &metrics.make_latency({"b", "", {}}));
}

Test(metrics, escape_the_values_of_labels) {
  metrics_registry metrics;
  metrics.make_counter({"a", "A", {{"l", "x\"y\\z\n"}}});
  expect_true(has_line(metrics.text(), "a{l=\"x\\\"y\\\\z\\n\"} 0"), metrics.text());
}

Test(metrics, read_gauges_when_printed) {
  metrics_registry metrics;
  double value = 1;
  metrics.make_gauge({"g", "G", {}}, [&] { return value; });
  value = 2.5;
  expect_true(has_line(metrics.text(), "g 2.5"));
}

Test(latency_metric, counts_every_latency_in_the_last_bucket) {
  latency_metric latencies;
  for (const duration latency : {duration{0}, duration{5ms}, duration{1h}})
    latencies.record(latency);
  expect_equal(latencies.count(), 3U);
  expect_equal(latencies.cumulative().front(), 1U);
  expect_equal(latencies.cumulative().at(latencies.bounds().size() - 1), 2U);
  expect_true(latencies.sum() == 1h + 5ms);
}

Test(latency_metric, prints_cumulative_buckets_with_bounds_in_seconds) {
  metrics_registry metrics;
  auto& latency = metrics.make_latency({"wait_seconds", "Wait", {{"rank", "urgent"}}});
  latency.record(5ms);
  const auto text = metrics.text();
  expect_true(has_line(text, "wait_seconds_bucket{rank=\"urgent\",le=\"0.001\"} 0"), text);
  expect_true(has_line(text, "wait_seconds_bucket{rank=\"urgent\",le=\"0.01\"} 1"), text);
  expect_true(has_line(text, "wait_seconds_bucket{rank=\"urgent\",le=\"+Inf\"} 1"), text);
  expect_true(has_line(text, "wait_seconds_sum{rank=\"urgent\"} 0.005"), text);
}

Test(metrics, lose_no_updates_from_concurrent_threads) {
  metrics_registry metrics;
  auto& events = metrics.make_counter({"a", "", {}});
  auto& latency = metrics.make_latency({"b", "", {}});
  const auto work = [&] {
    for (int round = 0; round < 20'000; ++round) {
      events.add();
      latency.record(1ms);
    }
  };
  {
    const std::jthread other(work);
    work();
  }
  expect_equal(events.value(), 40'000U);
  expect_equal(latency.count(), 40'000U);
}
