#include "masticshunt/decisions/requests/retry_budget.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const retry_budget_settings bounds{
    .ratio = 0.2, .window = seconds{10}, .slack = 60, .used_share = 1.0};
const time_point start{seconds{100}};

}  // namespace

Test(retry_budget, an_idle_agent_has_its_share_of_the_slack) {
  retry_budget budget(bounds);
  int taken = 0;
  while (budget.take("ledger", 20, start)) ++taken;
  expect_equal(taken, 3);
}

Test(retry_budget, requests_earn_retries_at_the_ratio) {
  retry_budget budget(bounds);
  for (int i = 0; i < 100; ++i) budget.record_request("ledger", start);
  int taken = 0;
  while (budget.take("ledger", 20, start)) ++taken;
  expect_equal(taken, 23);
}

Test(retry_budget, a_changed_bound_counts_at_once_for_the_requests_of_the_window) {
  retry_budget budget(bounds);
  for (int i = 0; i < 100; ++i) budget.record_request("ledger", start);
  budget.set_bound(0.05, 20);
  int taken = 0;
  while (budget.take("ledger", 20, start)) ++taken;
  expect_equal(taken, 6);
}

Test(retry_budget, requests_older_than_the_window_earn_nothing) {
  retry_budget budget(bounds);
  for (int i = 0; i < 100; ++i) budget.record_request("ledger", start);
  expect_true(budget.remaining("ledger", 20, start + seconds{11}) < 3.1);
}

Test(retry_budget, retries_count_until_they_leave_the_window) {
  retry_budget budget(bounds);
  while (budget.take("ledger", 20, start)) {
  }
  expect_false(budget.take("ledger", 20, start + seconds{9}));
  expect_true(budget.take("ledger", 20, start + seconds{11}));
}

Test(retry_budget, services_have_separate_budgets) {
  retry_budget budget(bounds);
  while (budget.take("ledger", 20, start)) {
  }
  expect_true(budget.take("archive", 20, start));
}

Test(retry_budget, requests_of_retried_executions_are_charged) {
  retry_budget budget(bounds);
  const double before = budget.remaining("ledger", 20, start);
  for (int i = 0; i < 4; ++i) budget.charge("ledger", 0.5, start);
  expect_true(budget.remaining("ledger", 20, start) < before - 1.9);
}
