#include <algorithm>

#include "decisions/claims/leader_fixture.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;

Test(leader, the_first_candidate_creates_the_map) {
  leader_fixture it;
  it.run(seconds{3});
  expect_true(it.subject.leads(it.now));
  expect_equal(it.stored.leader, "vm-9");
}

Test(leader, no_candidate_never_leads) {
  leader_fixture it;
  it.subject.set_candidate(std::nullopt);
  it.run(seconds{20});
  expect_equal(it.stored.revision, 0U);
}

Test(leader, a_reporting_owner_gets_a_right_and_one_of_an_ended_registration_does_not) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  expect_true(it.subject.report_received(it.report("vm-1", 2), it.now).lease > duration{});
  expect_true(it.subject.report_received(it.report("vm-1", 1), it.now).lease == duration{});
}

Test(leader, a_silent_owner_is_replaced_only_after_its_lease_object_was_deleted) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  it.run_with({"vm-2"}, it.timing.owner_suspicion_timeout + milliseconds{300});
  expect_equal(it.lease_reads.size(), 1U);
  it.subject.owner_lease_read("vm-1", {.answered = true, .registration = 1, .revision = 77},
                              it.now);
  it.run_with({"vm-2"}, it.timing.record_lease - milliseconds{200});
  expect_true(it.lease_deletions.empty());
  expect_true(it.owns_any("vm-1"));
  it.run_with({"vm-2"}, seconds{1});
  expect_equal(it.lease_deletions.size(), 1U);
  expect_equal(it.lease_deletions[0].revision, 77U);
  expect_true(it.owns_any("vm-1"));
  it.subject.owner_lease_deleted("vm-1", write_result::applied, it.now);
  it.run_with({"vm-2"}, seconds{1});
  expect_false(it.owns_any("vm-1"));
  expect_true(it.all_owned());
}

Test(leader, an_owner_that_renewed_its_lease_keeps_its_keys) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  it.run_with({"vm-2"}, it.timing.owner_suspicion_timeout + milliseconds{300});
  it.subject.owner_lease_read("vm-1", {.answered = true, .registration = 1, .revision = 77},
                              it.now);
  it.run_with({"vm-2"}, it.timing.record_lease + seconds{1});
  it.subject.owner_lease_deleted("vm-1", write_result::conflict, it.now);
  it.run_with({"vm-2"}, seconds{1});
  expect_true(it.owns_any("vm-1"));
}

Test(leader, gives_no_right_while_a_deletion_may_still_take_effect) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  it.run_with({"vm-2"}, it.timing.owner_suspicion_timeout + milliseconds{300});
  it.subject.owner_lease_read("vm-1", {.answered = true, .registration = 1, .revision = 77},
                              it.now);
  it.run_with({"vm-2"}, it.timing.record_lease + seconds{1});
  it.subject.owner_lease_deleted("vm-1", write_result::no_answer, it.now);
  expect_true(it.subject.report_received(it.report("vm-1"), it.now).lease == duration{});
}

Test(leader, a_released_range_moves_with_a_higher_fence_and_the_hand_over) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  const auto owned = *std::ranges::find_if(
      it.stored.claims, [](const claim& each) { return each.holder.agent == "vm-1"; });
  const auto fence_before = it.highest_fence();
  auto report = it.report("vm-1");
  report.accepting = false;
  report.released = {{owned.keys, owned.fence, "warm"}};
  it.subject.report_received(report, it.now);
  it.subject.report_received(it.report("vm-2"), it.now);
  it.run(milliseconds{200});
  const auto* moved = it.stored.find(owned.keys.first);
  expect_equal(moved->holder.agent, "vm-2");
  expect_equal(moved->handover, "warm");
  expect_true(moved->fence > fence_before);
}

Test(leader, another_life_of_an_upstream_gets_its_keys_with_a_higher_fence) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  const auto fence_before = it.highest_fence();
  auto report = it.report("vm-1");
  report.upstream.start_ms = 2'000;
  it.subject.report_received(report, it.now);
  it.run(milliseconds{300});
  expect_equal(it.stored.claims[0].upstream.start_ms, 2'000);
  expect_true(it.stored.claims[0].fence > fence_before);
}

