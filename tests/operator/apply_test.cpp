#include "operator/internal/apply.h"

#include "operator_fixture.h"

using namespace masticshunt;
using namespace masticshunt::operators;
using masticshunt::operators::testing::operator_fixture;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {

const std::string both =
    "[service viewer]\nschema = 1\ndefault_rank = normal\n"
    "[rank viewer.normal]\nschema = 1\nfloor = 25%\n";
const std::string service_2 =
    "[service viewer]\nschema = 2\ndefault_rank = normal\nregions = Alpen, Tessin\n";

std::string rank_with(const std::string& floor, const std::string& version) {
  return "[rank viewer.normal]\nschema = 1\n" + version + "floor = " + floor + "\n";
}

failure_kind kind_of_failure(const apply_report& report) {
  return report.first_failure().value_or(failure{}).kind;
}

}  // namespace

Test(apply, writes_ranks_before_the_service_that_names_them) {
  operator_fixture fixture;
  const auto report = fixture.apply(both);
  expect_false(report.first_failure().has_value());
  expect_true(report.lines[1].version < report.lines[0].version);
}

Test(apply, writes_nothing_for_unchanged_records) {
  operator_fixture fixture;
  fixture.apply(both);
  const auto again = fixture.apply(both, "bert");
  expect_true(again.lines.front().outcome == apply_outcome::unchanged);
  expect_equal(fixture.store.counts().writes, 2U);
}

Test(apply, reports_both_edits_to_the_second_of_two_operators) {
  operator_fixture fixture;
  fixture.apply(both);
  const auto first = fixture.apply(rank_with("0.5", "version = 1\n"), "anna");
  expect_true(first.lines.front().outcome == apply_outcome::changed);
  const auto second = fixture.apply(rank_with("0.75", "version = 1\n"), "bert");
  expect_equal(kind_of_failure(second), failure_kind::conflict);
  const auto& line = second.lines.front();
  expect_equal(line.edited_by, "anna");
  expect_equal(line.changes.front().left, "0.5");
  expect_equal(line.changes.front().right, "0.75");
  expect_equal(fixture.store.counts().applied, 3U);
}

Test(apply, does_not_replace_a_record_whose_version_the_file_does_not_state) {
  operator_fixture fixture;
  fixture.apply(both);
  expect_equal(kind_of_failure(fixture.apply(rank_with("0.5", ""))), failure_kind::conflict);
}

Test(apply, does_not_recreate_a_deleted_record) {
  operator_fixture fixture;
  fixture.apply(both);
  fixture.store.remove("config/rank/viewer.normal");
  expect_equal(kind_of_failure(fixture.apply(rank_with("0.5", "version = 1\n"))),
               failure_kind::conflict);
}

Test(apply, writes_once_when_the_response_is_lost) {
  operator_fixture fixture;
  fixture.apply(both);
  fixture.store.drop_next_responses(1);
  const auto report = fixture.apply(rank_with("0.5", "version = 1\n"));
  expect_false(report.first_failure().has_value());
  expect_equal(fixture.store.counts().applied, 3U);
}

Test(apply, writes_nothing_if_one_record_of_a_file_is_refused) {
  operator_fixture fixture;
  fixture.apply(both);
  const auto report = fixture.apply(rank_with("0.5", "version = 7\n") +
                                    "[rank viewer.urgent]\nschema = 1\nfloor = 0.1\n");
  expect_true(report.lines[1].outcome == apply_outcome::not_tried);
  expect_equal(fixture.store.counts().writes, 2U);
}

Test(apply, refuses_floors_that_sum_to_more_than_one) {
  operator_fixture fixture;
  fixture.apply(both);
  const auto report = fixture.apply("[rank viewer.urgent]\nschema = 1\nfloor = 0.8\n");
  expect_equal(kind_of_failure(report), failure_kind::bad_input);
}

Test(apply, does_not_accept_a_schema_that_a_live_agent_cannot_read) {
  operator_fixture fixture;
  fixture.apply(both);
  fixture.store.put("groups/viewer/0", R"({"schema_floor":2})");
  fixture.store.put("groups/viewer/1", R"({"schema_floor":1})");
  const auto report = fixture.apply(service_2 + "version = 2\n");
  expect_equal(kind_of_failure(report), failure_kind::unsupported);
  expect_equal(fixture.store.counts().writes, 2U);
  fixture.store.put("groups/viewer/1", R"({"schema_floor":2})");
  expect_false(fixture.apply(service_2 + "version = 2\n").first_failure().has_value());
}

Test(apply, prefers_the_schema_floor_object_of_the_service) {
  operator_fixture fixture;
  fixture.apply(both);
  fixture.store.put("system/schema-floor", R"({"floors":{"viewer/0":1,"other/0":2}})");
  expect_equal(kind_of_failure(fixture.apply(service_2 + "version = 2\n")),
               failure_kind::unsupported);
}

Test(apply, reports_a_store_that_is_down) {
  operator_fixture fixture;
  fixture.store.set_down(true);
  expect_equal(kind_of_failure(fixture.apply(both)), failure_kind::unavailable);
}

Test(delete_record, deletes_only_the_expected_version) {
  operator_fixture fixture;
  fixture.apply(both + "[rank viewer.batch]\nschema = 1\n");
  const auto version = fixture.store.object("config/rank/viewer.batch")->version;
  const auto stale = delete_record(fixture.session, "config/rank/viewer.batch", version + 1);
  expect_equal(stale.reason.kind, failure_kind::conflict);
  const auto done = delete_record(fixture.session, "config/rank/viewer.batch", version);
  expect_true(done.outcome == apply_outcome::deleted);
  expect_false(fixture.store.object("config/rank/viewer.batch").has_value());
}

Test(delete_record, refuses_to_delete_the_default_rank_of_a_service) {
  operator_fixture fixture;
  fixture.apply(both);
  const auto refused = delete_record(fixture.session, "config/rank/viewer.normal", 1);
  expect_equal(refused.reason.kind, failure_kind::bad_input);
}
