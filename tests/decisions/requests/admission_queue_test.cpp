#include "masticshunt/decisions/requests/admission_queue.h"

#include <algorithm>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct queue_fixture {
  admission_queue queue{{.slots = 2}};
  time_point now{seconds{100}};
  admission_id next = 1;
  std::vector<admission_id> started;
  std::vector<admission_id> refused;

  void record(const admission_actions& actions) {
    for (const auto& each : actions)
      (each.decision == admission_action::kind::start ? started : refused).push_back(each.id);
  }
  admission_id offer(std::uint32_t rank = 0, milliseconds target = milliseconds{250},
                     milliseconds deadline = milliseconds{1'000}) {
    admission_actions out;
    const auto id = next++;
    queue.offer({.id = id,
                 .rank = rank,
                 .target = target,
                 .target_time = now + target,
                 .deadline = now + deadline},
                now, out);
    record(out);
    return id;
  }
  void finish(admission_id id) {
    admission_actions out;
    queue.finished(id, true, now, out);
    record(out);
  }
  void tick() {
    admission_actions out;
    queue.tick(now, out);
    record(out);
  }
  /// Runs 20 requests of rank 0 one after the other, so that the queue can estimate their service
  /// time.
  void run_sequentially(milliseconds service_time, milliseconds target = milliseconds{250}) {
    for (int i = 0; i < 20; ++i) {
      const auto id = offer(0, target);
      now += service_time;
      finish(id);
    }
    started.clear();
  }
  bool has_started(admission_id id) const {
    return std::ranges::find(started, id) != started.end();
  }
  bool has_refused(admission_id id) const {
    return std::ranges::find(refused, id) != refused.end();
  }
};

}  // namespace

Test(admission_queue, starts_at_once_while_a_slot_is_free) {
  queue_fixture f;
  expect_true(f.has_started(f.offer()));
}

Test(admission_queue, never_runs_more_than_its_slots) {
  queue_fixture f;
  for (int i = 0; i < 4; ++i) f.offer();
  expect_equal(f.queue.running(), 2U);
}

Test(admission_queue, the_more_urgent_rank_goes_first) {
  queue_fixture f;
  const auto running = f.offer();
  f.offer();
  const auto later = f.offer(2);
  const auto urgent = f.offer(0);
  f.finish(running);
  expect_true(f.has_started(urgent));
  expect_false(f.has_started(later));
}

Test(admission_queue, the_kind_with_the_shorter_service_goes_first_within_a_rank) {
  queue_fixture f;
  f.run_sequentially(milliseconds{20}, milliseconds{100});
  f.run_sequentially(milliseconds{120}, milliseconds{400});
  const auto running = f.offer();
  f.offer();
  const auto slow = f.offer(0, milliseconds{400});
  const auto quick = f.offer(0, milliseconds{100});
  f.finish(running);
  expect_true(f.has_started(quick));
  expect_false(f.has_started(slow));
}

Test(admission_queue, a_request_that_can_meet_its_target_goes_before_one_that_cannot) {
  queue_fixture f;
  f.run_sequentially(milliseconds{100});
  const auto running = f.offer();
  f.offer();
  const auto late = f.offer();
  f.now += milliseconds{200};
  const auto timely = f.offer();
  f.finish(running);
  expect_true(f.has_started(timely));
  expect_false(f.has_started(late));
}

Test(admission_queue, a_late_request_is_served_when_nothing_else_waits) {
  queue_fixture f;
  f.run_sequentially(milliseconds{100});
  const auto running = f.offer();
  f.offer();
  const auto late = f.offer();
  f.now += milliseconds{200};
  f.finish(running);
  expect_true(f.has_started(late));
}

