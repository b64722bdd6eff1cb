#include "masticshunt/decisions/requests/gate.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

/// A gate with a fixed limit and two ranks, the second of which has a floor of a quarter.
struct gate_fixture {
  gate_settings settings{
      .ranks = {{.name = "urgent", .floor = 0.5}, {.name = "batch", .floor = 0.25}},
      .slots = 4,
      .queue_capacity = 64,
      .algorithm = limit_algorithm::fixed};
  gate upstream_gate{settings};
  attempt_id next = 1;

  /// Offers `count` attempts of `rank` and returns the actions.
  gate_actions offer(std::uint32_t count, std::uint32_t rank = 0, duration when = {}) {
    gate_actions actions;
    for (std::uint32_t i = 0; i < count; ++i)
      upstream_gate.offer(lookup(next++, rank), at(when), actions);
    return actions;
  }

  /// Runs `count` attempts one after the other, so that the gate can estimate their service time.
  duration run_sequentially(duration service, int count = 50) {
    duration now{};
    for (int i = 0; i < count; ++i) {
      const attempt_id attempt = next;
      offer(1, 0, now);
      now += service;
      upstream_gate.finished(attempt, attempt_result::answered, at(now));
    }
    return now;
  }
};

}  // namespace

Test(gate, starts_attempts_up_to_the_limit_and_keeps_the_rest_waiting) {
  gate_fixture f;
  expect_equal(count_of<start_attempt>(f.offer(6)), 4U);
  expect_equal(f.upstream_gate.running(), 4U);
  expect_equal(f.upstream_gate.waiting(), 2U);
}

Test(gate, starts_the_most_urgent_rank_first_when_all_floors_are_kept) {
  gate_fixture f;
  f.offer(1, 1);
  f.offer(3, 0);
  const gate_actions waiting = f.offer(1, 1);
  f.offer(1, 0);
  const gate_actions actions = f.upstream_gate.finished(2, attempt_result::answered, at({}));
  expect_true(waiting.empty());
  expect_true(starts(actions, 6));
}

Test(gate, gives_the_next_free_slot_to_a_rank_below_its_floor) {
  gate_fixture f;
  f.offer(8, 0);
  f.offer(1, 1);
  expect_true(
      starts(f.upstream_gate.finished(1, attempt_result::answered, at(milliseconds{1})), 9));
}

Test(gate, lends_unused_floors) {
  gate_fixture f;
  expect_equal(count_of<start_attempt>(f.offer(4, 1)), 4U);
}

Test(gate, serves_callers_of_a_rank_round_robin) {
  gate_fixture f;
  f.offer(10);
  request_descriptor other = lookup(100);
  other.caller = "dispatcher";
  f.upstream_gate.offer(other, at({}));
  f.upstream_gate.finished(1, attempt_result::answered, at({}));
  expect_true(starts(f.upstream_gate.finished(2, attempt_result::answered, at({})), 100));
}

Test(gate, refuses_an_attempt_whose_deadline_has_passed) {
  gate_fixture f;
  request_descriptor late = lookup(1);
  late.deadline = at({});
  expect_equal(reason_of(f.upstream_gate.offer(late, at({})), 1), refusal_reason::deadline_passed);
}

