#include "masticshunt/decisions/requests/slow_start.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration step = milliseconds{1};
const time_point start{seconds{100}};

/// The most that a cold upstream bears in any second.
double bearable(double rate) {
  constexpr double tolerance = 1.5;
  constexpr double slack = 8;
  return tolerance * rate + slack;
}

/// Records the starts of requests and the most in any second.
class second_counter {
 public:
  void count(time_point now) {
    starts_.push_back(now);
    while (starts_.front() <= now - seconds{1}) starts_.pop_front();
    most_ = std::max(most_, starts_.size());
  }
  [[nodiscard]] std::size_t most() const { return most_; }

 private:
  std::deque<time_point> starts_;
  std::size_t most_ = 0;
};

void start_what_may(slow_start& limit, time_point now, second_counter& counter) {
  while (limit.cold(now) && limit.wait(0, now) <= duration{}) {
    limit.started(now);
    counter.count(now);
  }
}

}  // namespace

Test(slow_start, without_a_rate_nothing_is_held_up) {
  slow_start limit;
  limit.state_unknown(start);
  limit.heartbeat_received(seconds{3}, start);
  expect_false(limit.cold(start));
  expect_false(limit.needs_answer());
  expect_true(limit.wait(100, start) == duration{});
}

Test(slow_start, an_upstream_counts_as_cold_until_something_tells) {
  slow_start limit;
  limit.set_rate(11, start);
  expect_true(limit.cold(start));
  expect_true(limit.needs_answer());
  limit.heartbeat_received({}, start);
  expect_false(limit.cold(start));
  expect_false(limit.needs_answer());
}

Test(slow_start, ends_when_the_upstream_said_it_would) {
  slow_start limit;
  limit.set_rate(11, start);
  limit.heartbeat_received(seconds{3}, start);
  expect_true(limit.cold(start + milliseconds{2'999}));
  expect_false(limit.cold(start + seconds{3}));
  expect_true(limit.wait(50, start + seconds{3}) == duration{});
}

Test(slow_start, keeps_what_a_cold_upstream_bears_in_any_second) {
  for (const double rate : {0.0, 1.0, 11.0, 14.0, 200.0}) {
    slow_start limit;
    limit.set_rate(rate, start);
    limit.heartbeat_received(seconds{20}, start);
    second_counter counter;
    for (time_point now = start; now < start + seconds{20}; now += step)
      start_what_may(limit, now, counter);
    expect_true(static_cast<double>(counter.most()) <= bearable(rate), std::to_string(rate));
    expect_true(static_cast<double>(counter.most()) >= rate, std::to_string(rate));
  }
}

Test(slow_start, restarts_of_the_agent_and_repeated_statements_give_no_more) {
  constexpr double rate = 11;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    slow_start limit;
    limit.set_rate(rate, start);
    limit.heartbeat_received(seconds{30}, start);
    second_counter counter;
    for (time_point now = start; now < start + seconds{20}; now += step) {
      start_what_may(limit, now, counter);
      if (random() % 900 == 0) limit.heartbeat_received(start + seconds{30} - now, now);
      if (random() % 900 == 0) limit.health_answered(start + seconds{30} - now, now, now);
      if (random() % 900 == 0) limit.state_unknown(now);
      if (random() % 2'000 == 0) {
        limit = slow_start{};
        limit.set_rate(rate, now);
      }
    }
    expect_true(static_cast<double>(counter.most()) <= bearable(rate), std::to_string(seed));
  }
}

Test(slow_start, a_heartbeat_from_before_the_doubt_does_not_end_it) {
  slow_start limit;
  limit.set_rate(11, start);
  limit.heartbeat_received({}, start);
  limit.state_unknown(start + seconds{5});
  limit.heartbeat_received({}, start + milliseconds{5'400});
  expect_true(limit.cold(start + milliseconds{5'400}));
  limit.heartbeat_received({}, start + milliseconds{6'100});
  expect_false(limit.cold(start + milliseconds{6'100}));
}

Test(slow_start, a_heartbeat_that_says_cold_counts_at_once) {
  slow_start limit;
  limit.set_rate(11, start);
  limit.heartbeat_received({}, start);
  limit.state_unknown(start + seconds{5});
  limit.heartbeat_received(seconds{2}, start + milliseconds{5'100});
  expect_false(limit.needs_answer());
  expect_true(limit.cold(start + seconds{7}));
  expect_false(limit.cold(start + milliseconds{7'100}));
}

Test(slow_start, a_health_answer_counts_if_it_was_asked_for_after_the_doubt) {
  slow_start limit;
  limit.set_rate(11, start);
  limit.state_unknown(start + seconds{1});
  limit.health_answered({}, start + milliseconds{900}, start + milliseconds{1'100});
  expect_true(limit.needs_answer());
  limit.health_answered({}, start + milliseconds{1'050}, start + milliseconds{1'100});
  expect_false(limit.cold(start + milliseconds{1'100}));
}

Test(slow_start, an_absurd_statement_ends_within_minutes) {
  slow_start limit;
  limit.set_rate(11, start);
  limit.heartbeat_received(std::chrono::hours{10'000}, start);
  expect_false(limit.cold(start + std::chrono::minutes{6}));
  limit.heartbeat_received(-std::chrono::hours{10'000}, start);
  expect_false(limit.cold(start));
}
