#include "masticshunt/decisions/requests/transfer_queue.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};

/// A link that carries 100 kB/s of large bodies, with at most 10 kB in flight.
transfer_queue make_queue() {
  return transfer_queue({.bytes_per_second = 200'000, .share = 0.5});
}

transfer_request transfer(transfer_id id, std::uint64_t bytes = 8'000,
                          duration time_to_deadline = seconds{4}) {
  return {.id = id, .bytes = bytes, .deadline = start + time_to_deadline};
}

bool starts(const transfer_actions& actions, transfer_id id) {
  return actions.size() == 1 && actions[0].id == id &&
         actions[0].decision == transfer_action::kind::start;
}

}  // namespace

Test(transfer_queue, starts_a_transfer_immediately_on_an_idle_link) {
  auto queue = make_queue();
  transfer_actions out;
  queue.offer(transfer(1), start, out);
  expect_true(starts(out, 1));
}

Test(transfer_queue, starts_a_single_transfer_that_exceeds_the_in_flight_limit) {
  auto queue = make_queue();
  transfer_actions out;
  queue.offer(transfer(1, 5'000'000), start, out);
  expect_true(starts(out, 1));
}

Test(transfer_queue, queues_a_transfer_until_another_has_ended) {
  auto queue = make_queue();
  transfer_actions out;
  queue.offer(transfer(1), start, out);
  out.clear();
  queue.offer(transfer(2), start, out);
  expect_true(out.empty());
  queue.finished(1, out);
  expect_true(starts(out, 2));
}

Test(transfer_queue, starts_transfers_in_order_of_arrival) {
  auto queue = make_queue();
  transfer_actions out;
  queue.offer(transfer(1), start, out);
  queue.offer(transfer(2), start, out);
  queue.offer(transfer(3, 100), start, out);
  out.clear();
  queue.finished(1, out);
  expect_equal(out.size(), 2U);
  expect_equal(out[0].id, 2U);
}

Test(transfer_queue, refuses_a_transfer_that_would_wait_too_long) {
  auto queue = make_queue();
  transfer_actions out;
  for (transfer_id id = 1; id <= 3; ++id) queue.offer(transfer(id), start, out);
  out.clear();
  queue.offer(transfer(4, 8'000, milliseconds{400}), start, out);
  expect_equal(out.size(), 1U);
  expect_true(out[0].decision == transfer_action::kind::refuse);
}

Test(transfer_queue, removes_an_abandoned_transfer) {
  auto queue = make_queue();
  transfer_actions out;
  queue.offer(transfer(1), start, out);
  queue.offer(transfer(2), start, out);
  expect_true(queue.abandoned(2));
  expect_false(queue.abandoned(2));
  out.clear();
  queue.finished(1, out);
  expect_true(out.empty());
}

Test(transfer_queue, an_end_that_is_reported_twice_counts_once) {
  auto queue = make_queue();
  transfer_actions out;
  queue.offer(transfer(1), start, out);
  queue.finished(1, out);
  queue.finished(1, out);
  expect_equal(queue.in_flight(), 0U);
}
