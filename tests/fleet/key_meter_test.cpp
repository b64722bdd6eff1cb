#include "fleet/internal/key_meter.h"

#include <algorithm>
#include <numeric>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<claims::key_range> all{{0, claims::last_shard_key}};

double sum_of(const std::vector<claims::key_load>& loads) {
  return std::accumulate(loads.begin(), loads.end(), 0.0,
                         [](double sum, const auto& each) { return sum + each.slots; });
}

}  // namespace

Test(key_meter, a_constant_rate_gives_rate_times_service_time) {
  key_meter meter;
  time_point now{seconds{100}};
  for (int i = 0; i < 5'000; ++i, now += milliseconds{1})
    meter.arrived(static_cast<claims::shard_key>(i * 13 % 60'000), now);
  const double slots = sum_of(meter.loads(all, milliseconds{10}, now));
  expect_true(slots > 8.5 && slots < 11.5, std::to_string(slots));
}

Test(key_meter, a_hot_key_gets_its_own_subrange) {
  key_meter meter;
  time_point now{seconds{100}};
  for (int i = 0; i < 2'000; ++i, now += milliseconds{1})
    meter.arrived(i % 2 == 0 ? 777 : static_cast<claims::shard_key>(i * 13 % 60'000), now);
  const auto loads = meter.loads(all, milliseconds{10}, now);
  expect_true(std::ranges::any_of(loads, [](const auto& each) {
    return each.keys == claims::key_range{777, 777};
  }));
}

Test(key_meter, subranges_stay_within_the_requested_ranges) {
  key_meter meter;
  const time_point now{seconds{100}};
  for (claims::shard_key key = 0; key < 1'000; ++key) meter.arrived(key, now);
  const auto loads = meter.loads({{100, 199}, {500, 599}}, milliseconds{10}, now);
  expect_true(std::ranges::all_of(loads, [](const auto& each) {
    return claims::key_range{100, 199}.contains(each.keys) ||
           claims::key_range{500, 599}.contains(each.keys);
  }));
}

Test(key_meter, past_load_decays) {
  key_meter meter;
  const time_point now{seconds{100}};
  for (int i = 0; i < 100; ++i) meter.arrived(5, now);
  expect_true(sum_of(meter.loads(all, milliseconds{10}, now + seconds{10})) < 0.01);
}