Test(leader, asks_a_leaving_owner_to_release_everything) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  auto report = it.report("vm-1");
  report.accepting = false;
  it.subject.report_received(report, it.now);
  it.subject.report_received(it.report("vm-2"), it.now);
  it.run(milliseconds{200});
  expect_false(it.subject.report_received(report, it.now).to_release.empty());
}

Test(leader, sends_maps_to_owners_without_changes_only_now_and_then) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  int maps = 0;
  for (int i = 0; i < 60; ++i, it.now += milliseconds{100}) {
    auto report = it.report("vm-1");
    report.map_revision = it.stored.revision - 1;  // It never takes one in.
    maps += it.subject.report_received(report, it.now).map ? 1 : 0;
    it.subject.report_received(it.report("vm-2"), it.now);
    it.tick();
  }
  expect_true(maps >= 4 && maps <= 6, std::to_string(maps));
}

Test(leader, sends_the_map_of_a_new_life_at_once) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  auto report = it.report("vm-1");
  report.map_revision = 0;
  expect_true(it.subject.report_received(report, it.now).map.has_value());
  expect_true(it.subject.report_received(report, it.now).map.has_value());
}

Test(leader, a_write_without_an_answer_counts_once_the_store_shows_it) {
  leader_fixture it;
  it.loses_answers = true;
  it.run(seconds{3});
  expect_true(it.subject.leads(it.now));
  expect_true(it.subject.map() == it.stored);
}

Test(leader, loses_the_lead_when_the_map_could_not_be_written_in_time) {
  leader_fixture it;
  it.run(seconds{3});
  const auto end = it.now + it.timing.leader_lease + seconds{1};
  for (; it.now < end; it.now += milliseconds{100}) {
    for (const auto& each : it.subject.tick(it.now)) {
      if (std::holds_alternative<write_map>(each))
        it.subject.map_written(write_result::no_answer, 0, it.now, it.now);
      if (std::holds_alternative<read_map>(each)) it.subject.map_read(false, std::nullopt, it.now);
    }
  }
  expect_false(it.subject.leads(it.now));
}

Test(leader, a_candidate_waits_until_the_right_of_a_silent_leader_is_over) {
  leader_fixture it;
  it.stored = empty_map("ledger");
  it.stored.revision = it.revision;
  it.stored.leader = "vm-3";
  it.stored.leader_incarnation = 4;
  it.run(it.timing.leader_lease - seconds{1});
  expect_equal(it.stored.leader, "vm-3");
  it.run(seconds{4});
  expect_equal(it.stored.leader, "vm-9");
}

Test(leader, most_owners_word_lets_a_candidate_lead_at_once) {
  leader_fixture it;
  it.stored = empty_map("ledger");
  it.stored.revision = it.revision;
  it.stored.leader = "vm-3";
  it.stored.leader_incarnation = 4;
  split_at(it.stored.claims, {0, 99});
  split_at(it.stored.claims, {100, 199});
  const char* agents[] = {"vm-1", "vm-2", "vm-4"};
  for (std::size_t i = 0; i < 3; ++i) {
    it.stored.claims[i].holder = {agents[i], 1};
    it.stored.claims[i].upstream = {std::string("i-") + agents[i], 1'000};
    it.stored.claims[i].fence = i + 1;
  }
  it.run(seconds{3});
  const auto say = [&](const char* agent) {
    auto report = it.report(agent);
    report.rejected_incarnation = 4;
    it.subject.report_received(report, it.now);
  };
  say("vm-1");
  it.run(milliseconds{200});
  expect_equal(it.stored.leader, "vm-3", "one of three is not most");
  say("vm-1");
  say("vm-2");
  it.run(milliseconds{200});
  expect_equal(it.stored.leader, "vm-9");
  // The third may still hear the old leader: it is not replaced while that one's right may last.
  it.run_with({"vm-1", "vm-2"}, it.timing.owner_suspicion_timeout + milliseconds{300});
  it.subject.owner_lease_read("vm-4", {.answered = true, .registration = 1, .revision = 77},
                              it.now);
  it.run_with({"vm-1", "vm-2"}, it.timing.record_lease + seconds{1});
  expect_true(it.lease_deletions.empty());
  it.run_with({"vm-1", "vm-2"}, it.timing.leader_lease);
  expect_equal(it.lease_deletions.size(), 1U);
}

Test(leader, begins_a_new_life_when_an_owner_has_rejected_the_present_one) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  const auto incarnation = it.stored.leader_incarnation;
  auto report = it.report("vm-1");
  report.rejected_incarnation = incarnation;
  it.subject.report_received(report, it.now);
  it.run(milliseconds{300});
  expect_true(it.stored.leader_incarnation > incarnation);
}

