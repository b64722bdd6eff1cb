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
  admission_queue subject{{.slots = 2}};
  time_point now{seconds{100}};
  admission_id next = 1;
  std::vector<admission_id> started;
  std::vector<admission_id> refused;

  void take(const admission_actions& actions) {
    for (const auto& each : actions)
      (each.what == admission_action::kind::start ? started : refused).push_back(each.id);
  }
  admission_id offer(std::uint32_t rank = 0, milliseconds target = milliseconds{250},
                     milliseconds deadline = milliseconds{1'000}) {
    admission_actions out;
    const auto id = next++;
    subject.offer({.id = id,
                   .rank = rank,
                   .target = target,
                   .target_time = now + target,
                   .deadline = now + deadline},
                  now, out);
    take(out);
    return id;
  }
  void finish(admission_id id) {
    admission_actions out;
    subject.finished(id, true, now, out);
    take(out);
  }
  void tick() {
    admission_actions out;
    subject.tick(now, out);
    take(out);
  }
  /// Teaches the usual service time of rank 0.
  void teach(milliseconds took, milliseconds target = milliseconds{250}) {
    for (int i = 0; i < 20; ++i) {
      const auto id = offer(0, target);
      now += took;
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
  queue_fixture it;
  expect_true(it.has_started(it.offer()));
}

Test(admission_queue, never_runs_more_than_its_slots) {
  queue_fixture it;
  for (int i = 0; i < 4; ++i) it.offer();
  expect_equal(it.subject.running(), 2U);
}

Test(admission_queue, the_more_urgent_rank_goes_first) {
  queue_fixture it;
  const auto running = it.offer();
  it.offer();
  const auto later = it.offer(2);
  const auto urgent = it.offer(0);
  it.finish(running);
  expect_true(it.has_started(urgent));
  expect_false(it.has_started(later));
}

Test(admission_queue, the_kind_with_the_shorter_service_goes_first_within_a_rank) {
  queue_fixture it;
  it.teach(milliseconds{20}, milliseconds{100});
  it.teach(milliseconds{120}, milliseconds{400});
  const auto running = it.offer();
  it.offer();
  const auto slow = it.offer(0, milliseconds{400});
  const auto quick = it.offer(0, milliseconds{100});
  it.finish(running);
  expect_true(it.has_started(quick));
  expect_false(it.has_started(slow));
}

Test(admission_queue, what_can_meet_its_target_goes_before_what_cannot) {
  queue_fixture it;
  it.teach(milliseconds{100});
  const auto running = it.offer();
  it.offer();
  const auto late = it.offer();
  it.now += milliseconds{200};
  const auto timely = it.offer();
  it.finish(running);
  expect_true(it.has_started(timely));
  expect_false(it.has_started(late));
}

Test(admission_queue, a_late_request_is_served_when_nothing_else_waits) {
  queue_fixture it;
  it.teach(milliseconds{100});
  const auto running = it.offer();
  it.offer();
  const auto late = it.offer();
  it.now += milliseconds{200};
  it.finish(running);
  expect_true(it.has_started(late));
}

Test(admission_queue, saturated_it_refuses_what_has_missed_its_target) {
  queue_fixture it;
  it.teach(milliseconds{100});
  it.offer();
  it.offer();
  const auto first = it.offer();
  for (int i = 0; i < 60 && !it.has_refused(first); ++i) {
    it.now += milliseconds{10};
    it.tick();
  }
  expect_true(it.subject.saturated());
  expect_equal(it.subject.counts().refused_late, 1U);
}

Test(admission_queue, unsaturated_it_keeps_a_request_that_has_missed_its_target) {
  queue_fixture it;
  it.teach(milliseconds{100});
  it.offer();
  it.offer();
  const auto late = it.offer();
  it.now += milliseconds{160};
  it.tick();
  expect_false(it.has_refused(late));
}

Test(admission_queue, refuses_what_can_no_longer_meet_its_deadline) {
  queue_fixture it;
  it.teach(milliseconds{100});
  it.offer();
  it.offer();
  const auto hopeless = it.offer(0, milliseconds{250}, milliseconds{150});
  it.now += milliseconds{60};
  it.tick();
  expect_true(it.has_refused(hopeless));
  expect_equal(it.subject.counts().started_late, 0U);
}

Test(admission_queue, the_oldest_of_a_full_rank_is_refused) {
  queue_fixture it;
  it.offer();
  it.offer();
  const auto oldest = it.offer();
  for (int i = 0; i < 3; ++i) it.offer();
  expect_true(it.has_refused(oldest));
}

Test(admission_queue, a_rank_that_waits_behind_urgent_ones_keeps_its_floor) {
  queue_fixture it;
  const auto patient = [&] { return it.offer(1, milliseconds{60'000}, milliseconds{60'000}); };
  it.offer();
  it.offer();
  const auto waiting = patient();
  for (int i = 0; i < 100 && !it.has_started(waiting); ++i) {
    it.offer();
    const auto done = it.started.at(it.started.size() - 2);
    it.now += milliseconds{1};
    it.finish(done);
  }
  expect_true(it.has_started(waiting));
}

Test(admission_queue, an_abandoned_request_is_forgotten) {
  queue_fixture it;
  const auto running = it.offer();
  it.offer();
  const auto gone = it.offer();
  expect_true(it.subject.abandoned(gone));
  it.finish(running);
  expect_false(it.has_started(gone));
  expect_equal(it.subject.waiting(), 0U);
}