Test(admission_queue, when_saturated_refuses_a_request_that_missed_its_target) {
  queue_fixture f;
  f.run_sequentially(milliseconds{100});
  f.offer();
  f.offer();
  const auto first = f.offer();
  for (int i = 0; i < 60 && !f.has_refused(first); ++i) {
    f.now += milliseconds{10};
    f.tick();
  }
  expect_true(f.queue.saturated());
  expect_equal(f.queue.counts().refused_late, 1U);
}

Test(admission_queue, when_unsaturated_keeps_a_request_that_missed_its_target) {
  queue_fixture f;
  f.run_sequentially(milliseconds{100});
  f.offer();
  f.offer();
  const auto late = f.offer();
  f.now += milliseconds{160};
  f.tick();
  expect_false(f.has_refused(late));
}

Test(admission_queue, refuses_a_request_that_can_no_longer_meet_its_deadline) {
  queue_fixture f;
  f.run_sequentially(milliseconds{100});
  f.offer();
  f.offer();
  const auto too_late = f.offer(0, milliseconds{250}, milliseconds{150});
  f.now += milliseconds{60};
  f.tick();
  expect_true(f.has_refused(too_late));
  expect_equal(f.queue.counts().started_late, 0U);
}

Test(admission_queue, the_oldest_of_a_full_rank_is_refused) {
  queue_fixture f;
  f.offer();
  f.offer();
  const auto oldest = f.offer();
  for (int i = 0; i < 3; ++i) f.offer();
  expect_true(f.has_refused(oldest));
}

Test(admission_queue, a_rank_that_waits_behind_urgent_ones_keeps_its_floor) {
  queue_fixture f;
  const auto offer_batch = [&] { return f.offer(1, milliseconds{60'000}, milliseconds{60'000}); };
  f.offer();
  f.offer();
  const auto waiting = offer_batch();
  for (int i = 0; i < 100 && !f.has_started(waiting); ++i) {
    f.offer();
    const auto done = f.started.at(f.started.size() - 2);
    f.now += milliseconds{1};
    f.finish(done);
  }
  expect_true(f.has_started(waiting));
}

Test(admission_queue, an_abandoned_request_is_removed) {
  queue_fixture f;
  const auto running = f.offer();
  f.offer();
  const auto abandoned = f.offer();
  expect_true(f.queue.abandoned(abandoned));
  f.finish(running);
  expect_false(f.has_started(abandoned));
  expect_equal(f.queue.waiting(), 0U);
}

namespace {

/// A queue whose upstream named a limit of `per_second`.
struct limited_queue : queue_fixture {
  explicit limited_queue(double per_second) { name(per_second); }
  void name(std::optional<double> per_second) {
    admission_actions out;
    queue.limit_answered(per_second, now, out);
    record(out);
  }
  /// Offers `count` requests at once. Returns how many of them were refused at once.
  std::size_t refused_of(int count, std::uint32_t rank = 0) {
    const auto before = refused.size();
    for (int i = 0; i < count; ++i) offer(rank);
    return refused.size() - before;
  }
};

}  // namespace

Test(admission_queue, starts_no_more_than_the_upstream_takes_though_slots_are_free) {
  limited_queue fixture(10);
  fixture.refused_of(20);
  const time_point end = fixture.now + seconds{1};
  std::size_t most_at_once = 0;
  for (; fixture.now < end; fixture.now += milliseconds{10}) {
    const auto before = fixture.started.size();
    fixture.refused_of(1);
    fixture.tick();
    most_at_once = std::max(most_at_once, fixture.started.size() - before);
    for (const auto id : std::vector(fixture.started)) fixture.finish(id);
  }
  expect_equal(fixture.started.size(), std::size_t{9});
  expect_equal(most_at_once, std::size_t{1});
}

Test(admission_queue, refuses_at_once_what_would_start_too_late_under_the_limit) {
  limited_queue fixture(10);
  // Starts are expected after 100 ms and 200 ms; the third would be too late for its 250 ms.
  expect_equal(fixture.refused_of(3), std::size_t{1});
  expect_true(fixture.started.empty());
}