Test(leader, does_not_take_the_write_of_an_agent_with_the_same_life_for_its_own) {
  leader_fixture it;
  it.run(seconds{1});
  // Both started in the same millisecond and write for the first time at once.
  const auto actions = it.subject.tick(it.now + seconds{1});
  const auto write = std::ranges::find_if(
      actions, [](const auto& each) { return std::holds_alternative<write_map>(each); });
  expect_true(write != actions.end());
  it.stored = std::get<write_map>(*write).map;
  it.stored.leader = it.stored.writer = "vm-3";
  it.stored.leader_address = "10.0.0.3:7600";
  it.stored.revision = ++it.revision;
  it.now += seconds{1};
  it.subject.map_written(write_result::conflict, 0, it.now, it.now);
  it.run(seconds{3});
  expect_false(it.subject.leads(it.now));
  expect_equal(it.stored.leader, "vm-3");
}

Test(leader, speaks_of_a_new_life_only_once_the_store_holds_it) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  const auto incarnation = it.stored.leader_incarnation;
  auto report = it.report("vm-1");
  report.rejected_incarnation = incarnation;
  it.subject.report_received(report, it.now);
  it.now += seconds{1};
  it.subject.tick(it.now);  // The write of the new life is on its way.
  expect_equal(it.subject.report_received(report, it.now).leader_incarnation, incarnation);
}

Test(leader, gives_no_right_while_its_map_was_overtaken) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  it.now += it.timing.leader_renewal_interval;
  it.subject.tick(it.now);
  it.subject.map_written(write_result::conflict, 0, it.now, it.now);
  expect_true(it.subject.report_received(it.report("vm-1"), it.now).lease == duration{});
}

Test(leader, leads_on_while_the_store_refuses_its_writes) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  const auto end = it.now + it.timing.leader_lease - it.timing.leader_renewal_interval - seconds{3};
  int writes = 0;
  for (; it.now < end; it.now += milliseconds{100}) {
    expect_true(it.subject.report_received(it.report("vm-1"), it.now).lease > duration{});
    for (const auto& each : it.subject.tick(it.now)) {
      expect_false(std::holds_alternative<read_map>(each), "a refused write needs no reading back");
      if (!std::holds_alternative<write_map>(each)) continue;
      ++writes;
      it.subject.map_written(write_result::refused, 0, it.now, it.now);
    }
  }
  expect_true(writes > 1 && writes < 20);
}

Test(leader, a_restarted_owner_gets_no_right_while_a_write_is_on_its_way) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  it.now += it.timing.leader_renewal_interval;
  it.subject.tick(it.now);
  auto report = it.report("vm-1");
  report.agent_incarnation = 2;
  expect_true(it.subject.report_received(report, it.now).lease == duration{});
  it.subject.map_written(write_result::applied, ++it.revision, it.now, it.now);
  expect_true(it.subject.report_received(report, it.now).lease > duration{});
}

Test(leader, a_resigning_leader_gives_no_more_rights) {
  leader_fixture it;
  it.run_with({"vm-1"}, seconds{6});
  it.subject.resign();
  expect_true(it.subject.report_received(it.report("vm-1"), it.now).lease == duration{});
  it.run(milliseconds{200});
  expect_equal(it.stored.leader, "");
}

Test(leader, its_own_pause_proves_nothing_about_owners) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  it.now += seconds{5};
  it.tick();
  expect_true(it.lease_reads.empty());
}
