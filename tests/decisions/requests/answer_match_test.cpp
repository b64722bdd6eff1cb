#include "masticshunt/decisions/requests/answer_match.h"

#include "expect.h"

using namespace masticshunt::requests;
using namespace masticshunt::testing;

Test(answer_match, delivers_the_first_answer) {
  answer_match match;
  match.sent(7, 1);
  expect_equal(match.arrived(7, 1), answer_verdict::deliver);
}

Test(answer_match, drops_a_second_answer_to_the_same_request) {
  answer_match match;
  match.sent(7, 1);
  match.sent(7, 2);
  expect_equal(match.arrived(7, 2), answer_verdict::deliver);
  expect_equal(match.arrived(7, 1), answer_verdict::duplicate);
  expect_equal(match.arrived(7, 2), answer_verdict::duplicate);
}

Test(answer_match, drops_an_answer_that_arrives_after_the_request_ended) {
  answer_match match;
  match.sent(7, 1);
  match.ended(7);
  expect_equal(match.arrived(7, 1), answer_verdict::late);
}

Test(answer_match, drops_answers_to_attempts_that_were_never_sent) {
  answer_match match;
  match.sent(7, 1);
  expect_equal(match.arrived(8, 1), answer_verdict::unexpected);
  expect_equal(match.arrived(7, 2), answer_verdict::unexpected);
}

Test(answer_match, matches_answers_in_any_order) {
  answer_match match;
  for (request_number request = 1; request <= 3; ++request) match.sent(request, 1);
  for (request_number request = 3; request >= 1; --request)
    expect_equal(match.arrived(request, 1), answer_verdict::deliver);
}

Test(answer_match, keeps_a_bounded_number_of_ended_requests) {
  answer_match match{4};
  for (request_number request = 1; request <= 100; ++request) {
    match.sent(request, 1);
    match.arrived(request, 1);
  }
  expect_equal(match.size(), 4U);
  expect_equal(match.arrived(1, 1), answer_verdict::unexpected);
}
