#include "platform/headers.h"

#include "expect.h"
#include "platform/calls.h"

using namespace masticshunt;
using namespace masticshunt::platform;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(request_stamp, is_read_whole) {
  fields from;
  from.set("X-Request-Id", "9c41");
  from.set("X-Request-Deadline-Ms", "1200");
  from.set("X-Shard-Key", "65535");
  const auto stamp = read_stamp(from);
  expect_equal(stamp.id, "9c41");
  expect_true(stamp.patience == milliseconds{1'200});
  expect_true(stamp.key == claims::shard_key{65'535});
}

Test(request_stamp, leaves_out_what_is_absent_or_invalid) {
  fields from;
  from.set("X-Request-Deadline-Ms", "-3");
  from.set("X-Shard-Key", "65536");
  const auto stamp = read_stamp(from);
  expect_equal(stamp.id, "");
  expect_false(stamp.patience.has_value());
  expect_false(stamp.key.has_value());
}

Test(answer_stamp, tells_what_was_not_run) {
  fields shed;
  shed.set("X-Not-Executed", "1");
  expect_true(read_answer(503, shed).not_run);
  expect_false(read_answer(503, fields{}).not_run);
  expect_true(read_answer(421, fields{}).not_run);
  expect_true(read_answer(421, fields{}).wrong_life);
  expect_false(read_answer(421, shed).wrong_life);
}

Test(answer_stamp, reads_load_and_connection) {
  fields from;
  from.set("X-Server-Load", "3,1,8");
  from.set("Keep-Alive", "timeout=7, max=9");
  from.set("Connection", "close");
  const auto stamp = read_answer(200, from);
  expect_equal(stamp.load->waiting, 1U);
  expect_true(stamp.idle_limit == seconds{7});
  expect_true(stamp.closing);
}

Test(answer_stamp, an_unreadable_load_is_none) {
  fields from;
  from.set("X-Server-Load", "3,1");
  expect_false(read_answer(200, from).load.has_value());
}

Test(headers, those_set_here_are_replaced) {
  expect_true(replaced_towards_upstream("x-caller-service"));
  expect_true(replaced_towards_upstream("X-Expected-Instance"));
  expect_false(replaced_towards_upstream("X-Request-Id"));
}

Test(headers, a_time_to_come_back_may_be_a_fraction) {
  expect_equal(come_back_line(milliseconds{250}), "Retry-After: 0.250\r\n");
}

Test(calls, are_spelled_as_the_store_reads_them) {
  expect_equal(list_objects("servers", "i-1").target, "/-/objects/servers?after=i-1");
  expect_equal(watch_objects("servers", 530, milliseconds{20'000}).target,
               "/-/objects/servers?watch=530&waitMs=20000");
  expect_equal(delete_object("leases", "vm-1", 7).target, "/-/objects/leases/vm-1?revision=7");
}

Test(calls, answers_of_the_store_are_told_apart) {
  expect_true(store_verdict_of(200) == store_verdict::done);
  expect_true(store_verdict_of(404) == store_verdict::missing);
  expect_true(store_verdict_of(409) == store_verdict::conflict);
  expect_true(store_verdict_of(410) == store_verdict::history_gone);
  expect_true(store_verdict_of(429) == store_verdict::refused);
  expect_true(store_verdict_of(503) == store_verdict::refused);
  expect_true(store_verdict_of(500) == store_verdict::unreadable);
}

Test(calls, to_the_agent_are_told_apart) {
  expect_true(read_own_call("GET", "/-/readyz").what == own_request::readiness);
  expect_true(read_own_call("PUT", "/-/instances/i-1").what == own_request::heartbeat);
  expect_equal(read_own_call("DELETE", "/-/instances/i-1").upstream_id, "i-1");
  expect_true(read_own_call("POST", "/-/instances/i-1").what == own_request::other);
}
