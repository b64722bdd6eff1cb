#include "masticshunt/decisions/requests/shutdown_plan.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point began{seconds{100}};
const shutdown_plan plan(
    {.grace = seconds{6}, .margin = milliseconds{400}, .answer_slack = milliseconds{100}}, began);

}  // namespace

Test(shutdown_plan, takes_late_only_what_must_end_before_the_agent) {
  const auto late = began + seconds{4};
  expect_true(plan.takes_request(late, began + milliseconds{5'500}));
  expect_false(plan.takes_request(late, began + milliseconds{5'501}));
}

Test(shutdown_plan, serves_callers_as_usual_until_they_have_had_time_to_leave) {
  expect_true(plan.takes_request(began + milliseconds{2'599}, began + seconds{30}));
  expect_true(plan.accepts_connections(began + milliseconds{2'599}));
  expect_false(plan.accepts_connections(began + milliseconds{2'600}));
}

Test(shutdown_plan, closes_the_gate_before_callers_have_left) {
  expect_true(plan.gate_is_open(began + seconds{2}));
  expect_false(plan.gate_is_open(began + milliseconds{2'450}));
}

Test(shutdown_plan, ends_when_idle_or_when_the_grace_is_over) {
  expect_false(plan.ends(began + seconds{2}, true));
  expect_true(plan.ends(began + seconds{3}, true));
  expect_false(plan.ends(began + seconds{3}, false));
  expect_true(plan.ends(began + milliseconds{5'600}, false));
}
