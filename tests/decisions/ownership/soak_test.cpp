#include "expect.h"
#include "soak/fault_injector.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::testing;
using ownership::fault_injection;

constexpr std::uint64_t steps_per_seed = 100'000;

void expect_no_violation(std::uint64_t seed) {
  const auto result = soak(settings_of_seed(seed), steps_per_seed);
  expect_true(result.tickets > 0, "requests were admitted");
  expect_false(result.violation.has_value(), "make soak SEED=" + std::to_string(seed) +
                                                 " STEPS=" + std::to_string(steps_per_seed) + ": " +
                                                 result.violation.value_or("") + "\n" +
                                                 result.trace);
}

/// Expects that at least one of 16 seeds from `first_seed` on detects the disabled rule.
void expect_detected(bool fault_injection::*broken, fleet_settings (*settings_of)(std::uint64_t),
                     std::uint64_t first_seed = 1) {
  constexpr std::uint64_t seeds_max = 16;
  for (std::uint64_t seed = first_seed; seed < first_seed + seeds_max; ++seed) {
    auto settings = settings_of(seed);
    settings.faults.*broken = true;
    if (soak(settings, steps_per_seed).violation) return;
  }
  expect_true(false, "no seed detected the disabled rule");
}

/// Settings with so much clock drift that it is significant beside the margin.
fleet_settings drifting_settings(std::uint64_t seed) {
  auto settings = settings_of_seed(seed);
  settings.drift_ppm = 20'000;
  settings.timing.clock_drift_ppm = 20'000;
  settings.timing.margin = milliseconds{45};
  return settings;
}

}  // namespace

Test(soak, of_seed_1_finds_no_violation) {
  expect_no_violation(1);
}
Test(soak, of_seed_2_finds_no_violation) {
  expect_no_violation(2);
}
Test(soak, of_seed_3_finds_no_violation) {
  expect_no_violation(3);
}
Test(soak, of_seed_15_finds_no_violation) {
  expect_no_violation(15);
}
Test(soak, of_seed_36_finds_no_violation) {
  expect_no_violation(36);
}

Test(soak, finds_no_violation_with_fast_and_slow_clocks) {
  const auto result = soak(drifting_settings(2), steps_per_seed);
  expect_false(result.violation.has_value(), result.violation.value_or(""));
}

Test(broken, margin_is_caught) {
  expect_detected(&fault_injection::margin_removed, settings_of_seed);
}
Test(broken, drift_correction_is_caught) {
  expect_detected(&fault_injection::drift_ignored, drifting_settings);
}
Test(broken, start_of_a_lease_is_caught) {
  expect_detected(&fault_injection::lease_from_reply, settings_of_seed, 27);
}
Test(broken, commitment_to_stop_is_caught) {
  expect_detected(&fault_injection::stop_commitment_ignored, settings_of_seed);
}
Test(broken, wait_for_stop_replies_is_caught) {
  expect_detected(&fault_injection::stop_replies_not_awaited, settings_of_seed);
}
Test(broken, wait_for_grants_to_end_is_caught) {
  expect_detected(&fault_injection::grant_end_not_awaited, settings_of_seed);
}
Test(broken, check_of_the_grantor_lease_is_caught) {
  expect_detected(&fault_injection::grantor_lease_unchecked, settings_of_seed);
}
Test(broken, check_of_incarnations_is_caught) {
  expect_detected(&fault_injection::incarnation_ignored, settings_of_seed);
}
Test(broken, check_of_epochs_is_caught) {
  expect_detected(&fault_injection::epoch_unchecked, settings_of_seed);
}
Test(broken, conditional_update_is_caught) {
  expect_detected(&fault_injection::conflict_overwritten, settings_of_seed);
}
Test(broken, check_of_the_lease_end_is_caught) {
  expect_detected(&fault_injection::lease_end_unchecked, settings_of_seed);
}
Test(broken, order_of_records_is_caught) {
  expect_detected(&fault_injection::records_revert, settings_of_seed);
}
Test(broken, drain_is_caught) {
  expect_detected(&fault_injection::drain_ignored, settings_of_seed);
}
