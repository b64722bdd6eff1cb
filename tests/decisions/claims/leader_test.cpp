#include <algorithm>

#include "decisions/claims/leader_fixture.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;

Test(leader, the_first_candidate_creates_the_map) {
  leader_fixture fixture;
  fixture.run(seconds{3});
  expect_true(fixture.service_leader.leads(fixture.now));
  expect_equal(fixture.stored.leader, "vm-9");
}

Test(leader, an_agent_that_is_no_candidate_never_leads) {
  leader_fixture fixture;
  fixture.service_leader.set_candidate(std::nullopt);
  fixture.run(seconds{20});
  expect_equal(fixture.stored.revision, 0U);
}

Test(leader, a_reporting_owner_gets_a_lease_unless_its_registration_has_ended) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  expect_true(fixture.service_leader.report_received(fixture.report("vm-1", 2), fixture.now).lease >
              duration{});
  expect_true(
      fixture.service_leader.report_received(fixture.report("vm-1", 1), fixture.now).lease ==
      duration{});
}

Test(leader, a_suspected_owner_is_replaced_only_after_its_lease_record_was_deleted) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  fixture.run_with({"vm-2"}, fixture.timing.owner_suspicion_timeout + milliseconds{300});
  expect_equal(fixture.lease_reads.size(), 1U);
  fixture.service_leader.owner_lease_read(
      "vm-1", {.answered = true, .registration = 1, .revision = 77}, fixture.now);
  fixture.run_with({"vm-2"}, fixture.timing.record_lease - milliseconds{200});
  expect_true(fixture.lease_deletions.empty());
  expect_true(fixture.owns_any("vm-1"));
  fixture.run_with({"vm-2"}, seconds{1});
  expect_equal(fixture.lease_deletions.size(), 1U);
  expect_equal(fixture.lease_deletions[0].revision, 77U);
  expect_true(fixture.owns_any("vm-1"));
  fixture.service_leader.owner_lease_deleted("vm-1", write_result::applied, fixture.now);
  fixture.run_with({"vm-2"}, seconds{1});
  expect_false(fixture.owns_any("vm-1"));
  expect_true(fixture.all_owned());
}

Test(leader, an_owner_that_renewed_its_lease_keeps_its_keys) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  fixture.run_with({"vm-2"}, fixture.timing.owner_suspicion_timeout + milliseconds{300});
  fixture.service_leader.owner_lease_read(
      "vm-1", {.answered = true, .registration = 1, .revision = 77}, fixture.now);
  fixture.run_with({"vm-2"}, fixture.timing.record_lease + seconds{1});
  fixture.service_leader.owner_lease_deleted("vm-1", write_result::conflict, fixture.now);
  fixture.run_with({"vm-2"}, seconds{1});
  expect_true(fixture.owns_any("vm-1"));
}

Test(leader, grants_no_lease_while_a_deletion_may_still_take_effect) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  fixture.run_with({"vm-2"}, fixture.timing.owner_suspicion_timeout + milliseconds{300});
  fixture.service_leader.owner_lease_read(
      "vm-1", {.answered = true, .registration = 1, .revision = 77}, fixture.now);
  fixture.run_with({"vm-2"}, fixture.timing.record_lease + seconds{1});
  fixture.service_leader.owner_lease_deleted("vm-1", write_result::no_answer, fixture.now);
  expect_true(fixture.service_leader.report_received(fixture.report("vm-1"), fixture.now).lease ==
              duration{});
}

Test(leader, takes_an_unchanged_lease_record_for_no_renewal_after_an_unanswered_deletion) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  fixture.run_with({"vm-2"}, fixture.timing.owner_suspicion_timeout + milliseconds{300});
  const lease_answer unchanged{.answered = true, .registration = 1, .revision = 77};
  fixture.service_leader.owner_lease_read("vm-1", unchanged, fixture.now);
  fixture.run_with({"vm-2"}, fixture.timing.record_lease + seconds{1});
  fixture.service_leader.owner_lease_deleted("vm-1", write_result::no_answer, fixture.now);
  const auto lease = [&fixture] {
    return fixture.service_leader.report_received(fixture.report("vm-1"), fixture.now).lease;
  };
  expect_true(lease() == duration{});
  fixture.run_with({"vm-1", "vm-2"}, seconds{1});
  fixture.service_leader.owner_lease_read("vm-1", unchanged, fixture.now);
  expect_true(lease() == duration{});
  fixture.run_with({"vm-1", "vm-2"}, seconds{1});
  const lease_answer renewed{.answered = true, .registration = 1, .revision = 78};
  fixture.service_leader.owner_lease_read("vm-1", renewed, fixture.now);
  expect_true(lease() > duration{});
}

