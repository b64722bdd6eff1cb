#include "masticshunt/store/store_client.h"

#include "expect.h"
#include "store_fixture.h"

using namespace masticshunt;
using namespace masticshunt::store;
using masticshunt::store::testing::store_fixture;
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

Test(store_client, reads_a_written_object) {
  store_fixture fixture;
  const auto written = fixture.write("config/a b/ü", 0, first_value);
  expect_true(written.version.has_value(), written.reason.describe());
  const auto read = fixture.read("config/a b/ü");
  expect_equal(read.object->value, first_value);
  expect_equal(read.object->version, *written.version);
}

Test(store_client, distinguishes_an_absent_object_from_an_unavailable_store) {
  store_fixture fixture;
  expect_equal(fixture.read("absent").reason.kind, failure_kind::not_found);
  fixture.store.set_down(true);
  expect_equal(fixture.read("absent").reason.kind, failure_kind::unavailable);
}

Test(store_client, returns_the_current_object_on_a_conflict) {
  store_fixture fixture;
  fixture.write("a", 0, first_value);
  const auto late = fixture.write("a", 0, second_value);
  expect_equal(late.reason.kind, failure_kind::conflict);
  expect_equal(late.current->value, first_value);
  expect_false(late.version.has_value());
}

Test(store_client, resolves_a_lost_response_without_a_second_write) {
  store_fixture fixture;
  fixture.store.drop_next_responses(1);
  const auto written = fixture.write("a", 0, first_value);
  expect_true(written.version.has_value(), written.reason.describe());
  expect_equal(fixture.store.counts().writes, 1U);
  expect_equal(fixture.client.counts().read_backs, 1U);
}

Test(store_client, reports_a_conflict_if_another_write_followed_a_lost_response) {
  store_fixture fixture;
  fixture.write("a", 0, first_value);
  fixture.store.drop_next_responses(1);
  bool overtaken = false;
  std::optional<ownership::store_write_done> late;
  fixture.client.async_write({1, "a", 1, second_value}, [&](auto done) { late = std::move(done); });
  fixture.run_until([&] {
    if (!overtaken && fixture.store.counts().dropped_responses == 1) {
      fixture.store.put("a", R"({"write_id":"other"})");
      overtaken = true;
    }
    return late.has_value();
  });
  expect_equal(late->reason.kind, failure_kind::conflict);
  expect_equal(fixture.store.counts().applied, 2U);
}

Test(store_client, treats_a_conflict_with_its_own_write_as_success) {
  store_fixture fixture;
  const auto first = fixture.write("a", 0, first_value);
  const auto again = fixture.write("a", 0, first_value);
  expect_equal(*again.version, *first.version);
  expect_equal(fixture.store.counts().applied, 1U);
}

Test(store_client, reports_that_an_unresolved_write_may_have_taken_effect) {
  store_fixture fixture;
  fixture.store.set_unresponsive(true);
  const auto written = fixture.write("a", 0, first_value);
  expect_equal(written.reason.kind, failure_kind::unavailable);
  expect_true(written.reason.message.find("may have taken effect") != std::string::npos);
  expect_equal(fixture.store.counts().writes, 1U);
}

Test(store_client, does_not_recreate_an_object_that_was_deleted_after_a_lost_response) {
  store_fixture fixture;
  fixture.store.drop_next_responses(1);
  std::optional<ownership::store_write_done> done;
  bool deleted = false;
  fixture.client.async_write({1, "a", 0, first_value}, [&](auto end) { done = std::move(end); });
  fixture.run_until([&] {
    if (!deleted && fixture.store.counts().dropped_responses == 1) {
      fixture.store.remove("a");
      deleted = true;
    }
    return done.has_value();
  });
  expect_false(fixture.store.object("a").has_value());
  expect_equal(done->reason.kind, failure_kind::unavailable);
}

Test(store_client, resolves_a_deletion_whose_response_was_lost) {
  store_fixture fixture;
  const auto written = fixture.write("a", 0, first_value);
  fixture.store.drop_next_responses(1);
  const auto removed = fixture.remove("a", *written.version);
  expect_true(removed.version.has_value(), removed.reason.describe());
  expect_false(fixture.store.object("a").has_value());
}

