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

/// Renewer 1 of a page with the renewers 1, 2 and 3; agent "owner" owns everything.
struct renewer_bench {
  explicit renewer_bench(fault_injection faults = {})
      : subject({"one", 1}, own_appointment, timing, faults, start) {
    page.service = "viewer";
    page.version = page.sequence = 9;
    page.epoch = 4;
    page.owner_changes = 5;
    page.renewers = {{{"one", 1}, "1", "d1", false, 1},
                     {{"two", 1}, "2", "d2", false, 2},
                     {{"three", 1}, "3", "d3", false, 3}};
    page.ranges = {{{0, ~key_hash{0}}, {"owner", 1}, {4, 5}}};
  }
  /// Lets the peer support the subject with a request sent at `now`.
  void support(time_point now) {
    step heartbeat{now, {}};
    subject.tick(page, 0, {}, heartbeat);
    const auto& sent =
        std::get<support_request>(std::get<send_message>(heartbeat.out.front()).body);
    step answer{now + milliseconds{20}, {}};
    subject.handle(support_reply{name_of_group(), own_appointment, peer_appointment, sent.request,
                                 page.sequence, true},
                   page, answer);
  }
  std::size_t renewed(time_point now, std::uint64_t incarnation = 1) {
    step asked{now, {}};
    renew_request request;
    request.group = name_of_group();
    request.owner = {"owner", incarnation};
    subject.handle(request, "o", page, {}, invariants, asked);
    if (asked.out.empty()) return 0;
    return std::get<renew_reply>(std::get<send_message>(asked.out.front()).body).granted.size();
  }
  /// Returns the reply to an owner that holds the page of `sequence`.
  renew_reply reply_to(time_point now, std::uint64_t sequence, bool reads_whole_grants,
                       std::vector<fence_token> blocked = {}) {
    step asked{now, {}};
    renew_request request;
    request.group = name_of_group();
    request.owner = {"owner", 1};
    request.sequence = sequence;
    request.reads_whole_grants = reads_whole_grants;
    subject.handle(request, "o", page, blocked, invariants, asked);
    return asked.out.empty()
               ? renew_reply{}
               : std::get<renew_reply>(std::get<send_message>(asked.out.front()).body);
  }
  actions demand_stop(std::uint64_t sequence, bool active = true, std::uint64_t number = 7) {
    step asked{start, {}};
    subject.handle(stop_request{name_of_group(),
                                page.epoch,
                                number,
                                sequence,
                                own_appointment,
                                {"owner", 1},
                                5,
                                active},
                   "2", page, asked);
    return asked.out;
  }
  group_name name_of_group() const { return {"viewer", 0}; }

  lease_timing timing;
  assignment_page page;
  renewer subject;
  invariant_counters invariants;
};

}  // namespace

Test(renewer, renews_nobody_without_support) {
  renewer_bench bench;
  expect_equal(bench.renewed(start), 0U);
}

Test(renewer, renews_the_owner_of_the_page_while_supported) {
  renewer_bench bench;
  bench.support(start);
  expect_equal(bench.renewed(start + milliseconds{500}), 1U);
  expect_equal(bench.renewed(start + bench.timing.support), 0U);
}

Test(renewer, counts_support_from_when_it_was_asked_for) {
  renewer_bench bench;
  bench.support(start);
  expect_true(*bench.subject.grantor_lease_end(bench.page) < start + bench.timing.support);
}

Test(renewer, does_not_count_the_support_of_a_withdrawn_renewer) {
  renewer_bench bench;
  bench.support(start);
  bench.page.renewers[1].withdrawn = true;
  expect_false(bench.subject.grantor_lease_end(bench.page).has_value());
}

Test(renewer, would_show_if_withdrawn_supporters_were_counted) {
  renewer_bench bench({.withdrawn_supporter_counted = true});
  bench.support(start);
  bench.page.renewers[1].withdrawn = true;
  expect_true(bench.subject.grantor_lease_end(bench.page).has_value());
}

Test(renewer, gives_no_support_to_a_withdrawn_renewer) {
  renewer_bench bench;
  bench.page.renewers[1].withdrawn = true;
  step asked{start, {}};
  bench.subject.handle(support_request{bench.name_of_group(), peer_appointment, 1, 9, 4, 0, {}},
                       "2", bench.page, asked);
  expect_false(std::get<support_reply>(std::get<send_message>(asked.out.front()).body).supported);
}

Test(renewer, does_not_renew_an_earlier_life_of_the_owner) {
  renewer_bench bench;
  bench.support(start);
  expect_equal(bench.renewed(start, 2), 0U);
}

Test(renewer, keeps_its_promise_to_stop) {
  renewer_bench bench;
  bench.support(start);
  expect_equal(bench.demand_stop(9).size(), 1U);
  expect_equal(bench.renewed(start + milliseconds{100}), 0U);
}

Test(renewer, renews_again_when_the_demand_is_taken_back) {
  renewer_bench bench;
  bench.support(start);
  bench.demand_stop(9);
  bench.demand_stop(9, false, 8);
  expect_equal(bench.renewed(start + milliseconds{100}), 1U);
}

Test(renewer, ignores_a_late_demand_that_was_taken_back) {
  renewer_bench bench;
  bench.support(start);
  bench.demand_stop(9, false, 8);
  bench.demand_stop(9, true, 7);
  expect_equal(bench.renewed(start + milliseconds{100}), 1U);
}

Test(renewer, promises_nothing_about_a_page_that_it_does_not_hold) {
  renewer_bench bench;
  expect_true(bench.demand_stop(10).empty());
}

Test(renewer, would_show_if_it_promised_about_a_page_that_it_does_not_hold) {
  renewer_bench bench({.stop_accepted_without_page = true});
  expect_false(bench.demand_stop(10).empty());
}

Test(renewer, needs_every_peer_where_owners_must_stop_when_cut_off) {
  renewer_bench bench;
  bench.page.move_since = 1;
  bench.support(start);
  expect_true(bench.subject.grantor_lease_end(bench.page).value_or(time_point{}) <= start);
}

Test(renewer, names_the_page_to_an_owner_that_holds_the_same) {
  renewer_bench bench;
  bench.support(start);
  const auto reply = bench.reply_to(start + milliseconds{30}, 9, true);
  expect_true(reply.whole);
  expect_true(reply.granted.empty());
}

Test(renewer, spells_the_ranges_out_to_an_owner_of_another_page) {
  renewer_bench bench;
  bench.support(start);
  const auto reply = bench.reply_to(start + milliseconds{30}, 8, true);
  expect_false(reply.whole);
  expect_equal(reply.granted.size(), 1U);
}

Test(renewer, spells_the_ranges_out_to_an_owner_of_an_older_version) {
  renewer_bench bench;
  bench.support(start);
  expect_false(bench.reply_to(start + milliseconds{30}, 9, false).whole);
}

Test(renewer, grants_nothing_whole_while_a_range_is_blocked) {
  renewer_bench bench;
  bench.support(start);
  expect_false(bench.reply_to(start + milliseconds{30}, 9, true, {{4, 5}}).whole);
}
