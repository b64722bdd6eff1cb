#include "masticshunt/decisions/requests/retry.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

constexpr double no_jitter = 0;

failed_attempt refused(refusal_reason reason, std::uint32_t attempts_made = 1) {
  return {attempts_made, outcome::not_run, reason, {}};
}

}  // namespace

Test(retry_policy, grants_a_retry_of_a_non_idempotent_request_that_did_not_run) {
  retry_policy policy{{}};
  expect_true(
      policy.next_delay(booking(1, "b"), refused(refusal_reason::not_owner), no_jitter, at({}))
          .has_value());
}

Test(retry_policy, never_retries_a_non_idempotent_request_that_may_have_run) {
  retry_policy policy{{}};
  const failed_attempt last{1, outcome::may_have_run, refusal_reason::none, {}};
  expect_false(policy.next_delay(booking(1, "b"), last, no_jitter, at({})).has_value());
}

Test(retry_policy, retries_an_idempotent_request_that_may_have_run) {
  retry_policy policy{{}};
  const failed_attempt last{1, outcome::may_have_run, refusal_reason::none, {}};
  expect_true(policy.next_delay(lookup(1), last, no_jitter, at({})).has_value());
}

Test(retry_policy, never_retries_a_served_request) {
  retry_policy policy{{}};
  const failed_attempt last{1, outcome::served, refusal_reason::none, {}};
  expect_false(policy.next_delay(lookup(1), last, no_jitter, at({})).has_value());
}

Test(retry_policy, does_not_retry_when_another_attempt_would_end_the_same) {
  retry_policy policy{{}};
  const auto delay =
      policy.next_delay(lookup(1), refused(refusal_reason::bad_request), no_jitter, at({}));
  expect_false(delay.has_value());
}

Test(retry_policy, stops_at_the_attempt_limit) {
  retry_policy policy{{.attempts_max = 2}};
  const auto delay =
      policy.next_delay(lookup(1), refused(refusal_reason::not_owner, 2), no_jitter, at({}));
  expect_false(delay.has_value());
}

Test(retry_policy, does_not_retry_past_the_deadline) {
  retry_policy policy{{}};
  const auto delay = policy.next_delay(lookup(1), refused(refusal_reason::not_owner), no_jitter,
                                       at(milliseconds{9'995}));
  expect_false(delay.has_value());
}

Test(retry_policy, waits_at_least_for_the_retry_after_of_the_refusal) {
  retry_policy policy{{}};
  failed_attempt last = refused(refusal_reason::upstream_shed);
  last.retry_after = milliseconds{300};
  expect_true(*policy.next_delay(lookup(1), last, no_jitter, at({})) >= milliseconds{300});
}

Test(retry_policy, does_not_retry_at_an_overloaded_owner) {
  retry_policy policy{{}};
  const auto delay =
      policy.next_delay(lookup(1), refused(refusal_reason::overloaded), no_jitter, at({}));
  expect_false(delay.has_value());
}

Test(retry_policy, doubles_the_delay_up_to_its_bound) {
  retry_policy policy{
      {.attempts_max = 20, .backoff_first = milliseconds{20}, .backoff_max = milliseconds{100}}};
  const auto delay_after = [&](std::uint32_t attempts) {
    return *policy.next_delay(lookup(1), refused(refusal_reason::not_owner, attempts), 0.999999,
                              at({}));
  };
  expect_true(delay_after(2) > milliseconds{39});
  expect_true(delay_after(10) <= milliseconds{100});
}

Test(retry_policy, keeps_retries_within_the_budget) {
  expect_property([](const std::vector<bool>& failures) {
    retry_policy policy{{.budget_share = 0.1, .budget_burst = 5}};
    for (const bool failed : failures) {
      policy.first_attempt();
      if (failed) policy.next_delay(lookup(1), refused(refusal_reason::not_owner), 0.5, at({}));
    }
    RC_ASSERT(static_cast<double>(policy.granted()) <=
              5 + 0.1 * static_cast<double>(policy.first_attempts()));
  });
}
