#include "masticshunt/decisions/requests/hedging.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

hedge_policy policy_with_samples(hedge_settings settings = {}) {
  hedge_policy policy{settings};
  for (int i = 0; i < 200; ++i) policy.answered(milliseconds{10});
  return policy;
}

}  // namespace

Test(hedge_policy, waits_for_a_multiple_of_the_usual_latency) {
  const auto delay = policy_with_samples().delay(lookup(1), at({}));
  expect_true(delay && *delay > milliseconds{15} && *delay < milliseconds{25});
}

Test(hedge_policy, never_hedges_a_non_idempotent_request) {
  expect_false(policy_with_samples().delay(booking(1, "b"), at({})).has_value());
}

Test(hedge_policy, never_hedges_a_large_body) {
  request_descriptor upload = lookup(1);
  upload.body_bytes = 1'000'000;
  expect_false(policy_with_samples().delay(upload, at({})).has_value());
}

Test(hedge_policy, never_hedges_past_the_deadline) {
  expect_false(policy_with_samples().delay(lookup(1), at(milliseconds{9'990})).has_value());
}

Test(hedge_policy, hedges_nothing_before_enough_latency_samples) {
  expect_false(hedge_policy{{}}.delay(lookup(1), at({})).has_value());
}

Test(hedge_policy, stays_within_its_budget) {
  hedge_policy policy = policy_with_samples({.budget_share = 0.05, .budget_burst = 2});
  for (int i = 0; i < 1'000; ++i) {
    policy.first_attempt();
    policy.take();
  }
  expect_true(policy.taken() <= 52);
}
