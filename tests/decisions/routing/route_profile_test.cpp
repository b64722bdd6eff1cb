#include "masticshunt/decisions/routing/route_profile.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

Test(route_profile, a_first_attempt_has_not_waited_before) {
  route_profile profile;
  for (const int caller_timeout : {1'200, 1'080, 1'150}) {
    profile.arrived(milliseconds{caller_timeout});
    expect_true(profile.waited_before(milliseconds{caller_timeout}) == duration{});
  }
}

Test(route_profile, a_retry_has_waited_for_the_missing_part_of_its_timeout) {
  route_profile profile;
  profile.arrived(milliseconds{1'000});
  const auto waited = profile.waited_before(milliseconds{620});
  expect_true(waited > milliseconds{250} && waited < milliseconds{380});
}

Test(route_profile, the_longest_timeout_adapts_to_shorter_ones) {
  route_profile profile;
  profile.arrived(milliseconds{2'000});
  for (int i = 0; i < 3'000; ++i) profile.arrived(milliseconds{1'000});
  expect_true(profile.waited_before(milliseconds{1'000}) == duration{});
}

Test(route_profile, estimates_the_work_and_the_answer_size_of_requests) {
  route_profile profile;
  for (int i = 0; i < 200; ++i) profile.answered(milliseconds{30}, milliseconds{60}, 4'000);
  const auto estimate = profile.estimate(100);
  expect_true(estimate.work_ratio > 0.49 && estimate.work_ratio < 0.51);
  expect_true(estimate.bytes > 4'000 && estimate.bytes <= 4'100);
}

Test(route_profile, assumes_average_work_where_none_was_measured) {
  route_profile profile;
  profile.answered(duration{}, milliseconds{60}, 0);
  expect_true(profile.estimate(0).work_ratio == 1);
}
