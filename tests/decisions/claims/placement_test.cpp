#include <algorithm>

#include "decisions/claims/leader_fixture.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;

Test(leader, shares_the_keys_among_all_owners_that_report) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2", "vm-3"}, seconds{6});
  expect_true(fixture.all_owned());
  expect_true(fixture.stored.covers_all());
  for (const auto* agent : {"vm-1", "vm-2", "vm-3"}) expect_true(fixture.owns_any(agent), agent);
}

Test(leader, moves_the_densest_load_from_the_busiest_owner) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  const auto owned = *std::ranges::find_if(
      fixture.stored.claims, [](const claim& each) { return each.holder.agent == "vm-1"; });
  auto report = fixture.report("vm-1");
  const shard_key hot = owned.keys.first + 10;
  report.loads = {{{hot, hot + 3}, 3.0}, {{owned.keys.first + 100, owned.keys.last}, 8.0}};
  leader_reply reply;
  for (int i = 0; i < 10; ++i, fixture.now += milliseconds{100}) {
    fixture.service_leader.report_received(fixture.report("vm-2"), fixture.now);
    reply = fixture.service_leader.report_received(report, fixture.now);
    fixture.tick();
  }
  expect_false(reply.to_release.empty());
  expect_true(reply.to_release[0].keys == key_range{hot, hot + 3});
}

Test(leader, an_owner_that_does_not_release_blocks_no_other_move) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2", "vm-3"}, seconds{6});
  const auto unresponsive = fixture.report_with_load("vm-1", 8.0);
  const auto busy = fixture.report_with_load("vm-2", 14.0);
  leader_reply reply;
  for (int i = 0; i < 10; ++i, fixture.now += milliseconds{100}) {
    // The move away from vm-1 is planned at the start; vm-2 becomes busy only later.
    fixture.service_leader.report_received(unresponsive, fixture.now);
    fixture.service_leader.report_received(fixture.report("vm-3"), fixture.now);
    reply =
        fixture.service_leader.report_received(i < 5 ? fixture.report("vm-2") : busy, fixture.now);
    fixture.tick();
  }
  expect_false(
      fixture.service_leader.report_received(unresponsive, fixture.now).to_release.empty());
  expect_false(reply.to_release.empty());
}

Test(leader, moves_a_range_that_alone_fills_its_owner_to_the_fastest_owner) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2", "vm-3"}, seconds{6});
  const auto owned = fixture.owned_by("vm-1");
  auto report = fixture.report("vm-1");
  report.service_time = milliseconds{200};
  report.loads = {{{owned.first, owned.first}, 20.0}};
  auto fast = fixture.report("vm-3");
  fast.service_time = milliseconds{90};
  for (int i = 0; i < 10; ++i, fixture.now += milliseconds{100}) {
    fixture.service_leader.report_received(fixture.report("vm-2"), fixture.now);
    fixture.service_leader.report_received(fast, fixture.now);
    auto reply = fixture.service_leader.report_received(report, fixture.now);
    report.released.clear();
    for (const auto& each : reply.to_release) report.released.push_back(each);
    fixture.tick();
  }
  expect_equal(fixture.stored.find(owned.first)->holder.agent, "vm-3");
}

Test(leader, moves_nothing_for_a_gap_within_the_sampling_error) {
  for (const auto service_time : {milliseconds{20}, milliseconds{500}}) {
    leader_fixture fixture;
    fixture.run_with({"vm-1", "vm-2"}, seconds{6});
    auto busy = fixture.report_with_load("vm-1", 7.2);
    auto other = fixture.report_with_load("vm-2", 3.6);
    busy.service_time = other.service_time = service_time;
    bool moves = false;
    for (int i = 0; i < 10; ++i, fixture.now += milliseconds{100}) {
      fixture.service_leader.report_received(other, fixture.now);
      moves |= !fixture.service_leader.report_received(busy, fixture.now).to_release.empty();
      fixture.tick();
    }
    expect_equal(moves, service_time == milliseconds{20});
  }
}

