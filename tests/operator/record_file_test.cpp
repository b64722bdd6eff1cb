#include "operator/internal/record_file.h"

#include <filesystem>
#include <random>

#include "expect.h"
#include "masticshunt/decisions/configuration/registry.h"
#include "masticshunt/support/ini.h"

using namespace masticshunt;
using namespace masticshunt::operators;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {

const std::string every_kind =
    "[service viewer]\nschema = 2\ndefault_rank = normal\nregions = Alpen, De Cymru\n"
    "repeat_window = 2m\nisolation = move\n"
    "[rank viewer.normal]\nschema = 1\nversion = 12\nfloor = 25%\ntarget = 250ms\n"
    "[key-range viewer.gotthard]\nschema = 1\nregion = Alpen\nisolated = true\n"
    "range = 0x0000000000000000-0x00000000ffffffff\n"
    "[drain bern]\nschema = 1\nfailure_domain = Bern\n";

failure refusal(const std::string& text) {
  failure reason;
  expect_false(parse_records("f", text, reason).has_value(), text);
  expect_false(reason.remedy.empty());
  return reason;
}

}  // namespace

Test(record_file, parses_records_of_every_kind) {
  failure reason;
  const auto records = parse_records("f", every_kind, reason);
  expect_true(records.has_value(), reason.describe());
  expect_equal(records->size(), 4U);
  const auto& service = std::get<configuration::service_record>(records->front().content.body);
  expect_equal(service.regions.back(), "De Cymru");
  expect_true(service.repeat_window == std::chrono::minutes{2});
  expect_equal(*records->at(1).expected_version, 12U);
}

Test(record_file, to_ini_output_parses_to_the_same_record) {
  failure reason;
  const auto records = parse_records("f", every_kind, reason);
  for (const auto& record : *records) {
    const auto again = parse_records("g", to_ini(record.content, 9), reason);
    expect_true(again.has_value(), reason.describe());
    expect_true(again->front().content == record.content);
    expect_equal(*again->front().expected_version, 9U);
  }
}

Test(record_file, sample_is_valid_and_consistent) {
  failure reason;
  const auto path =
      std::filesystem::path(__FILE__).parent_path() / "../../docs/samples/records.ini";
  const auto text = support::read_file(path.string(), reason);
  expect_true(text.has_value(), path.string());
  const auto records = parse_records("records.ini", *text, reason);
  expect_true(records.has_value());
  std::vector<configuration::planned_change> changes;
  for (const auto& record : *records) {
    changes.push_back({object_name(record.content), to_value(record.content)});
  }
  expect_false(configuration::check_changes({}, changes).has_value());
}

Test(record_file, reports_the_line_of_the_invalid_key) {
  expect_true(refusal("[rank a.b]\nschema = 1\nfloor = 2\n").message.starts_with("f:3: "));
  expect_true(refusal("[rank a.b]\nschema = 1\ntarget = 5\n").message.starts_with("f:3: "));
  expect_true(refusal("[rank a.b]\nschema = 9\n").message.starts_with("f:2: "));
  expect_true(refusal("[service a]\nschema = 1\n").message.starts_with("f:1: "));
  expect_true(refusal("[rank a]\nschema = 1\n").message.starts_with("f:1: "));
  expect_true(refusal("[ranke a.b]\nschema = 1\n").message.starts_with("f:1: "));
  refusal("[rank a.b]\nfloor = 1\n");
  refusal("");
}

Test(record_file, suggests_the_nearest_key) {
  expect_equal(refusal("[rank a.b]\nschema = 1\nflor = 1\n").remedy, "write floor");
}

Test(record_file, refuses_a_field_of_schema_2_in_schema_1) {
  const auto reason = refusal("[service a]\nschema = 1\ndefault_rank = b\nregions = Alpen\n");
  expect_true(reason.message.starts_with("f:4: "));
}

Test(record_file, parsing_survives_corrupted_input) {
  std::mt19937_64 random{3};
  for (int round = 0; round < 5'000; ++round) {
    auto text = every_kind;
    for (auto edits = random() % 5 + 1; edits > 0; --edits) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    failure reason;
    if (!parse_records("fuzz", text, reason)) expect_false(reason.message.empty());
  }
}
