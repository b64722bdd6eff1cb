#include "masticshunt/decisions/requests/types.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt::requests;
using namespace masticshunt::testing;

Test(outcome, has_the_names_of_the_interface) {
  expect_equal(to_string(outcome::served), "served");
  expect_equal(to_string(outcome::not_run), "not-run");
  expect_equal(to_string(outcome::may_have_run), "may-have-run");
  expect_equal(to_string(outcome::failed), "failed");
}

Test(refusal_reason, has_the_names_of_the_interface) {
  expect_equal(to_string(refusal_reason::none), "none");
  expect_equal(to_string(refusal_reason::not_owner), "not_owner");
  expect_equal(to_string(refusal_reason::upstream_shed), "upstream_shed");
  expect_equal(to_string(refusal_reason::schema_unsupported), "schema_unsupported");
}

Test(refusal_outcome, is_not_run_for_a_declared_first_attempt) {
  request_descriptor request = booking(1, "b-1");
  request.declared_attempt = 1;
  expect_equal(refusal_outcome(request), outcome::not_run);
}

Test(refusal_outcome, is_may_have_run_for_a_possible_duplicate) {
  request_descriptor request = booking(1, "b-1");
  expect_equal(refusal_outcome(request), outcome::may_have_run);
  request.declared_attempt = 2;
  expect_equal(refusal_outcome(request), outcome::may_have_run);
}
