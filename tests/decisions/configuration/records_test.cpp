#include "masticshunt/decisions/configuration/records.h"

#include <nlohmann/json.hpp>
#include <random>

#include "expect.h"

using namespace masticshunt::configuration;
using masticshunt::failure;
using masticshunt::failure_kind;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {

record sample_service(std::uint32_t schema) {
  service_record body{.name = "booking-ledger", .default_rank = "normal", .groups = 3};
  if (schema >= 2) body.regions = {"Mittelland", "Alpen", "Tessin"};
  return {schema, body};
}

record sample_rank() {
  return {1, rank_record{.service = "booking-ledger", .name = "urgent", .floor = 0.25}};
}

/// Returns the failure of reading `config_record` after `edit` has changed its stored form.
template <class Edit>
failure refusal_of(const record& config_record, Edit edit) {
  auto value = nlohmann::json::parse(to_value(config_record));
  edit(value);
  failure reason;
  expect_false(from_value(object_name(config_record), value.dump(), reason).has_value(),
               value.dump());
  return reason;
}

}  // namespace

Test(record, of_every_kind_round_trips_through_its_stored_form) {
  const std::array<record, 5> all{
      sample_service(1), sample_service(2), sample_rank(),
      record{2, key_range_record{"booking-ledger", "gotthard", {5, ~0ULL}, "Alpen", true}},
      record{1, drain_record{"bern", "", "Bern"}}};
  for (const auto& sample : all) {
    failure reason;
    const auto read = from_value(object_name(sample), to_value(sample), reason);
    expect_true(read == sample, object_name(sample) + " " + reason.describe());
  }
}

Test(record, has_an_object_name_of_kind_service_and_name) {
  expect_equal(object_name(sample_rank()), "config/rank/booking-ledger.urgent");
}

Test(record, is_not_affected_by_its_stamp) {
  const auto value = to_value(sample_rank(), {"w-17", "anna"});
  failure reason;
  expect_true(from_value(object_name(sample_rank()), value, reason) == sample_rank());
  expect_equal(stamp_of(value).write_id, "w-17");
  expect_equal(stamp_of(value).edited_by, "anna");
}

Test(record, of_a_newer_schema_is_unsupported_with_any_content) {
  const auto reason = refusal_of(sample_rank(), [](auto& value) {
    value["schema_version"] = schema_version_max + 1;
    value["new_envelope_field"] = 1;
  });
  expect_equal(reason.kind, failure_kind::unsupported);
  expect_false(reason.remedy.empty());
}

Test(record, refuses_a_field_that_only_a_newer_schema_has) {
  const auto reason =
      refusal_of(sample_service(1), [](auto& value) { value["body"]["regions"] = {"Alpen"}; });
  expect_equal(reason.kind, failure_kind::bad_input);
  expect_true(reason.remedy.find("raise the record's schema to 2") != std::string::npos);
}

Test(record, of_schema_1_is_not_given_the_fields_of_schema_2) {
  const auto value = nlohmann::json::parse(to_value(sample_service(1)));
  expect_false(value["body"].contains("regions"));
}

Test(record, refuses_unknown_missing_and_ill_typed_fields) {
  refusal_of(sample_rank(), [](auto& value) { value["body"]["flor"] = 0.5; });
  refusal_of(sample_rank(), [](auto& value) { value["body"].erase("floor"); });
  refusal_of(sample_rank(), [](auto& value) { value["body"]["floor"] = "0.5"; });
  refusal_of(sample_rank(), [](auto& value) { value["body"]["floor"] = 1.5; });
  refusal_of(sample_rank(), [](auto& value) { value["body"]["order"] = -1; });
  refusal_of(sample_rank(), [](auto& value) { value["extra"] = 1; });
  refusal_of(sample_rank(), [](auto& value) { value["schema_version"] = 0; });
}

Test(record, refuses_a_drain_order_for_both_or_neither) {
  refusal_of(record{1, drain_record{"both", "vm-1", "Bern"}}, [](auto&) {});
  refusal_of(record{1, drain_record{"neither", "", ""}}, [](auto&) {});
}

Test(record, reports_the_invalid_field) {
  auto value = nlohmann::json::parse(to_value(sample_rank()));
  value["body"]["target"] = true;
  record_fault fault;
  expect_false(from_value(object_name(sample_rank()), value.dump(), fault).has_value());
  expect_equal(fault.field, "target");
}

Test(record, refuses_invalid_object_names) {
  for (const auto* name : {"config/rank/a.b.c", "config/rank/a", "config/service/a/b",
                           "config/service/", "config/unknown/a", "groups/a/0", ""}) {
    failure reason;
    expect_false(from_value(name, to_value(sample_rank()), reason).has_value(), name);
    expect_false(reason.remedy.empty());
  }
}

Test(record, reading_survives_any_bytes) {
  std::mt19937_64 random{7};
  const auto valid = to_value(sample_service(2), {"w", "e"});
  for (int round = 0; round < 20'000; ++round) {
    auto value = valid;
    for (auto edits = random() % 4 + 1; edits > 0; --edits) {
      value[random() % value.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) value.resize(random() % value.size());
    failure reason;
    if (!from_value("config/service/booking-ledger", value, reason)) {
      expect_false(reason.message.empty());
    }
    stamp_of(value);
  }
}
