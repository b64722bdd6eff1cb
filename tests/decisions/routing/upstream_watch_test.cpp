#include "masticshunt/decisions/routing/upstream_watch.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};

upstream_heartbeat word(std::int64_t born, std::uint64_t sequence, bool leaving = false) {
  return {.incarnation = {"i-1", born},
          .service = "ledger",
          .slots = 4,
          .leaving = leaving,
          .sequence = sequence};
}

}  // namespace

Test(upstream_watch, is_present_until_it_has_been_silent) {
  upstream_watch it(seconds{3});
  expect_false(it.present(start));
  expect_true(it.heartbeat_received(word(1, 1), start));
  expect_true(it.present(start + seconds{2}));
  expect_false(it.present(start + seconds{3}));
}

Test(upstream_watch, a_late_word_of_the_same_life_changes_nothing) {
  upstream_watch it(seconds{3});
  it.heartbeat_received(word(1, 5, true), start);
  expect_false(it.heartbeat_received(word(1, 4), start));
  expect_true(it.draining_since().has_value());
}

Test(upstream_watch, a_late_word_of_an_earlier_life_changes_nothing) {
  upstream_watch it(seconds{3});
  it.heartbeat_received(word(2, 1), start);
  expect_false(it.heartbeat_received(word(1, 90), start));
  expect_equal(it.last()->incarnation.start_ms, 2);
}

Test(upstream_watch, the_word_that_it_is_gone_counts_before_anything_else_is_known) {
  upstream_watch it(seconds{3});
  expect_true(it.gone("i-1", start));
  expect_true(it.draining_since().has_value());
  registration published{.agent = "vm-1", .service = "ledger", .incarnation = {"i-1", 5}};
  it.restore(published);
  expect_true(it.draining_since().has_value());
  expect_true(it.stage(start) == upstream_stage::gone);
}

Test(upstream_watch, a_word_that_arrives_after_it_is_gone_does_not_bring_it_back) {
  upstream_watch it(seconds{3});
  it.gone("i-1", start);
  it.heartbeat_received(word(5, 40), start + seconds{1});
  expect_true(it.draining_since().has_value());
  expect_true(it.stage(start + seconds{1}) == upstream_stage::gone);
}

Test(upstream_watch, a_later_life_with_the_id_of_one_that_is_gone_starts_anew) {
  upstream_watch it(seconds{3});
  it.gone("i-1", start);
  expect_true(it.heartbeat_received(word(5, 1), start + seconds{20}));
  expect_false(it.draining_since().has_value());
}

Test(upstream_watch, a_new_life_with_the_same_id_starts_anew) {
  upstream_watch it(seconds{3});
  it.heartbeat_received(word(1, 9, true), start);
  expect_true(it.heartbeat_received(word(2, 1), start));
  expect_false(it.draining_since().has_value());
}

Test(upstream_watch, leaving_counts_from_the_first_word_of_it) {
  upstream_watch it(seconds{3});
  it.heartbeat_received(word(1, 1, true), start);
  it.heartbeat_received(word(1, 2, true), start + seconds{1});
  expect_true(it.draining_since() == start);
}

Test(upstream_watch, a_life_that_is_gone_does_not_come_back) {
  upstream_watch it(seconds{3});
  it.heartbeat_received(word(1, 1), start);
  expect_true(it.gone("i-1", start));
  it.heartbeat_received(word(1, 2), start);
  expect_true(it.stage(start) == upstream_stage::gone);
  expect_true(it.draining_since() == start);
}

Test(upstream_watch, another_id_leaving_is_not_this_one) {
  upstream_watch it(seconds{3});
  it.heartbeat_received(word(1, 1), start);
  expect_false(it.gone("i-2", start));
  expect_true(it.stage(start) == upstream_stage::ready);
}

Test(upstream_watch, takes_over_what_was_published_until_it_hears_the_upstream) {
  upstream_watch it(seconds{3});
  it.restore({.agent = "vm-1",
              .service = "ledger",
              .incarnation = {"i-1", 1},
              .stage = upstream_stage::draining,
              .slots = 4});
  expect_false(it.confirmed());
  expect_true(it.draining_since().has_value());
  expect_true(it.heartbeat_received(word(1, 1), start));
  expect_true(it.confirmed());
}
