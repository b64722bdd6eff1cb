#include "masticshunt/bench/latency_histogram.h"

#include "expect.h"

using masticshunt::bench::latency_histogram;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

Test(latency_histogram, returns_zero_while_empty) {
  expect_equal(latency_histogram{}.quantile(0.99).count(), 0);
}

Test(latency_histogram, finds_quantiles_within_one_percent) {
  latency_histogram histogram;
  for (int each = 1; each <= 1'000; ++each) histogram.record(milliseconds(each));
  const auto p99 = histogram.quantile(0.99);
  expect_true(p99 >= milliseconds(990) && p99 <= milliseconds(1'000));
}

Test(latency_histogram, counts_latencies_beyond_its_buckets) {
  latency_histogram histogram;
  histogram.record(nanoseconds(1));
  histogram.record(std::chrono::hours(1));
  expect_equal(histogram.count(), 2u);
  expect_true(histogram.quantile(1) == std::chrono::hours(1));
}

Test(latency_histogram, merges_counts) {
  latency_histogram left;
  latency_histogram right;
  left.record(milliseconds(1));
  right.record(milliseconds(100));
  left.merge(right);
  expect_equal(left.count(), 2u);
  expect_true(left.quantile(1) == milliseconds(100));
}