Test(admission_queue, refuses_the_least_urgent_under_the_limit) {
  limited_queue fixture(10);
  const auto less_urgent = fixture.offer(1);
  fixture.offer(0);
  expect_true(fixture.refused.empty());
  fixture.offer(0);
  expect_equal(fixture.refused.size(), std::size_t{1});
  expect_equal(fixture.refused.front(), less_urgent);
}

Test(admission_queue, states_when_the_limit_has_room_again) {
  limited_queue fixture(10);
  admission_actions out;
  for (admission_id id = 1; id <= 3; ++id)
    fixture.queue.offer({.id = id,
                         .target = milliseconds{250},
                         .target_time = fixture.now + milliseconds{250},
                         .deadline = fixture.now + seconds{1}},
                        fixture.now, out);
  expect_equal(out.size(), std::size_t{1});
  expect_true(out.front().retry_after == milliseconds{300});
}

Test(admission_queue, requests_that_waited_start_when_the_limit_ends) {
  limited_queue fixture(1);
  fixture.offer(0, milliseconds{250}, milliseconds{5'000});
  fixture.offer(0, milliseconds{2'500}, milliseconds{5'000});
  fixture.now += milliseconds{600};
  fixture.name(std::nullopt);
  expect_equal(fixture.started.size(), std::size_t{1});
}

Test(admission_queue, tells_when_the_limit_lets_the_next_request_start) {
  limited_queue fixture(10);
  expect_false(fixture.queue.limit_wait(fixture.now).has_value());
  fixture.offer();
  expect_true(fixture.queue.limit_wait(fixture.now) == milliseconds{100});
  expect_true(fixture.queue.expected_limit_wait(fixture.now) == milliseconds{200});
}

Test(admission_queue, a_cold_upstream_gets_no_more_than_it_takes) {
  queue_fixture fixture;
  fixture.queue.set_slots(50);
  fixture.queue.start_up().set_rate(10, fixture.now);
  fixture.queue.start_up().heartbeat_received(seconds{3}, fixture.now);
  constexpr int ticks = 100;
  for (int i = 0; i < ticks; ++i, fixture.now += milliseconds{10}) {
    fixture.offer(0, milliseconds{2'000}, milliseconds{2'000});
    fixture.tick();
  }
  expect_true(fixture.started.size() >= 9 && fixture.started.size() <= 13,
              std::to_string(fixture.started.size()));
  expect_false(fixture.refused.empty());
}

Test(admission_queue, an_upstream_that_turns_cold_gets_no_more_of_a_queued_burst_than_it_takes) {
  queue_fixture fixture;
  fixture.queue.start_up().set_rate(10, fixture.now);
  fixture.queue.start_up().heartbeat_received({}, fixture.now);
  const auto first = fixture.offer(0, milliseconds{1'000});
  const auto second = fixture.offer(0, milliseconds{1'000});
  for (int i = 0; i < 2; ++i) fixture.offer(0, milliseconds{1'000});
  fixture.queue.start_up().heartbeat_received(seconds{3}, fixture.now);
  admission_actions out;
  fixture.queue.rate_changed(fixture.now, out);
  fixture.record(out);
  fixture.finish(first);
  fixture.finish(second);
  expect_equal(fixture.started.size(), 2U);
  fixture.now += milliseconds{110};
  fixture.tick();
  expect_equal(fixture.started.size(), 3U);
}

Test(admission_queue, takes_the_lower_of_the_named_limit_and_the_slow_start) {
  queue_fixture fixture;
  admission_actions out;
  fixture.queue.limit_answered(30.0, fixture.now, out);
  fixture.queue.start_up().set_rate(10, fixture.now);
  expect_equal(fixture.queue.rate(fixture.now).value_or(0), 10.0);
  fixture.queue.start_up().heartbeat_received({}, fixture.now);
  expect_equal(fixture.queue.rate(fixture.now).value_or(0), 30.0);
}
