#include "masticshunt/decisions/requests/rate_limit.h"

#include <algorithm>
#include <deque>
#include <string>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration step = milliseconds{1};
constexpr duration window = seconds{4};

/// The most that an upstream with a limit may get in any window.
double allowed(double limit) {
  constexpr double tolerance = 1.5;
  constexpr double slack = 5;
  return tolerance * limit * 4 + slack;
}

/// Starts a request whenever the limit lets one, for `span`. Returns the most in any window.
std::size_t busiest_window(rate_limit& limit, time_point from, duration span) {
  std::deque<time_point> starts;
  std::size_t most = 0;
  for (time_point now = from; now < from + span; now += step) {
    while (limit.available(now)) {
      limit.started(now);
      starts.push_back(now);
    }
    while (!starts.empty() && starts.front() <= now - window) starts.pop_front();
    most = std::max(most, starts.size());
  }
  return most;
}

}  // namespace

Test(rate_limit, lets_everything_through_without_a_limit) {
  rate_limit limit;
  limit.answered(std::nullopt, time_point{});
  for (int i = 0; i < 1'000; ++i) {
    expect_true(limit.available(time_point{}));
    limit.started(time_point{});
  }
}

Test(rate_limit, keeps_what_the_upstream_named_in_every_window) {
  for (const double named : {0.0, 0.3, 1.0, 5.4, 33.0, 480.0}) {
    rate_limit limit;
    limit.answered(named, time_point{});
    const auto most = static_cast<double>(busiest_window(limit, time_point{}, seconds{20}));
    expect_true(most <= allowed(named), std::to_string(named));
    expect_true(most >= named * 4, std::to_string(named));
  }
}

Test(rate_limit, keeps_it_also_after_a_pause_without_requests) {
  rate_limit limit;
  limit.answered(10, time_point{});
  const auto most = busiest_window(limit, time_point{seconds{60}}, seconds{20});
  expect_true(static_cast<double>(most) <= allowed(10));
}

Test(rate_limit, lets_a_trial_through_under_a_limit_of_zero) {
  rate_limit limit;
  limit.answered(0, time_point{});
  expect_false(limit.available(time_point{} + milliseconds{1'249}));
  expect_true(limit.available(time_point{} + milliseconds{1'250}));
}

Test(rate_limit, ends_when_answers_no_longer_name_it) {
  rate_limit limit;
  limit.answered(0, time_point{});
  limit.answered(std::nullopt, time_point{} + milliseconds{499});
  expect_true(limit.limit().has_value());
  limit.answered(std::nullopt, time_point{} + milliseconds{500});
  expect_false(limit.limit().has_value());
  expect_true(limit.available(time_point{} + milliseconds{500}));
}

Test(rate_limit, follows_a_raised_limit_at_once) {
  rate_limit limit;
  limit.answered(1, time_point{});
  limit.answered(100, time_point{});
  expect_true(limit.available(time_point{} + milliseconds{10}));
}

Test(rate_limit, a_limit_named_again_and_again_gives_no_new_tokens) {
  rate_limit limit;
  std::size_t starts = 0;
  for (time_point now{}; now < time_point{window}; now += step) {
    limit.answered(now.time_since_epoch().count() % 2 == 0 ? 5.0 : 5.1, now);
    if (!limit.available(now)) continue;
    limit.started(now);
    ++starts;
  }
  expect_true(static_cast<double>(starts) <= allowed(5));
}

Test(rate_limit, what_peers_were_told_counts_until_the_first_answer) {
  rate_limit limit;
  limit.learned(2, time_point{});
  expect_false(limit.available(time_point{}));
  limit.answered(std::nullopt, time_point{} + seconds{1});
  limit.learned(2, time_point{} + seconds{1});
  expect_true(limit.available(time_point{} + seconds{1}));
}

Test(rate_limit, tells_how_long_a_request_waits_behind_others) {
  rate_limit limit;
  limit.answered(10, time_point{});
  expect_true(limit.wait(0, time_point{}) == milliseconds{100});
  expect_true(limit.wait(4, time_point{}) == milliseconds{500});
}

Test(rate_limit, another_incarnation_starts_without_a_limit) {
  rate_limit limit;
  limit.answered(0, time_point{});
  limit.reset();
  expect_true(limit.available(time_point{}));
}
