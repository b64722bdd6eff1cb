#include "masticshunt/decisions/requests/transfer_queue.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};

/// A link that carries 100 kB a second for large bodies, 10 kB of them ahead.
transfer_queue queue() {
  return transfer_queue({.bytes_per_second = 200'000, .share = 0.5});
}

transfer_request transfer(transfer_id id, std::uint64_t bytes = 8'000,
                          duration patience = seconds{4}) {
  return {.id = id, .bytes = bytes, .deadline = start + patience};
}

bool starts(const transfer_actions& actions, transfer_id id) {
  return actions.size() == 1 && actions[0].id == id &&
         actions[0].what == transfer_action::kind::start;
}

}  // namespace

Test(transfer_queue, starts_what_the_link_takes_at_once) {
  auto it = queue();
  transfer_actions out;
  it.offer(transfer(1), start, out);
  expect_true(starts(out, 1));
}

Test(transfer_queue, starts_a_transfer_that_alone_is_more_than_may_be_ahead) {
  auto it = queue();
  transfer_actions out;
  it.offer(transfer(1, 5'000'000), start, out);
  expect_true(starts(out, 1));
}

Test(transfer_queue, keeps_the_next_until_one_has_ended) {
  auto it = queue();
  transfer_actions out;
  it.offer(transfer(1), start, out);
  out.clear();
  it.offer(transfer(2), start, out);
  expect_true(out.empty());
  it.finished(1, out);
  expect_true(starts(out, 2));
}

Test(transfer_queue, starts_in_the_order_of_arrival) {
  auto it = queue();
  transfer_actions out;
  it.offer(transfer(1), start, out);
  it.offer(transfer(2), start, out);
  it.offer(transfer(3, 100), start, out);
  out.clear();
  it.finished(1, out);
  expect_equal(out.size(), 2U);
  expect_equal(out[0].id, 2U);
}

Test(transfer_queue, refuses_what_would_wait_too_long) {
  auto it = queue();
  transfer_actions out;
  for (transfer_id id = 1; id <= 3; ++id) it.offer(transfer(id), start, out);
  out.clear();
  it.offer(transfer(4, 8'000, milliseconds{400}), start, out);
  expect_equal(out.size(), 1U);
  expect_true(out[0].what == transfer_action::kind::refuse);
}

Test(transfer_queue, forgets_a_transfer_that_nobody_waits_for) {
  auto it = queue();
  transfer_actions out;
  it.offer(transfer(1), start, out);
  it.offer(transfer(2), start, out);
  expect_true(it.abandoned(2));
  expect_false(it.abandoned(2));
  out.clear();
  it.finished(1, out);
  expect_true(out.empty());
}

Test(transfer_queue, an_end_that_is_told_twice_counts_once) {
  auto it = queue();
  transfer_actions out;
  it.offer(transfer(1), start, out);
  it.finished(1, out);
  it.finished(1, out);
  expect_equal(it.under_way(), 0U);
}
