#include "masticshunt/bench/schedule.h"

#include <algorithm>

#include "expect.h"

using masticshunt::bench::arrival;
using masticshunt::bench::make_schedule;
using masticshunt::bench::request_kind;
using masticshunt::bench::schedule_settings;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;
using std::chrono::milliseconds;

namespace {

schedule_settings two_ranks() {
  schedule_settings settings;
  request_kind urgent;
  urgent.rank = "urgent";
  urgent.rate = 200;
  request_kind bulk;
  bulk.rank = "bulk";
  bulk.rate = 100;
  settings.kinds = {urgent, bulk};
  settings.duration = milliseconds(10'000);
  return settings;
}

auto count_of(const std::vector<arrival>& arrivals, std::uint32_t kind) {
  return std::ranges::count(arrivals, kind, &arrival::kind);
}

}  // namespace

Test(schedule, is_the_same_for_the_same_seed) {
  const auto first = make_schedule(two_ranks());
  const auto second = make_schedule(two_ranks());
  expect_true(std::ranges::equal(first, second, {}, &arrival::at, &arrival::at));
}

Test(schedule, is_in_order_of_time) {
  expect_true(std::ranges::is_sorted(make_schedule(two_ranks()), {}, &arrival::at));
}

Test(schedule, keeps_the_mean_rate) {
  const auto count = count_of(make_schedule(two_ranks()), 0);
  expect_true(count > 1'800 && count < 2'200);
}

Test(schedule, raises_only_the_flooded_rank) {
  auto settings = two_ranks();
  const auto baseline = make_schedule(settings);
  settings.floods = {{"bulk", 10, milliseconds(0), milliseconds(10'000)}};
  const auto flooded = make_schedule(settings);
  expect_equal(count_of(flooded, 0), count_of(baseline, 0));
  expect_true(count_of(flooded, 1) > 9'000);
}

Test(schedule, prefers_popular_keys) {
  const auto arrivals = make_schedule(two_ranks());
  const auto first = std::ranges::count(arrivals, 0u, &arrival::key);
  const auto tenth = std::ranges::count(arrivals, 9u, &arrival::key);
  expect_true(first > 4 * tenth);
}

Test(schedule, moves_the_hot_key) {
  auto settings = two_ranks();
  settings.popularity.hot_key_shift_interval = milliseconds(5'000);
  const auto arrivals = make_schedule(settings);
  const auto early = std::ranges::count_if(
      arrivals, [](const arrival& each) { return each.key == 0 && each.at < milliseconds(5'000); });
  const auto late = std::ranges::count_if(arrivals, [](const arrival& each) {
    return each.key == 0 && each.at >= milliseconds(5'000);
  });
  expect_true(early > 4 * late);
}
