#include "store/internal/call_pacing.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::store;
using namespace std::chrono_literals;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {
constexpr time_point start{100s};
}  // namespace

Test(rate_budget, allows_the_burst_at_once_then_the_rate) {
  rate_budget budget(2, 3);
  for (int call = 0; call < 3; ++call) expect_true(budget.reserve(start, start + 9s) == start);
  expect_true(budget.reserve(start, start + 9s) == start + 500ms);
  expect_true(budget.reserve(start, start + 9s) == start + 1s);
}

Test(rate_budget, takes_no_token_for_a_call_that_would_start_too_late) {
  rate_budget budget(1, 1);
  budget.reserve(start, start);
  expect_false(budget.reserve(start, start + 999ms).has_value());
  expect_true(budget.reserve(start, start + 1s) == start + 1s);
}

Test(rate_budget, keeps_the_rate_over_100_seconds) {
  rate_budget budget(5, 20);
  int granted = 0;
  for (auto now = start; now < start + 100s; now += 10ms) {
    if (budget.reserve(now, now)) ++granted;
  }
  expect_true(granted <= 520);
  expect_true(granted >= 519);
}

Test(backoff, grows_to_the_maximum_and_is_reset_by_a_success) {
  backoff retry_backoff(50ms, 2s, 3);
  duration longest{};
  for (int failures = 0; failures < 100; ++failures) {
    retry_backoff.failed(start);
    longest = std::max(longest, retry_backoff.not_before() - start);
  }
  expect_true(longest > 1s);
  expect_true(longest <= 2s);
  retry_backoff.succeeded();
  expect_true(retry_backoff.not_before() < start);
}

Test(backoff, differs_between_seeds) {
  backoff one(1s, 1s, 1);
  backoff other(1s, 1s, 2);
  one.failed(start);
  other.failed(start);
  expect_true(one.not_before() != other.not_before());
}

Test(response_timeout_estimate, grows_with_the_latency) {
  response_timeout_estimate estimate;
  expect_true(estimate.timeout() == 150ms);
  estimate.record_latency(600ms);
  expect_true(estimate.timeout() == 2400ms);
}
