#include "masticshunt/decisions/ownership/placement.h"

#include "decisions/ownership/placement_trace.h"
#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::ownership;
using namespace masticshunt::testing;
using namespace std::chrono_literals;

namespace {

// Required bounds of the placement.
constexpr double peak_to_mean_bound = 1.20;
constexpr double moved_on_loss_bound = 1.1;

constexpr time_point now{1h};

placement_range range_of(key_hash first, const agent_id& owner, double load) {
  return {{first, first + 99}, owner, load, {}, "", std::nullopt};
}

/// Four members, each with four ranges of equal load.
struct even_group {
  std::vector<placement_member> members = members_of(4);
  std::vector<placement_range> ranges;
  placement_settings settings;

  even_group() {
    settings.split_share = 0.5;  // Each member has only four ranges.
    for (std::size_t index = 0; index < 16; ++index) {
      ranges.push_back(range_of(index * 100, members[index % 4].id, 1));
    }
  }

  placement_plan plan() { return plan_placement(members, ranges, settings, now); }
};

}  // namespace

Test(placement, plans_nothing_for_a_balanced_group) {
  expect_true(even_group().plan().empty());
}

Test(placement, places_unowned_ranges_first) {
  even_group group;
  group.ranges[0].owner = {};
  group.members[1].draining = true;
  const auto plan = group.plan();
  expect_equal(plan.moves.size(), 5U);
  expect_true(plan.moves[0].reason == move_reason::unowned);
  expect_true(plan.moves[1].reason == move_reason::drain);
}

Test(placement, moves_only_the_ranges_of_a_lost_member) {
  even_group group;
  group.members[2].alive = false;
  const auto plan = group.plan();
  expect_equal(plan.moves.size(), 4U);
  for (const auto& move : plan.moves) expect_true(move.from == group.members[2].id);
}

Test(placement, treats_an_owner_of_an_earlier_incarnation_as_lost) {
  even_group group;
  group.members[2].id.incarnation = 2;
  expect_equal(group.plan().moves.size(), 4U);
}

Test(placement, never_places_on_a_draining_or_dead_member) {
  even_group group;
  group.members[0].alive = false;
  group.members[1].draining = true;
  for (const auto& move : group.plan().moves) {
    expect_true(move.to == group.members[2].id || move.to == group.members[3].id);
  }
}

Test(placement, bounds_the_moves_of_a_drain) {
  even_group group;
  group.settings.drain_moves_max = 3;
  group.members[1].draining = true;
  expect_equal(group.plan().moves.size(), 3U);
}

Test(placement, plans_nothing_if_no_member_can_serve) {
  even_group group;
  for (auto& member : group.members) member.alive = false;
  expect_true(group.plan().empty());
}

Test(placement, puts_a_cost_on_each_move_that_grows_with_the_load) {
  even_group group;
  group.members[2].alive = false;
  group.ranges[2].load = 3;
  const auto plan = group.plan();
  expect_true(plan.moves[0].range == group.ranges[2].range, "hottest range first");
  expect_true(plan.moves[0].cost > plan.moves[1].cost);
}

Test(placement, makes_no_move_whose_cost_exceeds_its_gain) {
  even_group group;
  group.ranges[0].load = 2.5;
  expect_false(group.plan().moves.empty());
  group.settings.move_cost_fixed = 1e6;
  expect_true(group.plan().moves.empty());
}

Test(placement, does_not_move_a_range_again_during_the_cooldown) {
  even_group group;
  group.ranges[0].load = 2.5;
  for (auto& range : group.ranges) range.moved = now - 1s;
  expect_true(group.plan().moves.empty());
}

Test(placement, starts_a_cold_member_slowly) {
  const placement_settings settings;
  auto member = members_of(1)[0];
  member.cold_since = now;
  expect_equal(usable_slots(member, settings, now), 12 * settings.slow_start_floor);
  expect_equal(usable_slots(member, settings, now + settings.slow_start / 2), 6.0);
  expect_equal(usable_slots(member, settings, now + 1h), 12.0);
}