Test(leader, merges_ranges_again_that_were_split_for_a_load_that_has_ended) {
  leader_fixture fixture;
  const std::vector<std::string> agents{"vm-1", "vm-2", "vm-3"};
  fixture.run_with(agents, seconds{6});
  // A hot spot moves over the keys of vm-1: each narrow range is moved away in turn.
  for (shard_key spot = 0; spot < 60; ++spot) {
    for (int i = 0; i < 6; ++i, fixture.now += milliseconds{100}) {
      for (const auto& agent : agents) {
        auto report = fixture.report(agent);
        const shard_key hot = 100 + 200 * spot;
        if (fixture.stored.find(hot)->holder.agent == agent)
          report.loads = {{{hot, hot + 5}, 4.0}, {{hot + 6, hot + 50}, 4.0}};
        for (const auto& each :
             fixture.service_leader.report_received(report, fixture.now).to_release)
          report.released.push_back(each);
        fixture.service_leader.report_received(report, fixture.now);
      }
      fixture.tick();
    }
  }
  for (int i = 0; i < 400; ++i, fixture.now += milliseconds{100}) {
    for (const auto& agent : agents) {
      auto report = fixture.report(agent);
      report.released = fixture.service_leader.report_received(report, fixture.now).to_release;
      fixture.service_leader.report_received(report, fixture.now);
    }
    fixture.tick();
  }
  constexpr std::size_t claims_limit = 40;
  expect_true(fixture.stored.claims.size() <= claims_limit,
              std::to_string(fixture.stored.claims.size()));
  expect_true(fixture.stored.covers_all());
}

Test(leader, keeps_a_range_that_alone_fills_its_owner_if_no_owner_is_faster) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  const auto owned = fixture.owned_by("vm-1");
  auto report = fixture.report("vm-1");
  report.loads = {{{owned.first, owned.first}, 20.0}};
  for (int i = 0; i < 10; ++i, fixture.now += milliseconds{100}) {
    fixture.service_leader.report_received(fixture.report("vm-2"), fixture.now);
    expect_true(fixture.service_leader.report_received(report, fixture.now).to_release.empty());
    fixture.tick();
  }
}

Test(leader, moves_no_load_between_owners_with_about_the_same_load) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2"}, seconds{6});
  for (int i = 0; i < 10; ++i, fixture.now += milliseconds{100}) {
    for (const auto* agent : {"vm-1", "vm-2"}) {
      auto report = fixture.report(agent);
      const auto owned = *std::ranges::find_if(
          fixture.stored.claims, [&](const claim& each) { return each.holder.agent == agent; });
      report.loads = {{owned.keys, 9.0}};
      expect_true(fixture.service_leader.report_received(report, fixture.now).to_release.empty());
    }
    fixture.tick();
  }
}

