#include "masticshunt/decisions/claims/claim_holder.h"

#include <algorithm>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const upstream_incarnation incarnation{"i-1", 1'000};

/// An agent that owns all keys of a service, and a leader that replies on request.
struct holder_fixture {
  claim_timing timing;
  time_point now{seconds{100}};
  claim_holder holder{"ledger", "vm-1", "10.0.0.1:7600", 1, timing, now};

  template <class Action>
  std::vector<Action> tick() {
    std::vector<Action> found;
    for (const auto& each : holder.tick(now))
      if (const auto* action = std::get_if<Action>(&each)) found.push_back(*action);
    return found;
  }
  void register_as(std::uint64_t registration) {
    holder.update_upstream(incarnation, true, 12, now, now);
    holder.tick(now);
    holder.lease_seen({.answered = true, .registration = registration, .revision = 5}, now, now);
  }
  claim_map map_naming(std::uint64_t registration, std::uint64_t fence, std::uint64_t revision) {
    auto map = empty_map("ledger");
    map.claims[0] = {{0, last_shard_key}, {"vm-1", registration}, incarnation, fence, "h"};
    map.revision = revision;
    map.leader = "vm-9";
    map.leader_address = "10.0.0.9:7600";
    map.leader_incarnation = 1;
    return map;
  }
  void reply(duration lease, std::vector<released_range> to_release = {}) {
    holder.leader_answered(leader_reply{.lease = lease,
                                        .is_leader = true,
                                        .leader_incarnation = 1,
                                        .to_release = std::move(to_release)},
                           now, now);
  }
  /// Passes the time after the start in which grants of an earlier process may be in force.
  void settle() { now += seconds{10}; }
  grant_keys granted() {
    auto grants = tick<grant_keys>();
    expect_equal(grants.size(), 1U);
    return grants.at(0);
  }
};

}  // namespace

Test(claim_holder, grants_nothing_without_a_lease) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  expect_true(fixture.tick<grant_keys>().empty());
}

Test(claim_holder, a_grant_never_outlasts_the_lease) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(milliseconds{1'000});
  const auto grant = fixture.granted();
  const auto slow = 1 + fixture.timing.upstream_clock_error;
  const auto ends =
      fixture.timing.margin +
      duration{static_cast<duration::rep>(static_cast<double>(grant.hold.count()) * slow)};
  expect_true(fixture.now + ends <= fixture.holder.lease_end());
}

Test(claim_holder, holds_a_key_once_the_upstream_has_granted_it) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  const auto grant = fixture.granted();
  expect_true(fixture.holder.state_of(42, fixture.now) == hold_state::pending);
  fixture.holder.grant_ended(grant.call, grant_result::granted, fixture.now);
  expect_true(fixture.holder.state_of(42, fixture.now) == hold_state::held);
  expect_true(fixture.holder.state_of(42, fixture.now + fixture.timing.hold) != hold_state::held);
}

Test(claim_holder, only_the_first_grant_carries_the_hand_over) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  const auto first = fixture.granted();
  expect_equal(first.handover, "h");
  fixture.holder.grant_ended(first.call, grant_result::granted, fixture.now);
  fixture.now += fixture.timing.hold_renewal;
  fixture.reply(fixture.timing.reply_lease);
  expect_equal(fixture.granted().handover, "");
}

Test(claim_holder, a_release_is_complete_at_once_when_every_grant_was_answered) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.settle();
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  fixture.holder.grant_ended(fixture.granted().call, grant_result::granted, fixture.now);
  fixture.reply(fixture.timing.reply_lease, {{{10, 20}, 1, ""}});
  const auto releases = fixture.tick<release_keys>();
  expect_equal(releases.size(), 1U);
  fixture.holder.release_ended(releases[0].call, "warm", fixture.now);
  const auto reports = fixture.tick<send_report>();
  expect_equal(reports.size(), 1U);
  expect_true(reports[0].report.released == std::vector<released_range>{{{10, 20}, 1, "warm"}});
  expect_true(fixture.holder.state_of(15, fixture.now) != hold_state::held);
  expect_true(fixture.holder.state_of(21, fixture.now) == hold_state::held);
}