Test(leader, a_released_range_moves_with_a_higher_fence_and_the_hand_over) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  const auto owned = *std::ranges::find_if(
      fixture.stored.claims, [](const claim& each) { return each.holder.agent == "vm-1"; });
  const auto fence_before = fixture.highest_fence();
  auto report = fixture.report("vm-1");
  report.accepting = false;
  report.released = {{owned.keys, owned.fence, "warm"}};
  fixture.service_leader.report_received(report, fixture.now);
  fixture.service_leader.report_received(fixture.report("vm-2"), fixture.now);
  fixture.run(milliseconds{200});
  const auto* moved = fixture.stored.find(owned.keys.first);
  expect_equal(moved->holder.agent, "vm-2");
  expect_equal(moved->handover, "warm");
  expect_true(moved->fence > fence_before);
}

Test(leader, a_new_incarnation_of_an_upstream_gets_its_keys_with_a_higher_fence) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  const auto fence_before = fixture.highest_fence();
  auto report = fixture.report("vm-1");
  report.upstream.start_ms = 2'000;
  fixture.service_leader.report_received(report, fixture.now);
  fixture.run(milliseconds{300});
  expect_equal(fixture.stored.claims[0].upstream.start_ms, 2'000);
  expect_true(fixture.stored.claims[0].fence > fence_before);
}

Test(leader, asks_a_draining_owner_to_release_everything) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  auto report = fixture.report("vm-1");
  report.accepting = false;
  fixture.service_leader.report_received(report, fixture.now);
  fixture.service_leader.report_received(fixture.report("vm-2"), fixture.now);
  fixture.run(milliseconds{200});
  expect_false(fixture.service_leader.report_received(report, fixture.now).to_release.empty());
}

Test(leader, sends_maps_to_owners_without_changes_only_at_intervals) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  int maps = 0;
  for (int i = 0; i < 60; ++i, fixture.now += milliseconds{100}) {
    auto report = fixture.report("vm-1");
    report.map_revision = fixture.stored.revision - 1;  // The owner never applies a map.
    maps += fixture.service_leader.report_received(report, fixture.now).update ? 1 : 0;
    fixture.service_leader.report_received(fixture.report("vm-2"), fixture.now);
    fixture.tick();
  }
  expect_true(maps >= 4 && maps <= 6, std::to_string(maps));
}

Test(leader, sends_the_map_of_a_new_incarnation_at_once) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  auto report = fixture.report("vm-1");
  report.map_revision = 0;
  expect_true(fixture.service_leader.report_received(report, fixture.now).update.has_value());
  expect_true(fixture.service_leader.report_received(report, fixture.now).update.has_value());
}

Test(leader, an_unanswered_write_counts_once_it_is_read_back) {
  leader_fixture fixture;
  fixture.drops_answers = true;
  fixture.run(seconds{3});
  expect_true(fixture.service_leader.leads(fixture.now));
  expect_true(fixture.service_leader.map() == fixture.stored);
}

Test(leader, loses_the_leadership_when_the_map_could_not_be_written_in_time) {
  leader_fixture fixture;
  fixture.run(seconds{3});
  const auto end = fixture.now + fixture.timing.leader_lease + seconds{1};
  for (; fixture.now < end; fixture.now += milliseconds{100}) {
    for (const auto& action : fixture.service_leader.tick(fixture.now)) {
      if (std::holds_alternative<write_map>(action))
        fixture.service_leader.map_written(write_result::no_answer, 0, fixture.now, fixture.now);
      if (std::holds_alternative<read_map>(action))
        fixture.service_leader.map_read(false, std::nullopt, fixture.now);
    }
  }
  expect_false(fixture.service_leader.leads(fixture.now));
}

Test(leader, a_candidate_waits_until_the_lease_of_an_unresponsive_leader_has_ended) {
  leader_fixture fixture;
  fixture.stored = empty_map("ledger");
  fixture.stored.revision = fixture.revision;
  fixture.stored.leader = "vm-3";
  fixture.stored.leader_incarnation = 4;
  fixture.run(fixture.timing.leader_lease - seconds{1});
  expect_equal(fixture.stored.leader, "vm-3");
  fixture.run(seconds{4});
  expect_equal(fixture.stored.leader, "vm-9");
}

