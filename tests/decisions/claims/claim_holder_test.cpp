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

/// An agent that owns all keys of a service, with a leader that answers when told to.
struct holder_fixture {
  claim_timing timing;
  time_point now{seconds{100}};
  claim_holder subject{"ledger", "vm-1", "10.0.0.1:7600", 1, timing, now};

  template <class Action>
  std::vector<Action> tick() {
    std::vector<Action> found;
    for (const auto& each : subject.tick(now))
      if (const auto* one = std::get_if<Action>(&each)) found.push_back(*one);
    return found;
  }
  void register_as(std::uint64_t registration) {
    subject.update_upstream(incarnation, true, 12, now, now);
    subject.tick(now);
    subject.lease_seen({.answered = true, .registration = registration, .revision = 5}, now, now);
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
    subject.leader_answered(leader_reply{.lease = lease,
                                         .is_leader = true,
                                         .leader_incarnation = 1,
                                         .to_release = std::move(to_release)},
                            now, now);
  }
  /// Lets the conservative time after the start of the process pass.
  void settle() { now += seconds{10}; }
  grant_keys granted() {
    auto grants = tick<grant_keys>();
    expect_equal(grants.size(), 1U);
    return grants.at(0);
  }
};

}  // namespace

Test(claim_holder, grants_nothing_without_a_right) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  expect_true(it.tick<grant_keys>().empty());
}

Test(claim_holder, a_grant_never_outlasts_the_right) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(milliseconds{1'000});
  const auto grant = it.granted();
  const auto slow = 1 + it.timing.upstream_clock_error;
  const auto ends =
      it.timing.margin +
      duration{static_cast<duration::rep>(static_cast<double>(grant.hold.count()) * slow)};
  expect_true(it.now + ends <= it.subject.lease_end());
}

Test(claim_holder, holds_a_key_once_the_upstream_has_granted_it) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  const auto grant = it.granted();
  expect_true(it.subject.state_of(42, it.now) == hold_state::pending);
  it.subject.grant_ended(grant.call, grant_result::granted, it.now);
  expect_true(it.subject.state_of(42, it.now) == hold_state::held);
  expect_true(it.subject.state_of(42, it.now + it.timing.hold) != hold_state::held);
}

Test(claim_holder, the_first_grant_hands_over_and_later_ones_do_not) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  const auto first = it.granted();
  expect_equal(first.handover, "h");
  it.subject.grant_ended(first.call, grant_result::granted, it.now);
  it.now += it.timing.hold_renewal;
  it.reply(it.timing.reply_lease);
  expect_equal(it.granted().handover, "");
}

Test(claim_holder, a_release_counts_at_once_when_every_grant_was_answered) {
  holder_fixture it;
  it.register_as(7);
  it.settle();
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  it.subject.grant_ended(it.granted().call, grant_result::granted, it.now);
  it.reply(it.timing.reply_lease, {{{10, 20}, 1, ""}});
  const auto releases = it.tick<release_keys>();
  expect_equal(releases.size(), 1U);
  it.subject.release_ended(releases[0].call, "warm", it.now);
  const auto reports = it.tick<send_report>();
  expect_equal(reports.size(), 1U);
  expect_true(reports[0].report.released == std::vector<released_range>{{{10, 20}, 1, "warm"}});
  expect_true(it.subject.state_of(15, it.now) != hold_state::held);
  expect_true(it.subject.state_of(21, it.now) == hold_state::held);
}

Test(claim_holder, a_release_waits_until_an_unanswered_grant_has_run_out) {
  holder_fixture it;
  it.register_as(7);
  it.settle();
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  const auto grant = it.granted();
  it.subject.grant_ended(grant.call, grant_result::no_answer, it.now);
  it.reply(it.timing.reply_lease, {{{0, last_shard_key}, 1, ""}});
  const auto releases = it.tick<release_keys>();
  expect_equal(releases.size(), 1U);
  it.subject.release_ended(releases[0].call, "warm", it.now);
  it.now += milliseconds{400};
  const auto early = it.tick<send_report>();
  expect_true(!early.empty() && early[0].report.released.empty());
  it.now += grant.hold + seconds{1};
  it.subject.leader_answered(std::nullopt, it.now, it.now);
  it.now += seconds{1};
  const auto late = it.tick<send_report>();
  expect_true(!late.empty() && late[0].report.released.size() == 1);
}

Test(claim_holder, an_unanswered_release_waits_out_the_hold) {
  holder_fixture it;
  it.register_as(7);
  it.settle();
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  const auto grant = it.granted();
  it.subject.grant_ended(grant.call, grant_result::granted, it.now);
  it.reply(it.timing.reply_lease, {{{0, last_shard_key}, 1, ""}});
  it.subject.release_ended(it.tick<release_keys>().at(0).call, std::nullopt, it.now);
  expect_false(it.subject.empty(it.now + grant.hold));
  expect_true(it.subject.empty(it.now + grant.hold + seconds{1}));
}

