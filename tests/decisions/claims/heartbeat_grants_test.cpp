#include <algorithm>

#include "expect.h"
#include "masticshunt/decisions/claims/claim_holder.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const upstream_incarnation incarnation{"i-1", 1'000};
constexpr connection_id connection = 1;

/// An agent that owns all keys in two claims, whose upstream takes them with its heartbeats.
struct heartbeat_fixture {
  claim_timing timing;
  time_point now{seconds{100}};
  claim_holder holder{"ledger", "vm-1", "10.0.0.1:7600",           1,
                      timing,   now,    grant_transport::heartbeat};

  heartbeat_fixture() {
    now += seconds{10};
    holder.update_upstream(incarnation, true, 12, now, now);
    holder.tick(now);
    holder.lease_seen({.answered = true, .registration = 7, .revision = 5}, now, now);
    holder.map_seen(map(10), now);
    holder.tick(now);
    reply();
  }
  static claim_map map(std::uint64_t revision) {
    auto result = empty_map("ledger");
    result.claims = {{{0, 999}, {"vm-1", 7}, incarnation, 3, "h3"},
                     {{1'000, last_shard_key}, {"vm-1", 7}, incarnation, 4, ""}};
    result.revision = revision;
    result.leader = "vm-9";
    result.leader_address = "10.0.0.9:7600";
    result.leader_incarnation = 1;
    return result;
  }
  void reply(std::vector<released_range> to_release = {}) {
    holder.leader_answered(leader_reply{.lease = timing.reply_lease,
                                        .is_leader = true,
                                        .leader_incarnation = 1,
                                        .to_release = std::move(to_release)},
                           now, now);
  }
  std::optional<heartbeat_answer> heartbeat(const reported_keys& reported,
                                            connection_id over = connection) {
    holder.heartbeat_received(reported, over, now);
    return holder.answer_heartbeat(over, now, now);
  }
  /// Returns the released ranges of the next report.
  std::vector<released_range> released() {
    for (const auto& action : holder.tick(now))
      if (const auto* report = std::get_if<send_report>(&action)) return report->report.released;
    return {};
  }
};

const reported_keys everything_held{.held = {{{0, 999}, 3}, {{1'000, last_shard_key}, 4}}};
const reported_keys upper_held{.held = {{{1'000, last_shard_key}, 4}}};

}  // namespace

Test(heartbeat_grants, name_all_keys_and_no_calls_are_made) {
  heartbeat_fixture fixture;
  const auto answer = fixture.heartbeat({});
  expect_true(answer.has_value());
  expect_true(answer->keys ==
              std::vector<granted_keys>{{{0, 999}, 3, "h3"}, {{1'000, last_shard_key}, 4, ""}});
  expect_true(fixture.holder.state_of(42, fixture.now) == hold_state::held);
  for (const auto& action : fixture.holder.tick(fixture.now))
    expect_false(std::holds_alternative<grant_keys>(action));
}

Test(heartbeat_grants, never_outlast_the_lease) {
  heartbeat_fixture fixture;
  const auto answer = fixture.heartbeat({});
  const auto held_for = std::chrono::duration_cast<duration>(
      answer->hold * (1 + fixture.timing.upstream_clock_error));
  expect_true(fixture.now + held_for + fixture.timing.margin <= fixture.holder.lease_end());
}

Test(heartbeat_grants, stop_without_a_lease_and_leave_the_keys_as_they_are) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.now += fixture.timing.reply_lease;
  expect_false(fixture.heartbeat(everything_held).has_value());
}

Test(heartbeat_grants, carry_the_handover_until_the_upstream_reports_the_keys) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  expect_equal(fixture.heartbeat({}, 2)->keys.at(0).handover, "h3");
  expect_equal(fixture.heartbeat(everything_held, 2)->keys.at(0).handover, "");
}

Test(heartbeat_grants, a_release_is_complete_when_the_upstream_has_read_an_answer_without_it) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.reply({{{0, 999}, 3, ""}});
  const auto answer = fixture.heartbeat(everything_held);
  expect_true(answer->keys == std::vector<granted_keys>{{{1'000, last_shard_key}, 4, ""}});
  expect_true(fixture.released().empty());
  auto after = upper_held;
  after.freed = {{{0, 999}, "warm"}};
  fixture.heartbeat(after);
  fixture.reply();
  expect_true(fixture.released() == std::vector<released_range>{{{0, 999}, 3, "warm"}});
}

Test(heartbeat_grants, a_release_waits_while_the_upstream_works_on_the_keys) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.reply({{{0, 999}, 3, ""}});
  fixture.heartbeat(everything_held);
  fixture.heartbeat(everything_held);
  fixture.reply();
  expect_true(fixture.released().empty());
}

Test(heartbeat_grants, a_heartbeat_over_another_connection_completes_no_release) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.reply({{{0, 999}, 3, ""}});
  fixture.heartbeat(everything_held);
  fixture.heartbeat(upper_held, 2);
  fixture.reply();
  expect_true(fixture.released().empty());
}

Test(heartbeat_grants, a_handover_of_a_part_of_the_keys_splits_the_release) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.reply({{{0, 999}, 3, ""}});
  fixture.heartbeat(everything_held);
  auto after = upper_held;
  after.freed = {{{0, 99}, "low"}, {{100, 999}, "high"}};
  fixture.heartbeat(after);
  fixture.reply();
  expect_true(fixture.released() ==
              std::vector<released_range>{{{0, 99}, 3, "low"}, {{100, 999}, 3, "high"}});
}

Test(heartbeat_grants, keys_that_the_upstream_ignores_are_not_used) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.holder.heartbeat_received(upper_held, connection, fixture.now);
  expect_true(fixture.holder.state_of(42, fixture.now) != hold_state::held);
  expect_true(fixture.holder.state_of(1'000, fixture.now) == hold_state::held);
}

Test(heartbeat_grants, an_answer_waits_only_while_it_would_change_nothing) {
  heartbeat_fixture fixture;
  expect_true(fixture.holder.heartbeat_answer_due(fixture.now, fixture.now));
  fixture.heartbeat({});
  const auto arrived = fixture.now;
  expect_false(fixture.holder.heartbeat_answer_due(arrived, fixture.now));
  expect_true(
      fixture.holder.heartbeat_answer_due(arrived, arrived + fixture.timing.heartbeat_answer_wait));
  fixture.reply({{{0, 999}, 3, ""}});
  expect_true(fixture.holder.heartbeat_answer_due(arrived, fixture.now));
}

Test(heartbeat_grants, an_answer_does_not_wait_until_keys_run_out) {
  heartbeat_fixture fixture;
  const auto answer = fixture.heartbeat({});
  fixture.now += answer->hold - fixture.timing.hold_reserve + milliseconds{1};
  fixture.reply();
  expect_true(fixture.holder.heartbeat_answer_due(fixture.now, fixture.now));
}

Test(heartbeat_grants, an_answer_that_comes_too_late_grants_nothing) {
  heartbeat_fixture fixture;
  const auto arrived = fixture.now;
  fixture.now += fixture.timing.heartbeat_answer_limit;
  fixture.reply();
  fixture.holder.heartbeat_received({}, connection, arrived);
  expect_false(fixture.holder.answer_heartbeat(connection, arrived, fixture.now).has_value());
}

Test(heartbeat_grants, adjacent_ranges_of_one_claim_are_granted_as_one) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.heartbeat(everything_held);
  auto merged = fixture.map(11);
  merged.claims = {{{0, last_shard_key}, {"vm-1", 7}, incarnation, 9, ""}};
  fixture.holder.map_seen(merged, fixture.now);
  const auto answer = fixture.heartbeat(everything_held);
  expect_true(answer->keys == std::vector<granted_keys>{{{0, last_shard_key}, 9, ""}});
}

Test(heartbeat_grants, more_ranges_than_fit_into_an_answer_are_left_out) {
  heartbeat_fixture fixture;
  auto split = fixture.map(11);
  split.claims.clear();
  constexpr shard_key ranges = 256;
  constexpr shard_key width = (last_shard_key + 1) / ranges;
  for (shard_key i = 0; i < ranges; ++i)
    split.claims.push_back(
        {{i * width, (i + 1) * width - 1}, {"vm-1", 7}, incarnation, 10 + i, ""});
  fixture.holder.map_seen(split, fixture.now);
  const auto answer = fixture.heartbeat({});
  expect_true(!answer->keys.empty() && answer->keys.size() < ranges);
}

Test(heartbeat_grants, last_longer_before_a_restart) {
  heartbeat_fixture fixture;
  fixture.heartbeat({});
  fixture.holder.prepare_restart(fixture.now);
  expect_true(fixture.holder.heartbeat_answer_due(fixture.now, fixture.now));
  fixture.holder.tick(fixture.now);
  fixture.holder.leader_answered(
      leader_reply{
          .lease = fixture.timing.restart_lease, .is_leader = true, .leader_incarnation = 1},
      fixture.now, fixture.now);
  expect_true(fixture.heartbeat(everything_held)->hold > fixture.timing.hold);
}