Test(claim_holder, a_release_waits_until_an_unanswered_grant_has_run_out) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.settle();
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  const auto grant = fixture.granted();
  fixture.holder.grant_ended(grant.call, grant_result::no_answer, fixture.now);
  fixture.reply(fixture.timing.reply_lease, {{{0, last_shard_key}, 1, ""}});
  const auto releases = fixture.tick<release_keys>();
  expect_equal(releases.size(), 1U);
  fixture.holder.release_ended(releases[0].call, "warm", fixture.now);
  fixture.now += milliseconds{400};
  const auto early = fixture.tick<send_report>();
  expect_true(!early.empty() && early[0].report.released.empty());
  fixture.now += grant.hold + seconds{1};
  fixture.holder.leader_answered(std::nullopt, fixture.now, fixture.now);
  fixture.now += seconds{1};
  const auto late = fixture.tick<send_report>();
  expect_true(!late.empty() && late[0].report.released.size() == 1);
}

Test(claim_holder, an_unanswered_release_waits_until_the_grant_has_run_out) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.settle();
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  const auto grant = fixture.granted();
  fixture.holder.grant_ended(grant.call, grant_result::granted, fixture.now);
  fixture.reply(fixture.timing.reply_lease, {{{0, last_shard_key}, 1, ""}});
  fixture.holder.release_ended(fixture.tick<release_keys>().at(0).call, std::nullopt, fixture.now);
  expect_false(fixture.holder.empty(fixture.now + grant.hold));
  expect_true(fixture.holder.empty(fixture.now + grant.hold + seconds{1}));
}

Test(claim_holder, a_new_incarnation_of_the_upstream_holds_no_keys_of_the_earlier_one) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  fixture.holder.grant_ended(fixture.granted().call, grant_result::granted, fixture.now);
  fixture.holder.update_upstream(upstream_incarnation{"i-1", 2'000}, true, 12, fixture.now,
                                 fixture.now);
  expect_true(fixture.holder.state_of(42, fixture.now) != hold_state::held);
  fixture.now += fixture.timing.hold_renewal;
  expect_true(fixture.tick<grant_keys>().empty());
}

Test(claim_holder, keys_of_an_upstream_without_heartbeats_are_released_only_after_the_hold) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.settle();
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  const auto grant = fixture.granted();
  fixture.holder.grant_ended(grant.call, grant_result::granted, fixture.now);
  fixture.holder.update_upstream(std::nullopt, false, 12, fixture.now, fixture.now);
  expect_false(fixture.holder.empty(fixture.now + grant.hold));
  fixture.now += grant.hold + seconds{1};
  fixture.holder.leader_answered(std::nullopt, fixture.now, fixture.now);
  fixture.now += seconds{1};
  const auto reports = fixture.tick<send_report>();
  expect_true(!reports.empty() && reports[0].report.released.size() == 1);
}

Test(claim_holder, a_deleted_lease_record_ends_the_registration_and_all_grants) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  fixture.holder.grant_ended(fixture.granted().call, grant_result::granted, fixture.now);
  fixture.holder.lease_seen({.answered = true}, fixture.now, fixture.now);
  expect_false(fixture.holder.registration().has_value());
  expect_true(fixture.holder.state_of(42, fixture.now) != hold_state::held);
}

Test(claim_holder, registers_again_only_after_its_grants_have_run_out) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.settle();
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  const auto grant = fixture.granted();
  fixture.holder.lease_seen({.answered = true}, fixture.now, fixture.now);
  fixture.now += milliseconds{100};
  expect_true(fixture.tick<create_lease>().empty());
  fixture.now += grant.hold + seconds{1};
  expect_equal(fixture.tick<create_lease>().size(), 1U);
}

Test(claim_holder, renews_its_lease_record_only_while_the_leader_does_not_reply) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  fixture.now += fixture.timing.leader_reply_timeout / 2;
  expect_true(fixture.tick<renew_lease>().empty());
  fixture.now += fixture.timing.leader_reply_timeout;
  expect_equal(fixture.tick<renew_lease>().size(), 1U);
}

Test(claim_holder, accepts_no_reply_of_a_leader_that_it_has_rejected) {
  holder_fixture fixture;
  fixture.holder.set_candidates({"10.0.0.5:7600"});
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.now += fixture.timing.reject_after;
  const auto reports = fixture.tick<send_report>();
  expect_equal(reports.at(0).report.rejected_incarnation, 1U);
  const auto before = fixture.holder.lease_end();
  fixture.reply(fixture.timing.reply_lease);
  expect_true(fixture.holder.lease_end() == before);
}