Test(claim_holder, another_life_of_the_upstream_holds_nothing_of_the_earlier_one) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  it.subject.grant_ended(it.granted().call, grant_result::granted, it.now);
  it.subject.update_upstream(upstream_incarnation{"i-1", 2'000}, true, 12, it.now, it.now);
  expect_true(it.subject.state_of(42, it.now) != hold_state::held);
  it.now += it.timing.hold_renewal;
  expect_true(it.tick<grant_keys>().empty());
}

Test(claim_holder, an_unheard_upstream_gives_its_keys_back_only_after_the_hold) {
  holder_fixture it;
  it.register_as(7);
  it.settle();
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  const auto grant = it.granted();
  it.subject.grant_ended(grant.call, grant_result::granted, it.now);
  it.subject.update_upstream(std::nullopt, false, 12, it.now, it.now);
  expect_false(it.subject.empty(it.now + grant.hold));
  it.now += grant.hold + seconds{1};
  it.subject.leader_answered(std::nullopt, it.now, it.now);
  it.now += seconds{1};
  const auto reports = it.tick<send_report>();
  expect_true(!reports.empty() && reports[0].report.released.size() == 1);
}

Test(claim_holder, a_deleted_lease_object_ends_everything_at_once) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  it.subject.grant_ended(it.granted().call, grant_result::granted, it.now);
  it.subject.lease_seen({.answered = true}, it.now, it.now);
  expect_false(it.subject.registration().has_value());
  expect_true(it.subject.state_of(42, it.now) != hold_state::held);
}

Test(claim_holder, registers_again_only_after_its_holds_have_run_out) {
  holder_fixture it;
  it.register_as(7);
  it.settle();
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  const auto grant = it.granted();
  it.subject.lease_seen({.answered = true}, it.now, it.now);
  it.now += milliseconds{100};
  expect_true(it.tick<create_lease>().empty());
  it.now += grant.hold + seconds{1};
  expect_equal(it.tick<create_lease>().size(), 1U);
}

Test(claim_holder, renews_its_lease_object_only_while_the_leader_is_silent) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  it.now += it.timing.leader_reply_timeout / 2;
  expect_true(it.tick<renew_lease>().empty());
  it.now += it.timing.leader_reply_timeout;
  expect_equal(it.tick<renew_lease>().size(), 1U);
}

Test(claim_holder, accepts_no_reply_of_a_leader_that_it_has_rejected) {
  holder_fixture it;
  it.subject.set_candidates({"10.0.0.5:7600"});
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.now += it.timing.reject_after;
  const auto reports = it.tick<send_report>();
  expect_equal(reports.at(0).report.rejected_incarnation, 1U);
  const auto before = it.subject.lease_end();
  it.reply(it.timing.reply_lease);
  expect_true(it.subject.lease_end() == before);
}

Test(claim_holder, looks_for_the_next_leader_once_one_has_resigned) {
  holder_fixture it;
  it.register_as(7);
  it.subject.set_candidates({"10.0.0.5:7600", "10.0.0.6:7600"});
  auto resigned = it.map_naming(7, 1, 10);
  resigned.leader.clear();
  resigned.leader_address.clear();
  it.subject.map_seen(resigned, it.now);
  std::vector<endpoint> asked;
  for (int i = 0; i < 20; ++i, it.now += milliseconds{100}) {
    for (const auto& each : it.tick<send_report>()) {
      asked.push_back(each.leader);
      it.subject.leader_answered(std::nullopt, it.now, it.now);
    }
  }
  for (const auto* candidate : {"10.0.0.5:7600", "10.0.0.6:7600"})
    expect_true(std::ranges::find(asked, candidate) != asked.end(), candidate);
}

Test(claim_holder, accepts_replies_only_of_the_leader_that_its_map_names) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.subject.leader_answered(
      leader_reply{.lease = seconds{2}, .is_leader = true, .leader_incarnation = 2}, it.now,
      it.now);
  expect_true(it.subject.lease_end() <= it.now + it.timing.record_lease);
  expect_true(it.tick<grant_keys>().empty());
}

Test(claim_holder, a_new_process_grants_nothing_before_a_leader_has_answered_it) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.subject.lease_seen({.answered = true, .written = true, .registration = 7, .revision = 6},
                        it.now, it.now);
  expect_true(it.subject.lease_end() > it.now);
  expect_true(it.tick<grant_keys>().empty());
  it.reply(it.timing.reply_lease);
  expect_equal(it.tick<grant_keys>().size(), 1U);
}

Test(claim_holder, grants_nothing_to_an_address_that_failed_until_its_upstream_is_heard) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  const auto heard = it.now;
  // Another life may answer at the address from now on, and must not get this one's fence.
  it.subject.grant_ended(it.granted().call, grant_result::unreachable, it.now);
  it.now += seconds{1};
  it.reply(it.timing.reply_lease);
  it.subject.update_upstream(incarnation, true, 12, heard, it.now);
  expect_true(it.tick<grant_keys>().empty());
  it.subject.update_upstream(incarnation, true, 12, it.now, it.now);
  expect_equal(it.tick<grant_keys>().size(), 1U);
}

Test(claim_holder, an_older_map_changes_nothing) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 2, 10), it.now);
  it.subject.map_seen(it.map_naming(7, 1, 9), it.now);
  expect_equal(it.subject.map().revision, 10U);
}

Test(claim_holder, a_refusal_for_a_newer_fence_stops_granting_the_range) {
  holder_fixture it;
  it.register_as(7);
  it.settle();
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.reply(it.timing.reply_lease);
  it.subject.grant_ended(it.granted().call, grant_result::newer_fence, it.now);
  it.now += it.timing.hold_renewal;
  it.reply(it.timing.reply_lease);
  expect_true(it.tick<grant_keys>().empty());
}

Test(claim_holder, a_restart_asks_for_a_longer_hold) {
  holder_fixture it;
  it.register_as(7);
  it.subject.map_seen(it.map_naming(7, 1, 10), it.now);
  it.subject.prepare_restart(it.now);
  expect_true(it.tick<send_report>().at(0).report.restarting);
  it.reply(it.timing.restart_lease);
  expect_true(it.granted().hold > it.timing.hold);
}
