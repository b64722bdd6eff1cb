#include "platform/headers.h"

#include "expect.h"
#include "platform/calls.h"

using namespace masticshunt;
using namespace masticshunt::platform;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(request_metadata, is_read_whole) {
  fields from;
  from.set("X-Request-Id", "9c41");
  from.set("X-Request-Deadline-Ms", "1200");
  from.set("X-Shard-Key", "65535");
  const auto stamp = read_request_metadata(from);
  expect_equal(stamp.id, "9c41");
  expect_true(stamp.caller_timeout == milliseconds{1'200});
  expect_true(stamp.key == claims::shard_key{65'535});
}

Test(request_metadata, leaves_out_what_is_absent_or_invalid) {
  fields from;
  from.set("X-Request-Deadline-Ms", "-3");
  from.set("X-Shard-Key", "65536");
  const auto stamp = read_request_metadata(from);
  expect_equal(stamp.id, "");
  expect_false(stamp.caller_timeout.has_value());
  expect_false(stamp.key.has_value());
}

Test(answer_metadata, tells_what_was_not_run) {
  fields shed;
  shed.set("X-Not-Executed", "1");
  expect_true(read_answer_metadata(503, shed).not_run);
  expect_false(read_answer_metadata(503, fields{}).not_run);
  expect_true(read_answer_metadata(421, fields{}).not_run);
  expect_true(read_answer_metadata(421, fields{}).wrong_incarnation);
  expect_false(read_answer_metadata(421, shed).wrong_incarnation);
}

Test(answer_metadata, reads_load_and_connection) {
  fields from;
  from.set("X-Server-Load", "3,1,8");
  from.set("Keep-Alive", "timeout=7, max=9");
  from.set("Connection", "close");
  const auto stamp = read_answer_metadata(200, from);
  expect_equal(stamp.load->waiting, 1U);
  expect_true(stamp.idle_limit == seconds{7});
  expect_true(stamp.closing);
}

Test(answer_metadata, an_unreadable_load_is_none) {
  fields from;
  from.set("X-Server-Load", "3,1");
  expect_false(read_answer_metadata(200, from).load.has_value());
}

Test(headers, those_set_here_are_replaced) {
  expect_true(is_set_by_agent("x-caller-service"));
  expect_true(is_set_by_agent("X-Expected-Instance"));
  expect_false(is_set_by_agent("X-Request-Id"));
}

Test(headers, a_time_to_come_back_may_be_a_fraction) {
  expect_equal(retry_after_header(milliseconds{250}), "Retry-After: 0.250\r\n");
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
  expect_true(read_agent_request("GET", "/-/readyz").what == agent_request_kind::readiness);
  expect_true(read_agent_request("PUT", "/-/instances/i-1").what == agent_request_kind::heartbeat);
  expect_equal(read_agent_request("DELETE", "/-/instances/i-1").upstream_id, "i-1");
  expect_true(read_agent_request("POST", "/-/instances/i-1").what == agent_request_kind::other);
}
