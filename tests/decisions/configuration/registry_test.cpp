#include "masticshunt/decisions/configuration/registry.h"

#include <nlohmann/json.hpp>

#include "expect.h"

using namespace masticshunt::configuration;
using masticshunt::failure_kind;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {

const record viewer{1, service_record{.name = "viewer", .default_rank = "normal"}};

record rank(std::string name, std::uint32_t order, double floor) {
  return {
      1, rank_record{.service = "viewer", .name = std::move(name), .order = order, .floor = floor}};
}

apply_result put(registry& to, const record& config_record, std::uint64_t version) {
  return to.apply(object_name(config_record), version, to_value(config_record));
}

std::string newer_than_this_build(const record& config_record) {
  auto value = nlohmann::json::parse(to_value(config_record));
  value["schema_version"] = schema_version_max + 1;
  return value.dump();
}

registry complete() {
  registry records;
  put(records, viewer, 1);
  put(records, rank("normal", 1, 0.25), 2);
  put(records, rank("urgent", 0, 0.5), 3);
  return records;
}

}  // namespace

Test(registry, accepts_strictly_newer_versions_only) {
  registry records;
  record newer = viewer;
  std::get<service_record>(newer.body).groups = 9;
  expect_equal(put(records, newer, 7), apply_result::in_force);
  expect_equal(put(records, viewer, 7), apply_result::not_newer);
  expect_equal(put(records, viewer, 6), apply_result::not_newer);
  expect_equal(records.service("viewer")->groups, 9U);
}

Test(registry, does_not_revive_a_deleted_record_by_an_older_version) {
  registry records = complete();
  records.apply("config/service/viewer", 10, "");
  expect_equal(put(records, viewer, 9), apply_result::not_newer);
  expect_equal(records.state_of("viewer"), service_state::unknown);
  expect_equal(records.revision(), 10U);
}

Test(registry, does_not_revive_a_record_whose_deletion_was_purged) {
  registry records = complete();
  records.apply("config/service/viewer", 10, "");
  records.purge_deletions(10);
  expect_equal(put(records, viewer, 9), apply_result::not_newer);
  expect_equal(put(records, viewer, 11), apply_result::in_force);
}

Test(registry, never_falls_back_to_the_older_version_of_an_unreadable_record) {
  registry records = complete();
  expect_equal(records.apply("config/service/viewer", 10, newer_than_this_build(viewer)),
               apply_result::unreadable);
  expect_equal(records.state_of("viewer"), service_state::unsupported);
  expect_false(records.service("viewer").has_value());
  expect_equal(records.unreadable().front().reason.kind, failure_kind::unsupported);
  put(records, viewer, 11);
  expect_equal(records.state_of("viewer"), service_state::ready);
}

Test(registry, refuses_a_service_one_of_whose_ranks_is_unreadable) {
  registry records = complete();
  records.apply("config/rank/viewer.urgent", 10, newer_than_this_build(rank("urgent", 0, 0)));
  expect_equal(records.state_of("viewer"), service_state::unsupported);
  records.apply("config/rank/viewer.urgent", 11, "");
  expect_equal(records.state_of("viewer"), service_state::ready);
}

Test(registry, separates_services_whose_names_share_a_prefix) {
  registry records = complete();
  records.apply("config/rank/viewer-2.urgent", 10, "not JSON");
  expect_equal(records.state_of("viewer"), service_state::ready);
}

Test(registry, orders_ranks_by_urgency) {
  const registry records = complete();
  expect_equal(records.ranks("viewer").front().name, "urgent");
  expect_equal(*records.rank_index("viewer", "normal"), 1U);
  expect_false(records.rank_index("viewer", "absent").has_value());
}

Test(registry, drains_an_agent_by_its_name_or_its_failure_domain) {
  registry records;
  put(records, {1, drain_record{"one", "vm-1", ""}}, 1);
  put(records, {1, drain_record{"bern", "", "Bern"}}, 2);
  expect_true(records.drained("vm-1", "Olten"));
  expect_true(records.drained("vm-2", "Bern"));
  expect_false(records.drained("vm-2", "Olten"));
}

Test(registry, ends_in_the_same_state_in_any_order_of_arrival) {
  const std::array<std::pair<std::uint64_t, record>, 3> changes{
      {{1, rank("normal", 1, 0.1)}, {2, rank("normal", 2, 0.2)}, {3, rank("normal", 3, 0.3)}}};
  std::array<std::size_t, 3> order{0, 1, 2};
  do {
    registry records;
    for (const auto index : order) put(records, changes.at(index).second, changes.at(index).first);
    expect_equal(records.ranks("viewer").front().order, 3U);
  } while (std::ranges::next_permutation(order).found);
}

Test(check_changes, rejects_floors_that_sum_to_more_than_one) {
  const auto extra = rank("batch", 2, 0.5);
  expect_true(check_changes(complete(), {{object_name(extra), to_value(extra)}}).has_value());
  const auto fitting = rank("batch", 2, 0.25);
  expect_false(check_changes(complete(), {{object_name(fitting), to_value(fitting)}}).has_value());
}

Test(check_changes, rejects_the_deletion_of_the_default_rank) {
  expect_true(check_changes(complete(), {{"config/rank/viewer.normal", ""}}).has_value());
}

Test(check_changes, checks_changes_together) {
  const auto normal = rank("normal", 1, 0.25);
  expect_true(check_changes({}, {{object_name(viewer), to_value(viewer)}}).has_value());
  expect_false(check_changes({}, {{object_name(viewer), to_value(viewer)},
                                  {object_name(normal), to_value(normal)}})
                   .has_value());
}
