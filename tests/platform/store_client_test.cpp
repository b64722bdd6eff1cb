#include "masticshunt/platform/store_client.h"

#include "expect.h"
#include "store_fixture.h"

using namespace masticshunt;
using namespace masticshunt::platform;
using masticshunt::platform::testing::store_fixture;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;
using std::chrono::milliseconds;

namespace {

const std::string first_value = R"({"write_id":"w1","n":1})";
const std::string second_value = R"({"write_id":"w2","n":2})";

store_client_settings tight_budget() {
  auto settings = store_fixture::quick_settings();
  settings.calls_per_second = 0.01;
  settings.burst = 3;
  return settings;
}

}  // namespace

Test(store_client, reads_what_it_wrote) {
  store_fixture each;
  const auto written = each.write("config/a b/ü", 0, first_value);
  expect_true(written.version.has_value(), written.reason.describe());
  const auto read = each.read("config/a b/ü");
  expect_equal(read.object->value, first_value);
  expect_equal(read.object->version, *written.version);
}

Test(store_client, tells_an_absent_object_from_an_unavailable_store) {
  store_fixture each;
  expect_equal(each.read("absent").reason.kind, failure_kind::not_found);
  each.store.set_down(true);
  expect_equal(each.read("absent").reason.kind, failure_kind::unavailable);
}

Test(store_client, shows_the_winner_of_a_conflict) {
  store_fixture each;
  each.write("a", 0, first_value);
  const auto late = each.write("a", 0, second_value);
  expect_equal(late.reason.kind, failure_kind::conflict);
  expect_equal(late.current->value, first_value);
  expect_false(late.version.has_value());
}

Test(store_client, resolves_a_lost_answer_without_a_second_write) {
  store_fixture each;
  each.store.lose_next_answers(1);
  const auto written = each.write("a", 0, first_value);
  expect_true(written.version.has_value(), written.reason.describe());
  expect_equal(each.store.counts().writes, 1U);
  expect_equal(each.client.counts().read_backs, 1U);
}

Test(store_client, reports_a_conflict_if_another_writer_followed_the_lost_answer) {
  store_fixture each;
  each.write("a", 0, first_value);
  each.store.lose_next_answers(1);
  bool overtaken = false;
  std::optional<ownership::store_write_done> late;
  each.client.async_write({1, "a", 1, second_value}, [&](auto done) { late = std::move(done); });
  each.run_until([&] {
    if (!overtaken && each.store.counts().lost_answers == 1) {
      each.store.put("a", R"({"write_id":"other"})");
      overtaken = true;
    }
    return late.has_value();
  });
  expect_equal(late->reason.kind, failure_kind::conflict);
  expect_equal(each.store.counts().applied, 2U);
}

Test(store_client, takes_its_own_value_in_a_conflict_for_success) {
  store_fixture each;
  const auto first = each.write("a", 0, first_value);
  const auto again = each.write("a", 0, first_value);
  expect_equal(*again.version, *first.version);
  expect_equal(each.store.counts().applied, 1U);
}

Test(store_client, says_that_an_unresolved_write_may_have_taken_effect) {
  store_fixture each;
  each.store.set_silent(true);
  const auto written = each.write("a", 0, first_value);
  expect_equal(written.reason.kind, failure_kind::unavailable);
  expect_true(written.reason.message.find("may have taken effect") != std::string::npos);
  expect_equal(each.store.counts().writes, 1U);
}

Test(store_client, does_not_create_an_object_twice_that_somebody_deleted_meanwhile) {
  store_fixture each;
  each.store.lose_next_answers(1);
  std::optional<ownership::store_write_done> done;
  bool deleted = false;
  each.client.async_write({1, "a", 0, first_value}, [&](auto end) { done = std::move(end); });
  each.run_until([&] {
    if (!deleted && each.store.counts().lost_answers == 1) {
      each.store.remove("a");
      deleted = true;
    }
    return done.has_value();
  });
  expect_false(each.store.object("a").has_value());
  expect_equal(done->reason.kind, failure_kind::unavailable);
}

Test(store_client, deletes_and_resolves_a_lost_deletion) {
  store_fixture each;
  const auto written = each.write("a", 0, first_value);
  each.store.lose_next_answers(1);
  const auto removed = each.remove("a", *written.version);
  expect_true(removed.version.has_value(), removed.reason.describe());
  expect_false(each.store.object("a").has_value());
}

