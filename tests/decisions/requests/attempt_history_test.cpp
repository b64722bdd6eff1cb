#include "masticshunt/decisions/requests/attempt_history.h"

#include "expect.h"

using masticshunt::requests::attempt_history;
using masticshunt::requests::outcome;
using masticshunt::testing::expect_equal;

Test(attempt_history, reports_not_run_if_no_attempt_ran) {
  attempt_history history;
  history.add(outcome::not_run);
  history.add(outcome::not_run);
  expect_equal(history.reported_outcome(outcome::not_run), outcome::not_run);
}

Test(attempt_history, never_reports_not_run_after_a_broken_attempt) {
  attempt_history history;
  history.add(outcome::may_have_run);
  history.add(outcome::not_run);
  expect_equal(history.reported_outcome(outcome::not_run), outcome::may_have_run);
}

Test(attempt_history, reports_a_failure_of_the_last_attempt) {
  attempt_history history;
  history.add(outcome::not_run);
  expect_equal(history.reported_outcome(outcome::failed), outcome::failed);
}