Test(placement, uses_observed_slots_only_below_the_declared_ones) {
  const placement_settings settings;
  auto member = members_of(1)[0];
  member.observed_slots = 8;
  expect_equal(usable_slots(member, settings, now), 8.0);
  member.observed_slots = 50;
  expect_equal(usable_slots(member, settings, now), 12.0);
  member.observed_slots = 0.1;
  expect_equal(usable_slots(member, settings, now), 3.0);
}

Test(placement, isolates_a_key_that_is_most_of_a_hot_range) {
  even_group group;
  group.ranges[5].load = 9;
  group.ranges[5].hot_keys = {{550, 8}};
  const auto plan = group.plan();
  expect_equal(plan.splits.size(), 1U);
  expect_equal(plan.splits[0].at, 550U);
}

Test(placement, splits_a_hot_range_without_a_hot_key_in_the_middle) {
  even_group group;
  group.ranges[5].load = 9;
  expect_equal(group.plan().splits[0].at, 550U);
}

Test(placement, never_splits_a_single_key) {
  even_group group;
  group.ranges[5].range = {500, 500};
  group.ranges[5].load = 9;
  for (const auto& split : group.plan().splits) {
    expect_false(split.range == group.ranges[5].range);
  }
}

Test(placement, merges_cold_neighbours_when_there_are_too_many_ranges) {
  even_group group;
  group.settings.ranges_per_member = 3;
  group.ranges[0].owner = group.ranges[1].owner;
  group.ranges[0].load = group.ranges[1].load = 0.001;
  const auto plan = group.plan();
  expect_equal(plan.merges.size(), 1U);
  expect_true(plan.merges[0].left == group.ranges[0].range);
}

Test(placement, spreads_over_failure_domains) {
  even_group group;
  group.members = members_of(12);
  for (auto& range : group.ranges) range.owner = {};
  std::map<std::string, int> by_domain;
  for (const auto& move : group.plan().moves) {
    ++by_domain["d" + std::to_string(std::stoi(move.to.name.substr(1)) % 6)];
  }
  expect_equal(by_domain.size(), 6U);
  for (const auto& [domain, count] : by_domain) expect_true(count <= 3);
}

Test(placement, places_a_range_in_its_preferred_region) {
  even_group group;
  group.members[3].alive = false;
  group.ranges[3].region = "r1";
  const auto plan = group.plan();
  const auto move = std::ranges::find(plan.moves, group.ranges[3].range, &planned_move::range);
  expect_true(move->to == group.members[1].id);
}

Test(placement, keeps_the_peak_within_the_bound_on_moving_zipf_load) {
  for (const std::size_t members : {6, 12, 24}) {
    const auto result = run_trace(planned_group(members_of(members), {}), 1);
    expect_true(result.steady_peak_to_mean <= peak_to_mean_bound, std::to_string(members));
  }
}

Test(placement, moves_few_more_keys_on_a_loss_than_the_lost_member_owned) {
  for (const std::size_t members : {6, 12, 24}) {
    const auto result = lose_each_member(planned_group(members_of(members), {}), 1);
    expect_true(result.total <= moved_on_loss_bound, std::to_string(members));
  }
}

Test(placement, moves_far_fewer_keys_than_full_reassignment) {
  const auto planned = run_trace(planned_group(members_of(6), {}), 1);
  const auto reassigned = run_trace(least_loaded_group(members_of(6)), 1);
  expect_true(planned.moved_share * 4 < reassigned.moved_share);
}

Test(placement, has_a_lower_peak_than_a_consistent_hash_ring) {
  const auto planned = run_trace(planned_group(members_of(12), {}), 1);
  const auto ring = run_trace(ring_group(members_of(12)), 1);
  expect_true(planned.mean_peak_to_mean < ring.mean_peak_to_mean);
}
