#include "masticshunt/decisions/ownership/coordinator.h"

#include <algorithm>

#include "expect.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::ownership;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};
constexpr std::uint64_t standby = 2;

agent_description agent(const std::string& name) {
  return {{name, 1}, name,       {}, {},
          "r",       "d" + name, 1,  upstream_description{"viewer", "u", 1, 4, 8}};
}

/// Agent "one" is the coordinator, "two" the standby; "owner" owns all ranges and is unresponsive.
struct coordinator_bench {
  explicit coordinator_bench(fault_injection faults = {})
      : own_renewer({"one", 1}, 1, timing, faults, start),
        group_coordinator(agent("one"), timing, faults, start) {
    page.service = "viewer";
    page.version = page.sequence = 9;
    page.epoch = 4;
    page.owner_changes = 5;
    page.renewers = {{{"one", 1}, "1", "d1", false, 1}, {{"two", 1}, "2", "d2", false, standby}};
    page.members = {agent("one"), agent("two"), agent("owner")};
    page.ranges = {{{0, ~key_hash{0}}, {"owner", 1}, {4, 5}}};
    group_coordinator.page_adopted(page, own_renewer, start);
  }
  /// Runs the coordinator's tick and returns its last stop request.
  std::optional<stop_request> stop_requested(time_point now) {
    step due{now, {}};
    group_coordinator.tick(page, own_renewer, {}, true, due);
    std::optional<stop_request> last_request;
    for (const auto& action : due.out) {
      if (const auto* sent = std::get_if<send_message>(&action)) {
        if (const auto* stop = std::get_if<stop_request>(&sent->body)) last_request = *stop;
      }
    }
    return last_request;
  }
  void answer(const stop_request& request, duration ends_in, time_point now) {
    group_coordinator.handle(
        stop_reply{{"viewer", 0}, page.epoch, request.number, standby, request.owner, ends_in, {}},
        page, now);
  }
  bool ended(time_point now) {
    return group_coordinator.owner_ended(page, {"owner", 1}, own_renewer, now);
  }

  lease_timing timing;
  assignment_page page;
  renewer own_renewer;
  coordinator group_coordinator;
  const time_point later = start + timing.owner_suspicion_timeout + milliseconds{100};
};

}  // namespace

Test(coordinator, considers_an_unresponsive_owner_ended_only_after_stop_replies_of_all_renewers) {
  coordinator_bench bench;
  const auto request = bench.stop_requested(bench.later);
  expect_true(request.has_value());
  expect_false(bench.ended(bench.later + seconds{60}));
  bench.answer(*request, duration{}, bench.later);
  expect_true(bench.ended(bench.later + milliseconds{1}));
}

Test(coordinator, waits_for_the_last_grant_of_another_renewer) {
  coordinator_bench bench;
  bench.answer(*bench.stop_requested(bench.later), milliseconds{800}, bench.later);
  expect_false(bench.ended(bench.later + milliseconds{800}));
  expect_true(bench.ended(bench.later + milliseconds{802}));
}

Test(coordinator, ignores_a_reply_to_an_earlier_stop_request) {
  coordinator_bench bench;
  auto request = *bench.stop_requested(bench.later);
  --request.number;
  bench.answer(request, duration{}, bench.later);
  expect_false(bench.ended(bench.later + seconds{1}));
}

Test(coordinator, sends_a_new_stop_request_when_the_owner_has_a_newer_token) {
  coordinator_bench bench;
  bench.answer(*bench.stop_requested(bench.later), duration{}, bench.later);
  bench.page.owner_changes = 7;
  bench.page.ranges.front().token = {4, 7};
  expect_false(bench.ended(bench.later + seconds{1}));
  const auto again = bench.stop_requested(bench.later + seconds{1});
  expect_true(again.has_value());
  expect_equal(again->up_to, 7U);
}

Test(coordinator, fault_lets_stop_replies_for_old_tokens_cover_newer_ones) {
  coordinator_bench bench({.newer_tokens_not_checked = true});
  bench.answer(*bench.stop_requested(bench.later), duration{}, bench.later);
  bench.page.owner_changes = 7;
  bench.page.ranges.front().token = {4, 7};
  expect_true(bench.ended(bench.later + seconds{1}));
}

Test(coordinator, waits_out_the_longest_lease_after_a_new_incarnation) {
  coordinator_bench bench;
  auto again = agent("owner");
  again.id.incarnation = 2;
  bench.group_coordinator.handle(join_request{{"viewer", 0}, again}, start);
  expect_false(bench.ended(start + bench.timing.lease));
  expect_true(bench.ended(start + bench.timing.lease + milliseconds{1}));
}

Test(coordinator, accepts_an_operators_record_that_an_agent_is_lost) {
  coordinator_bench bench;
  bench.group_coordinator.record_agent_ended("owner", 1, start);
  expect_true(bench.ended(start + bench.timing.lease + milliseconds{1}));
}

Test(coordinator, reassigns_a_released_range_at_once) {
  coordinator_bench bench;
  renew_request request;
  request.group = {"viewer", 0};
  request.owner = {"owner", 1};
  request.leaving = true;
  request.released = {{4, 5}};
  bench.group_coordinator.handle(request, bench.page, start);
  const auto next = bench.group_coordinator.next_page(bench.page, bench.own_renewer, {}, start);
  expect_true(next.has_value());
  expect_equal(next->ranges.front().owner.name, std::string("one"));
  expect_true(next->ranges.front().token > bench.page.ranges.front().token);
}
