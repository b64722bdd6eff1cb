#include "masticshunt/decisions/ownership/renewer.h"

#include "expect.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::ownership;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;
using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};
constexpr std::uint64_t own_appointment = 1;
constexpr std::uint64_t peer_appointment = 2;

/// Renewer 1 of a page with the renewers 1, 2 and 3; agent "owner" owns all ranges.
struct renewer_bench {
  explicit renewer_bench(fault_injection faults = {})
      : tested_renewer({"one", 1}, own_appointment, timing, faults, start) {
    page.service = "viewer";
    page.version = page.sequence = 9;
    page.epoch = 4;
    page.owner_changes = 5;
    page.renewers = {{{"one", 1}, "1", "d1", false, 1},
                     {{"two", 1}, "2", "d2", false, 2},
                     {{"three", 1}, "3", "d3", false, 3}};
    page.ranges = {{{0, ~key_hash{0}}, {"owner", 1}, {4, 5}}};
  }
  /// Delivers the peer's support for a request sent at `now`.
  void support(time_point now) {
    step heartbeat{now, {}};
    tested_renewer.tick(page, 0, {}, heartbeat);
    const auto& sent =
        std::get<support_request>(std::get<send_message>(heartbeat.out.front()).body);
    step answer{now + milliseconds{20}, {}};
    tested_renewer.handle(support_reply{name_of_group(), own_appointment, peer_appointment,
                                        sent.request, page.sequence, true},
                          page, answer);
  }
  std::size_t renewed(time_point now, std::uint64_t incarnation = 1) {
    step handled{now, {}};
    renew_request request;
    request.group = name_of_group();
    request.owner = {"owner", incarnation};
    tested_renewer.handle(request, "o", page, {}, invariants, handled);
    if (handled.out.empty()) return 0;
    return std::get<renew_reply>(std::get<send_message>(handled.out.front()).body).granted.size();
  }
  /// Returns the reply to an owner that holds the page of `sequence`.
  renew_reply reply_to(time_point now, std::uint64_t sequence, bool reads_whole_grants,
                       std::vector<fence_token> blocked = {}) {
    step handled{now, {}};
    renew_request request;
    request.group = name_of_group();
    request.owner = {"owner", 1};
    request.sequence = sequence;
    request.reads_whole_grants = reads_whole_grants;
    tested_renewer.handle(request, "o", page, blocked, invariants, handled);
    return handled.out.empty()
               ? renew_reply{}
               : std::get<renew_reply>(std::get<send_message>(handled.out.front()).body);
  }
  actions request_stop(std::uint64_t sequence, bool active = true, std::uint64_t number = 7) {
    step handled{start, {}};
    tested_renewer.handle(stop_request{name_of_group(),
                                       page.epoch,
                                       number,
                                       sequence,
                                       own_appointment,
                                       {"owner", 1},
                                       5,
                                       active},
                          "2", page, handled);
    return handled.out;
  }
  group_name name_of_group() const { return {"viewer", 0}; }

  lease_timing timing;
  assignment_page page;
  renewer tested_renewer;
  invariant_counters invariants;
};

}  // namespace

Test(renewer, renews_no_owner_without_support) {
  renewer_bench bench;
  expect_equal(bench.renewed(start), 0U);
}

Test(renewer, renews_the_owner_of_the_page_while_supported) {
  renewer_bench bench;
  bench.support(start);
  expect_equal(bench.renewed(start + milliseconds{500}), 1U);
  expect_equal(bench.renewed(start + bench.timing.support), 0U);
}

Test(renewer, counts_support_from_the_time_of_its_request) {
  renewer_bench bench;
  bench.support(start);
  expect_true(*bench.tested_renewer.grantor_lease_end(bench.page) < start + bench.timing.support);
}

Test(renewer, does_not_count_the_support_of_a_withdrawn_renewer) {
  renewer_bench bench;
  bench.support(start);
  bench.page.renewers[1].withdrawn = true;
  expect_false(bench.tested_renewer.grantor_lease_end(bench.page).has_value());
}

Test(renewer, fault_counts_withdrawn_supporters) {
  renewer_bench bench({.withdrawn_supporter_counted = true});
  bench.support(start);
  bench.page.renewers[1].withdrawn = true;
  expect_true(bench.tested_renewer.grantor_lease_end(bench.page).has_value());
}

Test(renewer, gives_no_support_to_a_withdrawn_renewer) {
  renewer_bench bench;
  bench.page.renewers[1].withdrawn = true;
  step handled{start, {}};
  bench.tested_renewer.handle(
      support_request{bench.name_of_group(), peer_appointment, 1, 9, 4, 0, {}}, "2", bench.page,
      handled);
  expect_false(std::get<support_reply>(std::get<send_message>(handled.out.front()).body).supported);
}

Test(renewer, does_not_renew_another_incarnation_of_the_owner) {
  renewer_bench bench;
  bench.support(start);
  expect_equal(bench.renewed(start, 2), 0U);
}

Test(renewer, keeps_its_commitment_to_stop) {
  renewer_bench bench;
  bench.support(start);
  expect_equal(bench.request_stop(9).size(), 1U);
  expect_equal(bench.renewed(start + milliseconds{100}), 0U);
}

Test(renewer, renews_again_when_the_stop_request_is_revoked) {
  renewer_bench bench;
  bench.support(start);
  bench.request_stop(9);
  bench.request_stop(9, false, 8);
  expect_equal(bench.renewed(start + milliseconds{100}), 1U);
}

Test(renewer, ignores_a_late_stop_request_that_was_revoked) {
  renewer_bench bench;
  bench.support(start);
  bench.request_stop(9, false, 8);
  bench.request_stop(9, true, 7);
  expect_equal(bench.renewed(start + milliseconds{100}), 1U);
}

Test(renewer, ignores_a_stop_request_for_a_page_that_it_does_not_hold) {
  renewer_bench bench;
  expect_true(bench.request_stop(10).empty());
}

Test(renewer, fault_accepts_a_stop_request_for_a_page_that_it_does_not_hold) {
  renewer_bench bench({.stop_accepted_without_page = true});
  expect_false(bench.request_stop(10).empty());
}

Test(renewer, needs_support_of_every_peer_where_isolated_owners_must_stop) {
  renewer_bench bench;
  bench.page.move_since = 1;
  bench.support(start);
  expect_true(bench.tested_renewer.grantor_lease_end(bench.page).value_or(time_point{}) <= start);
}

Test(renewer, grants_by_page_sequence_to_an_owner_that_holds_the_same_page) {
  renewer_bench bench;
  bench.support(start);
  const auto reply = bench.reply_to(start + milliseconds{30}, 9, true);
  expect_true(reply.whole);
  expect_true(reply.granted.empty());
}

Test(renewer, lists_the_ranges_for_an_owner_that_holds_another_page) {
  renewer_bench bench;
  bench.support(start);
  const auto reply = bench.reply_to(start + milliseconds{30}, 8, true);
  expect_false(reply.whole);
  expect_equal(reply.granted.size(), 1U);
}

Test(renewer, lists_the_ranges_for_an_owner_of_an_older_build) {
  renewer_bench bench;
  bench.support(start);
  expect_false(bench.reply_to(start + milliseconds{30}, 9, false).whole);
}

Test(renewer, does_not_grant_by_page_sequence_while_a_range_is_blocked) {
  renewer_bench bench;
  bench.support(start);
  expect_false(bench.reply_to(start + milliseconds{30}, 9, true, {{4, 5}}).whole);
}