Test(store_client, lists_a_prefix_with_the_store_revision) {
  store_fixture fixture;
  fixture.store.put("a/1", first_value);
  fixture.store.put("b/1", first_value);
  const auto listed = fixture.list("a/");
  expect_equal(listed.objects->size(), 1U);
  expect_equal(listed.revision, 2U);
}

Test(store_client, watch_returns_a_change_under_its_prefix) {
  store_fixture fixture;
  const auto revision = fixture.store.put("a/1", first_value);
  std::optional<ownership::store_list_done> changes;
  fixture.client.async_list({1, "a/", revision}, [&](auto done) { changes = std::move(done); });
  fixture.run_until([&] { return fixture.store.counts().waiting_watches == 1; });
  fixture.store.put("b/1", first_value);
  fixture.store.remove("a/1");
  fixture.run_until([&] { return changes.has_value(); });
  expect_equal(changes->objects->size(), 1U);
  expect_equal(changes->objects->front().value, "");
}

Test(store_client, watch_without_changes_returns_no_objects) {
  store_fixture fixture;
  const auto unchanged = fixture.list("a/", 0);
  expect_true(unchanged.objects.has_value(), unchanged.reason.describe());
  expect_true(unchanged.objects->empty());
}

Test(store_client, retries_on_a_new_connection_when_a_reused_one_is_unresponsive) {
  store_fixture fixture;
  fixture.write("a", 0, first_value);
  fixture.store.set_unresponsive(true);
  std::optional<ownership::store_read_done> read;
  const auto calls_before = fixture.store.counts().calls;
  fixture.client.async_read({1, "a"}, [&](auto done) { read = std::move(done); });
  fixture.run_until([&] { return fixture.store.counts().calls > calls_before; });
  fixture.store.set_unresponsive(false);
  fixture.run_until([&] { return read.has_value(); });
  expect_true(read->object.has_value(), read->reason.describe());
}

Test(store_client, waits_for_a_slow_store_within_the_deadline) {
  store_fixture fixture;
  fixture.store.set_slow(milliseconds{100});
  expect_true(fixture.write("a", 0, first_value).version.has_value());
}

Test(store_client, tries_the_next_address_after_a_failure) {
  store_fixture fixture;
  auto settings = store_fixture::quick_settings();
  settings.addresses = {"not-an-address", fixture.store.address()};
  store_client other(fixture.context.get_executor(), settings, 1);
  std::optional<ownership::store_read_done> read;
  other.async_read({1, "absent"}, [&](auto done) { read = std::move(done); });
  fixture.run_until([&] { return read.has_value(); });
  expect_equal(read->reason.kind, failure_kind::not_found);
}

Test(store_client, refuses_calls_over_the_rate_limit_without_sending_them) {
  store_fixture fixture(tight_budget());
  for (int call = 0; call < 3; ++call) fixture.read("absent");
  expect_equal(fixture.read("absent").reason.kind, failure_kind::over_budget);
  expect_equal(fixture.store.counts().calls, 3U);
}

Test(store_client, keeps_the_rate_limit_while_the_store_is_down) {
  auto settings = tight_budget();
  settings.burst = 5;
  store_fixture fixture(settings);
  fixture.store.set_down(true);
  for (int call = 0; call < 5; ++call) fixture.read("a");
  expect_true(fixture.client.counts().reads <= 5);
}

Test(store_client, ends_every_call_once_when_stopped) {
  store_fixture fixture;
  fixture.store.set_unresponsive(true);
  int ended = 0;
  fixture.client.async_read({1, "a"}, [&](auto done) {
    ++ended;
    expect_equal(done.reason.kind, failure_kind::unavailable);
  });
  fixture.client.async_list({2, "a", 0}, [&](auto) { ++ended; });
  fixture.client.async_write({3, "a", 0, first_value}, [&](auto) { ++ended; });
  fixture.run_until([&] { return fixture.store.counts().writes == 1; });
  fixture.client.stop();
  fixture.run_until([&] { return ended == 3; });
  fixture.context.poll();
  expect_equal(ended, 3);
}

Test(store_client, refuses_a_value_over_one_mebibyte_without_a_call) {
  store_fixture fixture;
  expect_equal(fixture.write("a", 0, std::string(1'048'577, ' ')).reason.kind,
               failure_kind::bad_input);
  expect_equal(fixture.store.counts().calls, 0U);
}
