// Guards against differences between the inputs of docs/CAPACITY.md and the program's constants.
#include "../../../tools/internal/capacity_inputs.h"

#include <filesystem>

#include "expect.h"
#include "masticshunt/decisions/configuration/records.h"
#include "masticshunt/decisions/ownership/hot_keys.h"
#include "masticshunt/decisions/ownership/placement.h"
#include "masticshunt/decisions/ownership/spread.h"
#include "masticshunt/decisions/ownership/types.h"

using namespace masticshunt;
using namespace masticshunt::ownership;
using masticshunt::testing::expect_equal;

namespace {

/// Returns the inputs of the enclosing checkout; the test runs at its root or in a build directory.
capacity::capacity_inputs page_inputs() {
  const std::filesystem::path inputs = "docs/capacity/inputs.ini";
  auto root = std::filesystem::current_path();
  while (!std::filesystem::exists(root / inputs) && root.has_relative_path()) {
    root = root.parent_path();
  }
  return capacity::read_inputs((root / inputs).string());
}

double milliseconds(duration length) {
  return std::chrono::duration<double, std::milli>(length).count();
}

}  // namespace

Test(capacity_inputs, match_the_timing_of_leases) {
  const lease_timing timing;
  expect_equal(page_inputs().lease_ms, milliseconds(timing.lease));
  expect_equal(page_inputs().renewal_interval_ms, milliseconds(timing.renewal_interval));
  expect_equal(page_inputs().support_interval_ms, milliseconds(timing.support_interval));
}

Test(capacity_inputs, match_the_budget_of_dissemination) {
  const spread_settings settings;
  expect_equal(page_inputs().spread_bytes_per_second, settings.bytes_per_second);
  expect_equal(page_inputs().spread_burst_bytes, settings.burst_bytes);
  expect_equal(page_inputs().spread_digest_interval_ms, milliseconds(settings.digest_interval));
}

Test(capacity_inputs, match_the_ranges_per_member) {
  expect_equal(page_inputs().ranges_per_member, configuration::service_record{}.ranges_per_member);
  expect_equal(page_inputs().ranges_per_member, placement_settings{}.ranges_per_member);
}

Test(capacity_inputs, match_the_capacity_of_hot_key_detection) {
  expect_equal(page_inputs().hot_keys_capacity, static_cast<double>(hot_keys_settings{}.capacity));
}