Test(leader, moves_no_range_to_an_owner_of_very_many) {
  leader_fixture fixture;
  constexpr shard_key narrow = 128;
  constexpr shard_key width = 256;
  fixture.stored = empty_map("ledger");
  fixture.stored.claims.clear();
  for (shard_key i = 0; i < narrow; ++i) {
    const std::string agent = i % 2 == 0 ? "vm-2" : "vm-3";
    fixture.stored.claims.push_back(
        {{i * width, (i + 1) * width - 1}, {agent, 1}, {"i-" + agent, 1'000}, i + 1, ""});
  }
  fixture.stored.claims.push_back(
      {{narrow * width, last_shard_key}, {"vm-1", 1}, {"i-vm-1", 1'000}, narrow + 1, ""});
  fixture.stored.next_fence = narrow + 2;
  fixture.stored.revision = ++fixture.revision;
  fixture.run_with({"vm-1", "vm-2", "vm-3"}, fixture.timing.leader_lease + seconds{3});
  const auto busy = fixture.report_with_load("vm-1", 14.0);
  leader_reply reply;
  for (int i = 0; i < 10; ++i, fixture.now += milliseconds{100}) {
    for (const auto* agent : {"vm-2", "vm-3"})
      fixture.service_leader.report_received(fixture.report(agent), fixture.now);
    reply = fixture.service_leader.report_received(busy, fixture.now);
    fixture.tick();
  }
  expect_true(reply.is_leader);
  expect_true(reply.to_release.empty());
}

Test(leader, moves_the_keys_of_owners_that_relocate_in_steps_the_most_loaded_first) {
  leader_fixture fixture;
  constexpr shard_key ranges = 64;
  constexpr shard_key width = 1'024;
  fixture.stored = empty_map("ledger");
  fixture.stored.claims.clear();
  for (shard_key i = 0; i < ranges; ++i)
    fixture.stored.claims.push_back(
        {{i * width, (i + 1) * width - 1}, {"vm-1", 1}, {"i-vm-1", 1'000}, i + 1, ""});
  fixture.stored.next_fence = ranges + 1;
  fixture.stored.revision = ++fixture.revision;
  fixture.run_with({"vm-1", "vm-2", "vm-3"}, fixture.timing.leader_lease + seconds{3});
  auto leaving = fixture.report("vm-1");
  leaving.accepting = false;
  leaving.relocating = true;
  leaving.loads = {{{50 * width, 51 * width - 1}, 3.0}, {{7 * width, 8 * width - 1}, 2.0}};
  fixture.service_leader.report_received(leaving, fixture.now);
  fixture.now += milliseconds{100};
  fixture.tick();
  const auto reply = fixture.service_leader.report_received(leaving, fixture.now);
  const auto releases = [&](shard_key key) {
    return std::ranges::any_of(reply.to_release,
                               [&](const auto& each) { return each.keys.contains(key); });
  };
  expect_true(releases(50 * width));
  expect_true(releases(7 * width));
  expect_true(reply.to_release.size() < ranges);
}

Test(leader, keys_of_an_owner_that_relocates_all_move_and_none_return) {
  leader_fixture fixture;
  const std::vector<std::string> agents{"vm-1", "vm-2", "vm-3"};
  fixture.run_with(agents, seconds{4});
  expect_true(fixture.owns_any("vm-1"));
  for (int i = 0; i < 30; ++i, fixture.now += milliseconds{100}) {
    auto leaving = fixture.report("vm-1");
    leaving.accepting = false;
    leaving.relocating = true;
    auto reply = fixture.service_leader.report_received(leaving, fixture.now);
    leaving.released = reply.to_release;
    fixture.service_leader.report_received(leaving, fixture.now);
    for (const auto* other : {"vm-2", "vm-3"})
      fixture.service_leader.report_received(fixture.report(other), fixture.now);
    fixture.tick();
  }
  expect_false(fixture.owns_any("vm-1"));
  expect_true(fixture.all_owned());
  fixture.run_with(agents, seconds{1});
  expect_true(fixture.all_owned());
}

Test(leader, the_next_leader_moves_the_rest_of_the_keys_of_an_owner_that_relocates) {
  leader_fixture fixture;
  fixture.run_with({"vm-1", "vm-2", "vm-3"}, seconds{4});
  expect_true(fixture.owns_any("vm-1"));
  const auto report_and_release = [&] {
    auto leaving = fixture.report("vm-1");
    leaving.accepting = false;
    leaving.relocating = true;
    leaving.released = fixture.service_leader.report_received(leaving, fixture.now).to_release;
    fixture.service_leader.report_received(leaving, fixture.now);
    for (const auto* other : {"vm-2", "vm-3"})
      fixture.service_leader.report_received(fixture.report(other), fixture.now);
  };
  // The first leader is told, and is lost before it has moved anything.
  report_and_release();
  fixture.now += fixture.timing.leader_lease + seconds{1};
  fixture.service_leader =
      leader{"ledger", "vm-8", "10.0.0.8:7600", 600, fixture.timing, fixture.now};
  fixture.service_leader.set_candidate(0);
  for (const auto end = fixture.now + fixture.timing.leader_lease + seconds{5}; fixture.now < end;
       fixture.now += milliseconds{100}) {
    report_and_release();
    fixture.tick();
  }
  expect_equal(fixture.stored.leader, "vm-8");
  expect_false(fixture.owns_any("vm-1"));
  expect_true(fixture.all_owned());
}
