// Randomised simulations of the whole request chain. For each invariant, a test injects a fault
// that breaks it and checks that the simulation detects the violation.

#include "decisions/requests/virtual_time/chain_run.h"
#include "expect.h"

using namespace masticshunt::testing;

namespace {

chain_settings seeded(std::uint64_t seed, std::uint64_t calls = 30'000) {
  chain_settings settings;
  settings.seed = seed;
  settings.calls = calls;
  return settings;
}

/// Two agents that move two ranges back and forth, over links that break often.
chain_settings back_and_forth() {
  chain_settings settings = seeded(1, 20'000);
  settings.agents = 2;
  settings.ranges = 2;
  settings.between_calls = std::chrono::milliseconds{1};
  settings.between_moves = std::chrono::milliseconds{200};
  settings.link_break_share = 0.2;
  return settings;
}

std::uint64_t violations(const chain_findings& found) {
  return found.double_runs + found.false_not_run + found.foreign_answers + found.floors_broken +
         found.queue_bounds_broken + found.late_starts + found.key_bounds_broken +
         found.ledger_bounds_broken;
}

}  // namespace

Test(request_chain, keeps_every_invariant_while_owners_change_and_upstreams_freeze) {
  const chain_findings found = chain_run(seeded(1)).run();
  expect_equal(violations(found), 0U);
  expect_true(found.runs > 10'000 && found.planned_moves > 50 && found.unplanned_moves > 5);
  expect_true(found.freezes > 0 && found.late_answers_dropped > 0 &&
              found.answered_from_ledger > 0);
}

Test(request_chain, keeps_every_invariant_with_a_full_ledger) {
  chain_settings settings = seeded(2);
  settings.ledger_capacity = 200;
  const chain_findings found = chain_run(settings).run();
  expect_equal(violations(found), 0U);
  expect_true(found.ledger_size_max <= 200);
}

Test(request_chain, keeps_every_invariant_while_ranges_move_back_and_forth) {
  expect_equal(violations(chain_run(back_and_forth()).run()), 0U);
}

Test(request_chain, keeps_retries_within_their_budget) {
  const chain_findings found = chain_run(seeded(3)).run();
  expect_true(static_cast<double>(found.retries) <= 0.1 * static_cast<double>(found.attempts) + 40);
}

Test(request_chain, is_the_same_for_the_same_seed) {
  const chain_findings first = chain_run(seeded(4, 2'000)).run();
  const chain_findings second = chain_run(seeded(4, 2'000)).run();
  expect_equal(first.runs, second.runs);
  expect_equal(first.forwards, second.forwards);
}

Test(request_chain, detects_double_runs_of_a_ledger_that_discards_unknown_outcomes) {
  chain_settings settings = seeded(1);
  settings.faults.ledger.discard_unknown = true;
  expect_true(chain_run(settings).run().double_runs > 0);
}

Test(request_chain, detects_double_runs_of_a_ledger_that_evicts_when_full) {
  chain_settings settings = seeded(1);
  settings.ledger_capacity = 200;
  settings.faults.ledger.evict_when_full = true;
  const chain_findings found = chain_run(settings).run();
  expect_true(found.double_runs > 0 && found.ledger_bounds_broken > 0);
}

Test(request_chain, detects_double_runs_of_an_owner_that_ignores_its_history_gap) {
  chain_settings settings = seeded(1);
  settings.faults.ledger.ignore_history_gap = true;
  expect_true(chain_run(settings).run().double_runs > 0);
}

Test(request_chain, detects_double_runs_of_an_owner_that_trusts_stale_routes) {
  chain_settings settings = back_and_forth();
  settings.calls = 60'000;
  settings.faults.ledger.ignore_stale_route = true;
  expect_true(chain_run(settings).run().double_runs > 0);
}

Test(request_chain, detects_double_runs_when_the_ledger_is_not_handed_over) {
  chain_settings settings = seeded(1);
  settings.faults.hide_hand_over = true;
  expect_true(chain_run(settings).run().double_runs > 0);
}

Test(request_chain, detects_double_runs_of_an_owner_that_starts_work_after_its_range_moved) {
  chain_settings settings = seeded(1, 60'000);
  settings.faults.start_after_loss = true;
  expect_true(chain_run(settings).run().double_runs > 0);
}

Test(request_chain, detects_refusals_that_falsely_report_not_run) {
  chain_settings settings = seeded(1);
  settings.faults.claim_not_run = true;
  expect_true(chain_run(settings).run().false_not_run > 0);
}

Test(request_chain, detects_ingress_agents_that_ignore_lost_forwards) {
  chain_settings settings = seeded(1);
  settings.faults.retry_unproven = true;
  expect_true(chain_run(settings).run().false_not_run > 0);
}

Test(request_chain, detects_answers_that_are_delivered_to_another_request) {
  chain_settings settings = seeded(1);
  settings.faults.deliver_any_answer = true;
  expect_true(chain_run(settings).run().foreign_answers > 0);
}

Test(request_chain, detects_a_gate_that_ignores_floors) {
  chain_settings settings = seeded(1);
  settings.faults.gate.ignore_floors = true;
  expect_true(chain_run(settings).run().floors_broken > 0);
}

Test(request_chain, detects_a_gate_that_gives_stalled_keys_more_slots) {
  chain_settings settings = seeded(1);
  settings.faults.gate.ignore_key_bound = true;
  expect_true(chain_run(settings).run().key_bounds_broken > 0);
}

Test(request_chain, detects_a_gate_that_starts_work_after_its_deadline) {
  chain_settings settings = seeded(1);
  settings.faults.gate.ignore_deadlines = true;
  expect_true(chain_run(settings).run().late_starts > 0);
}

Test(request_chain, detects_a_gate_without_a_queue_bound) {
  chain_settings settings = seeded(1);
  settings.faults.gate.ignore_queue_bound = true;
  expect_true(chain_run(settings).run().queue_bounds_broken > 0);
}
