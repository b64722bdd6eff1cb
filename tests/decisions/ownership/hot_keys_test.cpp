#include "masticshunt/decisions/ownership/hot_keys.h"

#include "decisions/ownership/hot_keys_trace.h"
#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::ownership;
using namespace masticshunt::testing;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

}  // namespace

Test(hot_keys, returns_the_hottest_key_first) {
  hot_keys keys({.capacity = 4});
  keys.record(7, 1, start);
  keys.record(8, 3, start);
  const auto found = keys.hottest(2, start);
  expect_equal(found[0].hash, 8U);
  expect_equal(found[0].share, 0.75);
}

Test(hot_keys, counts_every_key_whose_share_exceeds_one_in_its_capacity) {
  hot_keys keys({.capacity = 10});
  for (key_hash other = 1'000; other < 2'000; ++other) {
    keys.record(other, 1, start);
    if (other % 8 == 0) keys.record(7, 1, start);
  }
  const auto found = keys.hottest(10, start);
  expect_true(std::ranges::count(found, key_hash{7}, &hot_key::hash) == 1);
}

Test(hot_keys, never_overestimates_the_certain_weight_of_a_key) {
  hot_keys keys({.capacity = 2});
  for (key_hash other = 1; other <= 100; ++other) keys.record(other, 1, start);
  for (const auto& key : keys.hottest(2, start)) expect_true(key.weight - key.error <= 1.0);
}

Test(hot_keys, halves_weights_after_a_half_life) {
  hot_keys keys({.capacity = 4, .half_life = 20s});
  keys.record(7, 8, start);
  expect_true(std::abs(keys.hottest(1, start + 20s)[0].weight - 4) < 1e-9);
  expect_true(std::abs(keys.total_weight(start + 40s) - 2) < 1e-9);
}

Test(hot_keys, decays_old_load_over_hours) {
  hot_keys keys({.capacity = 4});
  keys.record(7, 1e6, start);
  for (int hour = 1; hour <= 48; ++hour) keys.record(8, 1, start + std::chrono::hours{hour});
  expect_equal(keys.hottest(1, start + 48h)[0].hash, 8U);
}

Test(hot_keys, finds_more_of_a_moving_trace_than_a_count_min_sketch_of_the_same_size) {
  double by_keys = 0;
  double by_sketch = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    hot_keys keys({});
    count_min_keys sketch(360, 64, hot_keys_settings{}.half_life);
    by_keys += run_hot_keys(keys, seed).recall;
    by_sketch += run_hot_keys(sketch, seed).recall;
    expect_true(keys.bytes() <= sketch.bytes(), "no more memory");
  }
  expect_true(by_keys >= by_sketch);
}