Test(claim_holder, reports_to_every_candidate_after_the_leader_has_resigned) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.set_candidates({"10.0.0.5:7600", "10.0.0.6:7600"});
  auto resigned = fixture.map_naming(7, 1, 10);
  resigned.leader.clear();
  resigned.leader_address.clear();
  fixture.holder.map_seen(resigned, fixture.now);
  std::vector<endpoint> recipients;
  for (int i = 0; i < 20; ++i, fixture.now += milliseconds{100}) {
    for (const auto& action : fixture.tick<send_report>()) {
      recipients.push_back(action.leader);
      fixture.holder.leader_answered(std::nullopt, fixture.now, fixture.now);
    }
  }
  for (const auto* candidate : {"10.0.0.5:7600", "10.0.0.6:7600"})
    expect_true(std::ranges::find(recipients, candidate) != recipients.end(), candidate);
}

Test(claim_holder, accepts_replies_only_from_the_leader_incarnation_in_its_map) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.holder.leader_answered(
      leader_reply{.lease = seconds{2}, .is_leader = true, .leader_incarnation = 2}, fixture.now,
      fixture.now);
  expect_true(fixture.holder.lease_end() <= fixture.now + fixture.timing.record_lease);
  expect_true(fixture.tick<grant_keys>().empty());
}

Test(claim_holder, a_new_process_grants_nothing_before_a_leader_has_granted_it_a_lease) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.holder.lease_seen({.answered = true, .written = true, .registration = 7, .revision = 6},
                            fixture.now, fixture.now);
  expect_true(fixture.holder.lease_end() > fixture.now);
  expect_true(fixture.tick<grant_keys>().empty());
  fixture.reply(fixture.timing.reply_lease);
  expect_equal(fixture.tick<grant_keys>().size(), 1U);
}

Test(claim_holder, grants_nothing_to_an_unreachable_address_before_the_next_heartbeat) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  const auto last_heartbeat = fixture.now;
  // Another incarnation may answer at the address now, and must not get this one's fence.
  fixture.holder.grant_ended(fixture.granted().call, grant_result::unreachable, fixture.now);
  fixture.now += seconds{1};
  fixture.reply(fixture.timing.reply_lease);
  fixture.holder.update_upstream(incarnation, true, 12, last_heartbeat, fixture.now);
  expect_true(fixture.tick<grant_keys>().empty());
  fixture.holder.update_upstream(incarnation, true, 12, fixture.now, fixture.now);
  expect_equal(fixture.tick<grant_keys>().size(), 1U);
}

Test(claim_holder, grants_nothing_after_a_refused_connection_before_the_next_heartbeat) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.now += milliseconds{100};
  fixture.reply(fixture.timing.reply_lease);
  // The next incarnation may have the id of the one that was granted the keys.
  const auto refused_at = fixture.now;
  fixture.holder.connection_refused(refused_at);
  expect_true(fixture.tick<grant_keys>().empty());
  fixture.now += milliseconds{100};
  fixture.holder.update_upstream(incarnation, true, 12, fixture.now, fixture.now);
  fixture.holder.connection_refused(refused_at);
  expect_equal(fixture.tick<grant_keys>().size(), 1U);
}

Test(claim_holder, an_older_map_changes_nothing) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 2, 10), fixture.now);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 9), fixture.now);
  expect_equal(fixture.holder.map().revision, 10U);
}

Test(claim_holder, stops_granting_a_range_that_was_refused_for_a_newer_fence) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.settle();
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.reply(fixture.timing.reply_lease);
  fixture.holder.grant_ended(fixture.granted().call, grant_result::newer_fence, fixture.now);
  fixture.now += fixture.timing.hold_renewal;
  fixture.reply(fixture.timing.reply_lease);
  expect_true(fixture.tick<grant_keys>().empty());
}

Test(claim_holder, grants_last_longer_before_a_restart) {
  holder_fixture fixture;
  fixture.register_as(7);
  fixture.holder.map_seen(fixture.map_naming(7, 1, 10), fixture.now);
  fixture.holder.prepare_restart(fixture.now);
  expect_true(fixture.tick<send_report>().at(0).report.restarting);
  fixture.reply(fixture.timing.restart_lease);
  expect_true(fixture.granted().hold > fixture.timing.hold);
}
