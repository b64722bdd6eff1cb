#include "masticshunt/bench/guarantee_checker.h"

#include "expect.h"

using masticshunt::fence_token;
using masticshunt::time_point;
using masticshunt::bench::attempt_outcome;
using masticshunt::bench::guarantee;
using masticshunt::bench::guarantee_checker;
using masticshunt::bench::request_log;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;
using masticshunt::upstream::run_outcome;
using masticshunt::upstream::run_record;
using std::chrono::milliseconds;

namespace {

run_record run_of(const std::string& request_id, const std::string& identity,
                  const std::string& upstream, milliseconds from, milliseconds until) {
  run_record run;
  run.method = identity.empty() ? "GET" : "POST";
  run.key = "k";
  run.idempotency_key = identity;
  run.request_id = request_id;
  run.upstream = upstream;
  run.started = time_point(from);
  run.ended = time_point(until);
  run.outcome = run_outcome::finished;
  return run;
}

request_log log_of(const std::string& request_id, attempt_outcome outcome) {
  request_log log;
  log.attempts.push_back({request_id, "a", outcome, 200, ""});
  return log;
}

void expect_violation(const guarantee_checker& checker, guarantee kind) {
  const auto violations = checker.check();
  expect_equal(violations.size(), 1u);
  expect_true(violations[0].kind == kind, violations[0].detail);
}

}  // namespace

Test(guarantee_checker, accepts_a_served_request) {
  guarantee_checker checker;
  checker.add_log({log_of("r", attempt_outcome::served)});
  checker.add_records({run_of("r", "", "u", milliseconds(1), milliseconds(2))});
  expect_true(checker.check().empty());
}

Test(guarantee_checker, finds_an_idempotency_key_that_ran_twice) {
  guarantee_checker checker;
  checker.add_records({run_of("r1", "i", "u", milliseconds(1), milliseconds(2)),
                       run_of("r2", "i", "u", milliseconds(3), milliseconds(4))});
  expect_violation(checker, guarantee::at_most_once);
}

Test(guarantee_checker, accepts_an_idempotent_request_that_ran_twice) {
  guarantee_checker checker;
  checker.add_records({run_of("r", "", "u", milliseconds(1), milliseconds(2)),
                       run_of("r", "", "u", milliseconds(3), milliseconds(4))});
  expect_true(checker.check().empty());
}

Test(guarantee_checker, finds_a_false_not_run) {
  guarantee_checker checker;
  checker.add_log({log_of("r", attempt_outcome::not_run)});
  checker.add_records({run_of("r", "i", "u", milliseconds(1), milliseconds(2))});
  expect_violation(checker, guarantee::refusal_truth);
}

Test(guarantee_checker, finds_two_owners_at_the_same_time) {
  guarantee_checker checker;
  checker.add_records({run_of("r1", "", "u", milliseconds(1), milliseconds(5)),
                       run_of("r2", "", "v", milliseconds(4), milliseconds(6))});
  expect_violation(checker, guarantee::one_owner);
}

Test(guarantee_checker, finds_an_overlap_with_a_run_that_began_long_before) {
  guarantee_checker checker;
  checker.add_records({run_of("r1", "", "u", milliseconds(1), milliseconds(9)),
                       run_of("r2", "", "u", milliseconds(2), milliseconds(3)),
                       run_of("r3", "", "v", milliseconds(5), milliseconds(6))});
  expect_violation(checker, guarantee::one_owner);
}

Test(guarantee_checker, ignores_runs_that_were_out_of_reach) {
  guarantee_checker checker;
  auto frozen = run_of("r1", "", "u", milliseconds(1), milliseconds(5));
  frozen.out_of_reach = true;
  checker.add_records({frozen, run_of("r2", "", "v", milliseconds(4), milliseconds(6))});
  expect_true(checker.check().empty());
}

Test(guarantee_checker, finds_a_run_under_an_older_fence) {
  guarantee_checker checker;
  auto newer = run_of("r1", "", "u", milliseconds(1), milliseconds(2));
  newer.fence = fence_token{2, 0};
  auto older = run_of("r2", "", "v", milliseconds(3), milliseconds(4));
  older.fence = fence_token{1, 0};
  checker.add_records({newer, older});
  expect_violation(checker, guarantee::fence_order);
}

Test(guarantee_checker, finds_an_answer_for_another_request) {
  guarantee_checker checker;
  checker.add_log({log_of("r", attempt_outcome::invalid_answer)});
  expect_violation(checker, guarantee::whole_answers);
}

Test(guarantee_checker, finds_an_acknowledged_request_that_no_upstream_finished) {
  guarantee_checker checker;
  checker.add_log({log_of("r", attempt_outcome::served)});
  expect_violation(checker, guarantee::nothing_lost);
}

Test(guarantee_checker, finds_an_upload_that_arrived_with_another_body) {
  guarantee_checker checker;
  auto request = log_of("r", attempt_outcome::served);
  request.body_hash = 7;
  auto run = run_of("r", "", "u", milliseconds(1), milliseconds(2));
  run.body_hash = 8;
  checker.add_log({request});
  checker.add_records({run});
  expect_violation(checker, guarantee::nothing_lost);
}