Test(leader, rejection_by_a_majority_of_owners_lets_a_candidate_lead_at_once) {
  leader_fixture fixture;
  fixture.store_map_led_by("vm-3", 4, {"vm-1", "vm-2", "vm-4"});
  fixture.run(seconds{3});
  fixture.reject("vm-1", 4);
  fixture.run(milliseconds{200});
  expect_equal(fixture.stored.leader, "vm-3", "one of three is no majority");
  fixture.reject("vm-1", 4);
  fixture.reject("vm-2", 4);
  fixture.run(milliseconds{200});
  expect_equal(fixture.stored.leader, "vm-9");
  // The third owner may still get replies from the earlier leader, so it is not replaced while that
  // leader's lease may last.
  expect_false(
      fixture.ends_within("vm-4", {"vm-1", "vm-2"}, fixture.timing.record_lease + seconds{1}));
  fixture.run_with({"vm-1", "vm-2"}, fixture.timing.leader_lease);
  expect_equal(fixture.lease_deletions.size(), 1U);
}

// Guards against keys that two upstreams hold: review/6, OWNER.
Test(leader, a_rejection_of_an_earlier_leader_ends_no_lease_of_the_present_one) {
  leader_fixture fixture;
  fixture.store_map_led_by("vm-3", 4, {"vm-1", "vm-2", "vm-4"});
  fixture.run(seconds{3});
  fixture.reject("vm-4", 4);
  fixture.store_map_led_by("vm-5", 5, {"vm-1", "vm-2", "vm-4"});
  fixture.run(seconds{3});
  fixture.reject("vm-1", 5);
  fixture.reject("vm-2", 5);
  fixture.run(milliseconds{200});
  expect_equal(fixture.stored.leader, "vm-9");
  expect_false(
      fixture.ends_within("vm-4", {"vm-1", "vm-2"}, fixture.timing.record_lease + seconds{1}));
  fixture.run_with({"vm-1", "vm-2"}, fixture.timing.leader_lease);
  expect_equal(fixture.lease_deletions.size(), 1U);
}

// Guards against a rejection of its first term that counts in its second.
Test(leader, leads_with_another_incarnation_in_each_term) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  const auto first_term = fixture.stored.leader_incarnation;
  fixture.store_map_led_by("vm-3", 4, {"vm-1"});
  fixture.run_with({"vm-1"}, seconds{4});
  expect_false(fixture.service_leader.leads(fixture.now));
  fixture.reject("vm-1", 4);
  fixture.run(milliseconds{200});
  expect_equal(fixture.stored.leader, "vm-9");
  expect_true(fixture.stored.leader_incarnation > first_term);
}

// Guards against keys that two upstreams hold when leaders follow one another within a lease.
Test(leader, a_successor_of_a_resigned_leader_waits_for_the_leases_of_those_before_it) {
  leader_fixture first;
  first.store_map_led_by("vm-3", 4, {"vm-1", "vm-2", "vm-4"});
  first.run(seconds{3});
  first.reject("vm-1", 4);
  first.reject("vm-2", 4);
  first.run(milliseconds{200});
  first.service_leader.resign();
  first.run(milliseconds{200});
  expect_true(first.stored.leader.empty());
  leader_fixture second;
  second.stored = first.stored;
  second.revision = first.revision;
  second.run(milliseconds{200});
  expect_equal(second.stored.leader, "vm-9");
  expect_false(second.ends_within("vm-4", {"vm-1", "vm-2"}, seconds{7}));
  second.run_with({"vm-1", "vm-2"}, seconds{5});
  expect_equal(second.lease_deletions.size(), 1U);
}

Test(leader, starts_a_new_incarnation_when_an_owner_has_rejected_the_current_one) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  const auto incarnation = fixture.stored.leader_incarnation;
  auto report = fixture.report("vm-1");
  report.rejected_incarnation = incarnation;
  fixture.service_leader.report_received(report, fixture.now);
  fixture.run(milliseconds{300});
  expect_true(fixture.stored.leader_incarnation > incarnation);
}

Test(leader, a_write_by_another_agent_with_the_same_incarnation_ends_its_lead) {
  leader_fixture fixture;
  fixture.run(seconds{1});
  // Both agents started in the same millisecond and send their first write at the same time.
  const auto actions = fixture.service_leader.tick(fixture.now + seconds{1});
  const auto write = std::ranges::find_if(
      actions, [](const auto& each) { return std::holds_alternative<write_map>(each); });
  expect_true(write != actions.end());
  fixture.stored = std::get<write_map>(*write).map;
  fixture.stored.leader = fixture.stored.writer = "vm-3";
  fixture.stored.leader_address = "10.0.0.3:7600";
  fixture.stored.revision = ++fixture.revision;
  fixture.now += seconds{1};
  fixture.service_leader.map_written(write_result::conflict, 0, fixture.now, fixture.now);
  fixture.run(seconds{3});
  expect_false(fixture.service_leader.leads(fixture.now));
  expect_equal(fixture.stored.leader, "vm-3");
}