Test(store_client, lists_a_prefix_with_the_revision_of_the_answer) {
  store_fixture each;
  each.store.put("a/1", first_value);
  each.store.put("b/1", first_value);
  const auto listed = each.list("a/");
  expect_equal(listed.objects->size(), 1U);
  expect_equal(listed.revision, 2U);
}

Test(store_client, is_told_of_a_change_that_it_waits_for) {
  store_fixture each;
  const auto revision = each.store.put("a/1", first_value);
  std::optional<ownership::store_list_done> news;
  each.client.async_list({1, "a/", revision}, [&](auto done) { news = std::move(done); });
  each.run_until([&] { return each.store.counts().waiting_watches == 1; });
  each.store.put("b/1", first_value);
  each.store.remove("a/1");
  each.run_until([&] { return news.has_value(); });
  expect_equal(news->objects->size(), 1U);
  expect_equal(news->objects->front().value, "");
}

Test(store_client, ends_a_quiet_watch_with_no_objects) {
  store_fixture each;
  const auto quiet = each.list("a/", 0);
  expect_true(quiet.objects.has_value(), quiet.reason.describe());
  expect_true(quiet.objects->empty());
}

Test(store_client, moves_to_a_new_connection_when_a_kept_one_is_silent) {
  store_fixture each;
  each.write("a", 0, first_value);
  each.store.set_silent(true);
  std::optional<ownership::store_read_done> read;
  const auto calls_before = each.store.counts().calls;
  each.client.async_read({1, "a"}, [&](auto done) { read = std::move(done); });
  each.run_until([&] { return each.store.counts().calls > calls_before; });
  each.store.set_silent(false);
  each.run_until([&] { return read.has_value(); });
  expect_true(read->object.has_value(), read->reason.describe());
}

Test(store_client, waits_out_a_slow_store_within_its_deadline) {
  store_fixture each;
  each.store.set_slow(milliseconds{100});
  expect_true(each.write("a", 0, first_value).version.has_value());
}

Test(store_client, tries_its_addresses_in_turn) {
  store_fixture each;
  auto settings = store_fixture::quick_settings();
  settings.addresses = {"not-an-address", each.store.address()};
  store_client other(each.context.get_executor(), settings, 1);
  std::optional<ownership::store_read_done> read;
  other.async_read({1, "absent"}, [&](auto done) { read = std::move(done); });
  each.run_until([&] { return read.has_value(); });
  expect_equal(read->reason.kind, failure_kind::not_found);
}

Test(store_client, refuses_calls_beyond_its_budget_without_making_them) {
  store_fixture each(tight_budget());
  for (int call = 0; call < 3; ++call) each.read("absent");
  expect_equal(each.read("absent").reason.kind, failure_kind::over_budget);
  expect_equal(each.store.counts().calls, 3U);
}

Test(store_client, keeps_its_budget_while_the_store_is_down) {
  auto settings = tight_budget();
  settings.burst = 5;
  store_fixture each(settings);
  each.store.set_down(true);
  for (int call = 0; call < 5; ++call) each.read("a");
  expect_true(each.client.counts().reads <= 5);
}

Test(store_client, ends_every_call_once_when_it_is_stopped) {
  store_fixture each;
  each.store.set_silent(true);
  int ended = 0;
  each.client.async_read({1, "a"}, [&](auto done) {
    ++ended;
    expect_equal(done.reason.kind, failure_kind::unavailable);
  });
  each.client.async_list({2, "a", 0}, [&](auto) { ++ended; });
  each.client.async_write({3, "a", 0, first_value}, [&](auto) { ++ended; });
  each.run_until([&] { return each.store.counts().writes == 1; });
  each.client.stop();
  each.run_until([&] { return ended == 3; });
  each.context.poll();
  expect_equal(ended, 3);
}

Test(store_client, refuses_a_value_over_one_mebibyte_without_a_call) {
  store_fixture each;
  expect_equal(each.write("a", 0, std::string(1'048'577, ' ')).reason.kind,
               failure_kind::bad_input);
  expect_equal(each.store.counts().calls, 0U);
}
