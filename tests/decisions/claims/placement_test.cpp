#include <algorithm>

#include "decisions/claims/leader_fixture.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;

Test(leader, shares_the_keys_among_all_owners_that_report) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2", "vm-3"}, seconds{6});
  expect_true(it.all_owned());
  expect_true(it.stored.covers_all());
  for (const auto* agent : {"vm-1", "vm-2", "vm-3"}) expect_true(it.owns_any(agent), agent);
}

Test(leader, moves_the_densest_load_from_the_busiest_owner) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  const auto owned = *std::ranges::find_if(
      it.stored.claims, [](const claim& each) { return each.holder.agent == "vm-1"; });
  auto report = it.report("vm-1");
  const shard_key hot = owned.keys.first + 10;
  report.loads = {{{hot, hot + 3}, 3.0}, {{owned.keys.first + 100, owned.keys.last}, 8.0}};
  leader_reply reply;
  for (int i = 0; i < 10; ++i, it.now += milliseconds{100}) {
    it.subject.report_received(it.report("vm-2"), it.now);
    reply = it.subject.report_received(report, it.now);
    it.tick();
  }
  expect_false(reply.to_release.empty());
  expect_true(reply.to_release[0].keys == key_range{hot, hot + 3});
}

Test(leader, an_owner_that_does_not_give_back_holds_up_no_other_move) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2", "vm-3"}, seconds{6});
  const auto stuck = it.report_with_load("vm-1", 8.0);
  const auto busy = it.report_with_load("vm-2", 14.0);
  leader_reply reply;
  for (int i = 0; i < 10; ++i, it.now += milliseconds{100}) {
    // The move away from vm-1 is wanted from the start; vm-2 becomes busy only later.
    it.subject.report_received(stuck, it.now);
    it.subject.report_received(it.report("vm-3"), it.now);
    reply = it.subject.report_received(i < 5 ? it.report("vm-2") : busy, it.now);
    it.tick();
  }
  expect_false(it.subject.report_received(stuck, it.now).to_release.empty());
  expect_false(reply.to_release.empty());
}

Test(leader, moves_a_stretch_that_alone_fills_its_owner_to_the_fastest_one) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2", "vm-3"}, seconds{6});
  const auto owned = it.owned_by("vm-1");
  auto report = it.report("vm-1");
  report.service_time = milliseconds{200};
  report.loads = {{{owned.first, owned.first}, 20.0}};
  auto fast = it.report("vm-3");
  fast.service_time = milliseconds{90};
  for (int i = 0; i < 10; ++i, it.now += milliseconds{100}) {
    it.subject.report_received(it.report("vm-2"), it.now);
    it.subject.report_received(fast, it.now);
    auto reply = it.subject.report_received(report, it.now);
    report.released.clear();
    for (const auto& each : reply.to_release) report.released.push_back(each);
    it.tick();
  }
  expect_equal(it.stored.find(owned.first)->holder.agent, "vm-3");
}

Test(leader, moves_nothing_for_a_gap_that_few_requests_may_have_made) {
  for (const auto service_time : {milliseconds{20}, milliseconds{500}}) {
    leader_fixture it;
    it.run_with({"vm-1", "vm-2"}, seconds{6});
    auto busy = it.report_with_load("vm-1", 7.2);
    auto other = it.report_with_load("vm-2", 3.6);
    busy.service_time = other.service_time = service_time;
    bool moves = false;
    for (int i = 0; i < 10; ++i, it.now += milliseconds{100}) {
      it.subject.report_received(other, it.now);
      moves |= !it.subject.report_received(busy, it.now).to_release.empty();
      it.tick();
    }
    expect_equal(moves, service_time == milliseconds{20});
  }
}

Test(leader, joins_ranges_again_that_were_cut_for_a_load_that_is_gone) {
  leader_fixture it;
  const std::vector<std::string> agents{"vm-1", "vm-2", "vm-3"};
  it.run_with(agents, seconds{6});
  // A hot spot wanders over the keys of vm-1: each narrow stretch is moved away in turn.
  for (shard_key spot = 0; spot < 60; ++spot) {
    for (int i = 0; i < 6; ++i, it.now += milliseconds{100}) {
      for (const auto& agent : agents) {
        auto report = it.report(agent);
        const shard_key hot = 100 + 200 * spot;
        if (it.stored.find(hot)->holder.agent == agent)
          report.loads = {{{hot, hot + 5}, 4.0}, {{hot + 6, hot + 50}, 4.0}};
        for (const auto& each : it.subject.report_received(report, it.now).to_release)
          report.released.push_back(each);
        it.subject.report_received(report, it.now);
      }
      it.tick();
    }
  }
  for (int i = 0; i < 400; ++i, it.now += milliseconds{100}) {
    for (const auto& agent : agents) {
      auto report = it.report(agent);
      report.released = it.subject.report_received(report, it.now).to_release;
      it.subject.report_received(report, it.now);
    }
    it.tick();
  }
  constexpr std::size_t tidy = 40;
  expect_true(it.stored.claims.size() <= tidy, std::to_string(it.stored.claims.size()));
  expect_true(it.stored.covers_all());
}

Test(leader, leaves_a_stretch_that_alone_fills_its_owner_where_nobody_is_faster) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  const auto owned = it.owned_by("vm-1");
  auto report = it.report("vm-1");
  report.loads = {{{owned.first, owned.first}, 20.0}};
  for (int i = 0; i < 10; ++i, it.now += milliseconds{100}) {
    it.subject.report_received(it.report("vm-2"), it.now);
    expect_true(it.subject.report_received(report, it.now).to_release.empty());
    it.tick();
  }
}

Test(leader, does_not_move_load_between_owners_that_are_about_even) {
  leader_fixture it;
  it.run_with({"vm-1", "vm-2"}, seconds{6});
  for (int i = 0; i < 10; ++i, it.now += milliseconds{100}) {
    for (const auto* agent : {"vm-1", "vm-2"}) {
      auto report = it.report(agent);
      const auto owned = *std::ranges::find_if(
          it.stored.claims, [&](const claim& each) { return each.holder.agent == agent; });
      report.loads = {{owned.keys, 9.0}};
      expect_true(it.subject.report_received(report, it.now).to_release.empty());
    }
    it.tick();
  }
}
