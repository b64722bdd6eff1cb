#include "masticshunt/decisions/routing/upstream_watch.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};

upstream_heartbeat heartbeat(std::int64_t start_ms, std::uint64_t sequence, bool draining = false) {
  return {.incarnation = {"i-1", start_ms},
          .service = "ledger",
          .slots = 4,
          .draining = draining,
          .sequence = sequence};
}

}  // namespace

Test(upstream_watch, is_present_until_the_heartbeat_timeout) {
  upstream_watch watch(seconds{3});
  expect_false(watch.present(start));
  expect_true(watch.heartbeat_received(heartbeat(1, 1), start));
  expect_true(watch.present(start + seconds{2}));
  expect_false(watch.present(start + seconds{3}));
}

Test(upstream_watch, a_late_heartbeat_of_the_same_incarnation_is_ignored) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(1, 5, true), start);
  expect_false(watch.heartbeat_received(heartbeat(1, 4), start));
  expect_true(watch.draining_since().has_value());
}

Test(upstream_watch, a_late_heartbeat_of_an_earlier_incarnation_is_ignored) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(2, 1), start);
  expect_false(watch.heartbeat_received(heartbeat(1, 90), start));
  expect_equal(watch.last()->incarnation.start_ms, 2);
}

Test(upstream_watch, a_deregistration_counts_before_the_first_heartbeat) {
  upstream_watch watch(seconds{3});
  expect_true(watch.gone("i-1", start));
  expect_true(watch.draining_since().has_value());
  registration published{.agent = "vm-1", .service = "ledger", .incarnation = {"i-1", 5}};
  watch.restore(published, start);
  expect_true(watch.draining_since().has_value());
  expect_true(watch.settled(start));
  expect_true(watch.stage(start) == upstream_stage::gone);
}

Test(upstream_watch, a_heartbeat_that_arrives_after_the_upstream_is_gone_does_not_revive_it) {
  upstream_watch watch(seconds{3});
  watch.gone("i-1", start);
  watch.heartbeat_received(heartbeat(5, 40), start + seconds{1});
  expect_true(watch.draining_since().has_value());
  expect_true(watch.stage(start + seconds{1}) == upstream_stage::gone);
}

Test(upstream_watch, a_later_incarnation_with_the_id_of_one_that_is_gone_is_not_draining) {
  upstream_watch watch(seconds{3});
  watch.gone("i-1", start);
  expect_true(watch.heartbeat_received(heartbeat(5, 1), start + seconds{20}));
  expect_false(watch.draining_since().has_value());
}

Test(upstream_watch, a_new_incarnation_with_the_same_id_is_not_draining) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(1, 9, true), start);
  expect_true(watch.heartbeat_received(heartbeat(2, 1), start));
  expect_false(watch.draining_since().has_value());
}

Test(upstream_watch, draining_counts_from_the_first_heartbeat_that_reports_it) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(1, 1, true), start);
  watch.heartbeat_received(heartbeat(1, 2, true), start + seconds{1});
  expect_true(watch.draining_since() == start);
}

Test(upstream_watch, an_incarnation_that_is_gone_does_not_become_ready_again) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(1, 1), start);
  expect_true(watch.gone("i-1", start));
  watch.heartbeat_received(heartbeat(1, 2), start);
  expect_true(watch.stage(start) == upstream_stage::gone);
  expect_true(watch.draining_since() == start);
}

Test(upstream_watch, a_deregistration_with_another_id_is_ignored) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(1, 1), start);
  expect_false(watch.gone("i-2", start));
  expect_true(watch.stage(start) == upstream_stage::ready);
}

Test(upstream_watch, uses_the_restored_registration_until_the_first_heartbeat) {
  upstream_watch watch(seconds{3});
  watch.restore({.agent = "vm-1",
                 .service = "ledger",
                 .incarnation = {"i-1", 1},
                 .stage = upstream_stage::draining,
                 .slots = 4},
                start);
  expect_false(watch.confirmed());
  expect_true(watch.draining_since().has_value());
  expect_true(watch.heartbeat_received(heartbeat(1, 1), start));
  expect_true(watch.confirmed());
}

// Guards against the use of an upstream that has left: review/8, DRAIN.
Test(upstream_watch, a_restored_upstream_is_not_present_before_its_first_heartbeat) {
  upstream_watch watch(seconds{3});
  watch.restore({.agent = "vm-1", .service = "ledger", .incarnation = {"i-1", 1}}, start);
  expect_false(watch.present(start));
  expect_false(watch.settled(start + seconds{2}));
  watch.heartbeat_received(heartbeat(1, 7), start + seconds{2});
  expect_true(watch.present(start + seconds{2}));
  expect_true(watch.stage(start + seconds{2}) == upstream_stage::ready);
}

Test(upstream_watch, a_restored_upstream_without_heartbeats_is_published_as_gone) {
  upstream_watch watch(seconds{3});
  watch.restore({.agent = "vm-1", .service = "ledger", .incarnation = {"i-1", 1}}, start);
  expect_true(watch.settled(start + seconds{3}));
  expect_true(watch.stage(start + seconds{3}) == upstream_stage::gone);
}

Test(upstream_watch,
     an_upstream_that_says_in_an_answer_that_it_leaves_drains_until_the_next_incarnation) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(1, 1), start);
  const auto incarnation = watch.last()->incarnation;
  expect_true(watch.leaving(incarnation, start + seconds{1}));
  expect_true(watch.draining_since() == start + seconds{1});
  expect_false(watch.leaving(incarnation, start + seconds{2}));
  expect_true(watch.heartbeat_received(heartbeat(1, 2), start + seconds{2}));
  expect_true(watch.draining_since() == start + seconds{1});
  expect_true(watch.stage(start + seconds{2}) == upstream_stage::draining);
  watch.heartbeat_received(heartbeat(2, 1), start + seconds{2});
  expect_false(watch.draining_since().has_value());
}

Test(upstream_watch, an_answer_of_an_earlier_incarnation_does_not_make_its_successor_drain) {
  upstream_watch watch(seconds{3});
  watch.heartbeat_received(heartbeat(1, 1), start);
  const auto earlier = watch.last()->incarnation;
  watch.heartbeat_received(heartbeat(2, 1), start);
  expect_false(watch.leaving(earlier, start));
  expect_false(watch.draining_since().has_value());
}