Test(gate, refuses_an_attempt_that_cannot_meet_its_deadline_at_the_observed_service_time) {
  gate_fixture f;
  const duration now = f.run_sequentially(milliseconds{100});
  f.offer(4, 0, now);
  request_descriptor hasty = lookup(1'000);
  hasty.deadline = at(now + milliseconds{50});
  expect_equal(reason_of(f.upstream_gate.offer(hasty, at(now)), 1'000),
               refusal_reason::deadline_passed);
}

Test(gate, starts_an_attempt_that_seems_too_late_when_nothing_runs) {
  gate_fixture f;
  const duration now = f.run_sequentially(milliseconds{100});
  request_descriptor hasty = lookup(1'000);
  hasty.deadline = at(now + milliseconds{50});
  expect_true(starts(f.upstream_gate.offer(hasty, at(now)), 1'000));
}

Test(gate, refuses_waiting_attempts_whose_wait_limit_has_passed) {
  gate_fixture f;
  f.offer(5);
  const gate_actions actions = f.upstream_gate.tick(at(seconds{2}));
  expect_equal(reason_of(actions, 5), refusal_reason::overloaded);
  expect_equal(f.upstream_gate.waiting(), 0U);
}

Test(gate, cancels_a_running_attempt_at_its_deadline_once) {
  gate_fixture f;
  f.offer(1);
  expect_equal(count_of<cancel_attempt>(f.upstream_gate.tick(at(seconds{10}))), 1U);
  expect_equal(count_of<cancel_attempt>(f.upstream_gate.tick(at(seconds{11}))), 0U);
}

Test(gate, cancels_a_running_attempt_whose_caller_disconnected) {
  gate_fixture f;
  f.offer(1);
  expect_equal(count_of<cancel_attempt>(f.upstream_gate.abandoned(1, at({}))), 1U);
}

Test(gate, does_not_cancel_an_attempt_twice) {
  gate_fixture f;
  f.offer(1);
  f.upstream_gate.tick(at(seconds{10}));
  expect_equal(count_of<cancel_attempt>(f.upstream_gate.abandoned(1, at(seconds{11}))), 0U);
}

Test(gate, removes_a_waiting_attempt_whose_caller_disconnected) {
  gate_fixture f;
  f.offer(5);
  expect_true(f.upstream_gate.abandoned(5, at({})).empty());
  expect_equal(f.upstream_gate.waiting(), 0U);
}

Test(gate, refuses_an_attempt_when_the_queue_of_its_rank_is_full) {
  gate_fixture f;
  const gate_actions actions = f.offer(4 + 32 + 1);
  expect_equal(reason_of(actions, 37), refusal_reason::overloaded);
}

Test(gate, leaves_room_for_other_ranks_when_one_rank_floods) {
  gate_fixture f;
  f.offer(200, 1);
  expect_equal(count_of<refuse_attempt>(f.offer(8, 0)), 0U);
}

Test(gate, refuses_attempts_of_a_flooding_caller_in_favour_of_another_caller) {
  gate_fixture f;
  f.offer(200);
  request_descriptor other = lookup(1'000);
  other.caller = "dispatcher";
  expect_equal(reason_of(f.upstream_gate.offer(other, at({})), 1'000), refusal_reason::none);
}

Test(gate, gives_a_stalled_key_no_second_slot) {
  gate_fixture f;
  const duration now = f.run_sequentially(milliseconds{10});
  request_descriptor stalled = lookup(1'000);
  stalled.hash = 7;
  f.upstream_gate.offer(stalled, at(now));
  stalled.attempt = 1'001;
  expect_true(f.upstream_gate.offer(stalled, at(now + milliseconds{200})).empty());
  expect_equal(count_of<start_attempt>(f.offer(1, 0, now + milliseconds{200})), 1U);
}

Test(gate, starts_the_parked_attempts_of_a_key_when_it_recovers) {
  gate_fixture f;
  const duration now = f.run_sequentially(milliseconds{10});
  request_descriptor stalled = lookup(1'000);
  stalled.hash = 7;
  f.upstream_gate.offer(stalled, at(now));
  stalled.attempt = 1'001;
  f.upstream_gate.offer(stalled, at(now + milliseconds{200}));
  const gate_actions actions =
      f.upstream_gate.finished(1'000, attempt_result::answered, at(now + milliseconds{210}));
  expect_true(starts(actions, 1'001));
}

Test(gate, keeps_slots_free_of_known_stalled_keys) {
  gate_fixture f;
  const duration now = f.run_sequentially(milliseconds{10});
  const auto offer_key = [&](attempt_id attempt, key_hash key, duration when) {
    request_descriptor request = lookup(attempt);
    request.hash = key;
    return f.upstream_gate.offer(request, at(when));
  };
  for (key_hash key = 1; key <= 3; ++key) offer_key(1'000 + key, key, now);
  f.upstream_gate.tick(at(now + milliseconds{200}));
  f.upstream_gate.finished(1'003, attempt_result::timed_out, at(now + milliseconds{200}));
  const duration later = now + milliseconds{210};
  expect_equal(reason_of(offer_key(1'004, 3, later), 1'004), refusal_reason::overloaded);
  expect_true(starts(offer_key(1'005, 9, later), 1'005));
}

Test(gate, refuses_an_unknown_rank) {
  gate_fixture f;
  expect_equal(reason_of(f.offer(1, 9), 1), refusal_reason::bad_request);
}

Test(gate, keeps_attempts_across_a_reconfiguration) {
  gate_fixture f;
  f.offer(8, 0);
  std::ranges::reverse(f.settings.ranks);
  f.settings.slots = 2;
  f.upstream_gate.reconfigure(f.settings, at({}));
  expect_equal(f.upstream_gate.running(), 4U);
  expect_equal(f.upstream_gate.waiting(1), 4U);
  f.upstream_gate.finished(1, attempt_result::answered, at({}));
  expect_equal(f.upstream_gate.running(), 3U);
}

Test(gate, keeps_its_learned_limit_when_only_a_floor_changes) {
  gate_fixture f;
  f.settings.algorithm = limit_algorithm::gradient;
  f.upstream_gate.reconfigure(f.settings, at({}));
  for (int i = 0; i < 400; ++i) {
    f.offer(1);
    f.upstream_gate.finished(f.next - 1, attempt_result::timed_out, at({}));
  }
  const double learned = f.upstream_gate.limit();
  f.settings.ranks[0].floor = 0.4;
  f.upstream_gate.reconfigure(f.settings, at({}));
  expect_true(learned < 4);
  expect_equal(f.upstream_gate.limit(), learned);
}

Test(gate, dumps_its_ranks) {
  gate_fixture f;
  f.offer(5);
  expect_true(f.upstream_gate.dump(at({})).find(R"("name":"urgent")") != std::string::npos);
}