Test(leader, replies_carry_a_new_incarnation_only_after_it_is_stored) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  const auto incarnation = fixture.stored.leader_incarnation;
  auto report = fixture.report("vm-1");
  report.rejected_incarnation = incarnation;
  fixture.service_leader.report_received(report, fixture.now);
  fixture.now += seconds{1};
  fixture.service_leader.tick(fixture.now);  // The write of the new incarnation is in flight.
  expect_equal(fixture.service_leader.report_received(report, fixture.now).leader_incarnation,
               incarnation);
}

Test(leader, grants_no_lease_after_a_write_conflict) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  fixture.now += fixture.timing.leader_renewal_interval;
  fixture.service_leader.tick(fixture.now);
  fixture.service_leader.map_written(write_result::conflict, 0, fixture.now, fixture.now);
  expect_true(fixture.service_leader.report_received(fixture.report("vm-1"), fixture.now).lease ==
              duration{});
}

Test(leader, grants_leases_while_the_store_refuses_its_writes) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  const auto end = fixture.now + fixture.timing.leader_lease -
                   fixture.timing.leader_renewal_interval - seconds{3};
  int writes = 0;
  for (; fixture.now < end; fixture.now += milliseconds{100}) {
    expect_true(fixture.service_leader.report_received(fixture.report("vm-1"), fixture.now).lease >
                duration{});
    for (const auto& action : fixture.service_leader.tick(fixture.now)) {
      expect_false(std::holds_alternative<read_map>(action),
                   "a refused write needs no reading back");
      if (!std::holds_alternative<write_map>(action)) continue;
      ++writes;
      fixture.service_leader.map_written(write_result::refused, 0, fixture.now, fixture.now);
    }
  }
  expect_true(writes > 1 && writes < 20);
}

Test(leader, a_restarted_owner_gets_no_lease_while_a_write_is_in_flight) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  fixture.now += fixture.timing.leader_renewal_interval;
  fixture.service_leader.tick(fixture.now);
  auto report = fixture.report("vm-1");
  report.agent_incarnation = 2;
  expect_true(fixture.service_leader.report_received(report, fixture.now).lease == duration{});
  fixture.service_leader.map_written(write_result::applied, ++fixture.revision, fixture.now,
                                     fixture.now);
  expect_true(fixture.service_leader.report_received(report, fixture.now).lease > duration{});
}

Test(leader, a_restarted_owner_gets_the_map_at_once_if_it_started_with_an_older_one) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  auto report = fixture.report("vm-1");
  report.map_revision = fixture.stored.revision - 1;
  // The reply to the earlier process has just carried the map.
  fixture.service_leader.report_received(report, fixture.now);
  report.agent_incarnation = 2;
  const auto reply = fixture.service_leader.report_received(report, fixture.now);
  expect_true(reply.update && reply.update->map.revision == fixture.stored.revision);
}

Test(leader, a_resigning_leader_grants_no_leases) {
  leader_fixture fixture;
  fixture.run_with({"vm-1"}, seconds{6});
  fixture.service_leader.resign();
  expect_true(fixture.service_leader.report_received(fixture.report("vm-1"), fixture.now).lease ==
              duration{});
  fixture.run(milliseconds{200});
  expect_equal(fixture.stored.leader, "");
}

Test(leader, suspects_no_owner_after_its_own_pause) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  fixture.now += seconds{5};
  fixture.tick();
  expect_true(fixture.lease_reads.empty());
}

// Guards against keys that are given away while their owner has a lease: an earlier leader deleted
// its lease record, and this one granted it leases since. Found by drill_soak, seed 3274.
Test(leader, an_owner_whose_lease_record_is_gone_keeps_its_keys_until_its_lease_has_ended) {
  leader_fixture fixture;
  fixture.store_map_led_by("", 7, {"vm-1"});
  fixture.run(seconds{1});
  fixture.run_with({"vm-1", "vm-2"}, seconds{20});
  const auto owned = fixture.owned_by("vm-1");
  expect_true(fixture.service_leader.report_received(fixture.report("vm-1"), fixture.now).lease >
              duration{});
  const auto lease_end = fixture.now + fixture.timing.reply_lease;
  fixture.run_with({"vm-2"}, fixture.timing.owner_suspicion_timeout + milliseconds{100});
  fixture.service_leader.owner_lease_read("vm-1", {.answered = true}, fixture.now);
  fixture.run_with({"vm-2"}, lease_end - fixture.now);
  expect_equal(fixture.owned_by("vm-1"), owned);
  fixture.run_with({"vm-2"}, fixture.timing.margin + seconds{1});
  expect_false(fixture.owns_any("vm-1"));
}
