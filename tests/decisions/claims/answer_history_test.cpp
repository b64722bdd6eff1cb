#include "masticshunt/decisions/claims/answer_history.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds{100}};
constexpr duration limit = milliseconds{1'200};

}  // namespace

Test(answer_history, a_heartbeat_shows_that_the_earlier_answer_over_its_connection_was_read) {
  answer_history history(limit, start);
  const auto first = history.sent(1, start);
  expect_equal(history.heartbeat_received(1, start + limit), first);
  expect_true(history.settled(first));
}

Test(answer_history, a_heartbeat_over_another_connection_shows_nothing) {
  answer_history history(limit, start);
  const auto first = history.sent(1, start);
  expect_equal(history.heartbeat_received(2, start + milliseconds{500}), 0U);
  expect_false(history.settled(first));
}

Test(answer_history, an_answer_can_no_longer_be_read_after_the_limit) {
  answer_history history(limit, start);
  const auto first = history.sent(1, start);
  history.heartbeat_received(2, start + limit);
  expect_true(history.settled(first));
}

Test(answer_history, an_answer_of_an_earlier_process_may_be_read_until_the_limit) {
  answer_history history(limit, start);
  history.heartbeat_received(1, start + milliseconds{500});
  expect_false(history.settled(0));
  history.heartbeat_received(1, start + limit);
  expect_true(history.settled(0));
}

Test(answer_history, later_answers_do_not_matter_for_earlier_ones) {
  answer_history history(limit, start);
  const auto first = history.sent(1, start);
  history.heartbeat_received(1, start + limit);
  const auto second = history.sent(1, start + limit);
  expect_true(history.settled(first));
  expect_false(history.settled(second));
}
