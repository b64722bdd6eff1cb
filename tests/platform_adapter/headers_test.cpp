#include "platform/headers.h"

#include <string>
#include <vector>

#include "expect.h"
#include "platform/calls.h"

using namespace masticshunt;
using namespace masticshunt::platform;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(request_metadata, is_read_completely) {
  fields from;
  from.set("X-Request-Id", "9c41");
  from.set("X-Request-Deadline-Ms", "1200");
  from.set("X-Shard-Key", "65535");
  const auto metadata = read_request_metadata(from);
  expect_equal(metadata.id, "9c41");
  expect_true(metadata.caller_timeout == milliseconds{1'200});
  expect_true(metadata.key == claims::shard_key{65'535});
}

Test(request_metadata, omits_absent_and_invalid_fields) {
  fields from;
  from.set("X-Request-Deadline-Ms", "-3");
  from.set("X-Shard-Key", "65536");
  const auto metadata = read_request_metadata(from);
  expect_equal(metadata.id, "");
  expect_false(metadata.caller_timeout.has_value());
  expect_false(metadata.key.has_value());
}

Test(answer_metadata, detects_requests_that_did_not_run) {
  fields shed;
  shed.set("X-Not-Executed", "1");
  expect_true(read_answer_metadata(503, shed).not_run);
  expect_false(read_answer_metadata(503, fields{}).not_run);
  expect_true(read_answer_metadata(421, fields{}).not_run);
  expect_true(read_answer_metadata(421, fields{}).wrong_incarnation);
  expect_false(read_answer_metadata(421, shed).wrong_incarnation);
}

namespace {

answer_metadata answer_with_limits(const std::vector<std::string>& texts) {
  fields from;
  for (const auto& each : texts) from.insert("Server-Limit", each);
  return read_answer_metadata(200, from);
}

std::optional<double> limit_of(const std::string& text) {
  return answer_with_limits({text}).request_limit;
}

}  // namespace

Test(answer_metadata, reads_the_request_limit_as_a_decimal_number) {
  expect_true(limit_of("33.5") == 33.5);
  expect_true(limit_of("7") == 7.0);
  expect_true(limit_of("0") == 0.0);
  expect_true(limit_of("0.001") == 0.001);
  expect_false(answer_with_limits({}).request_limit.has_value());
  expect_false(answer_with_limits({}).request_limit_unreadable);
}

Test(answer_metadata, reads_no_request_limit_from_what_is_no_decimal_number) {
  for (const auto* text :
       {"", "-3", "+3", "many", "nan", "inf", "1e3", "0x10", "3,5", "3 5", ".5"}) {
    expect_false(limit_of(text).has_value(), text);
    expect_true(answer_with_limits({text}).request_limit_unreadable, text);
  }
}

Test(answer_metadata, reads_a_request_limit_of_thousands_of_digits) {
  const std::string zeros(5'000, '0');
  expect_true(limit_of("33." + zeros) == 33.0);
  expect_true(limit_of("0." + zeros + "1") == 0.0);
  expect_true(limit_of("1" + zeros).value_or(0) > 1e6);
}

Test(answer_metadata, takes_the_lowest_of_several_request_limits) {
  const auto metadata = answer_with_limits({"40", "many", "12.5", "33"});
  expect_true(metadata.request_limit == 12.5);
}

Test(answer_metadata, reads_that_the_upstream_leaves) {
  fields from;
  expect_false(read_answer_metadata(200, from).leaving);
  from.set("Server-Leaving", "1");
  expect_true(read_answer_metadata(503, from).leaving);
  from.set("Server-Leaving", "0");
  expect_false(read_answer_metadata(200, from).leaving);
}

Test(answer_metadata, reads_load_and_connection) {
  fields from;
  from.set("X-Server-Load", "3,1,8");
  from.set("Keep-Alive", "timeout=7, max=9");
  from.set("Connection", "close");
  const auto metadata = read_answer_metadata(200, from);
  expect_equal(metadata.load->waiting, 1U);
  expect_true(metadata.idle_limit == seconds{7});
  expect_true(metadata.closing);
}

Test(answer_metadata, omits_a_malformed_load) {
  fields from;
  from.set("X-Server-Load", "3,1");
  expect_false(read_answer_metadata(200, from).load.has_value());
}

Test(headers, fields_set_by_the_agent_are_recognised) {
  expect_true(is_set_by_agent("x-caller-service"));
  expect_true(is_set_by_agent("X-Expected-Instance"));
  expect_false(is_set_by_agent("X-Request-Id"));
}

Test(headers, retry_after_keeps_fractions_of_a_second) {
  expect_equal(retry_after_header(milliseconds{250}), "Retry-After: 0.250\r\n");
}

Test(calls, use_the_paths_of_the_store) {
  expect_equal(list_objects("servers", "i-1", freshness::current).target,
               "/-/objects/servers?after=i-1");
  expect_equal(watch_objects("servers", 530, milliseconds{20'000}, freshness::current).target,
               "/-/objects/servers?watch=530&waitMs=20000");
  expect_equal(delete_object("leases", "vm-1", 7).target, "/-/objects/leases/vm-1?revision=7");
}

Test(calls, store_statuses_map_to_verdicts) {
  expect_true(store_verdict_of(200) == store_verdict::done);
  expect_true(store_verdict_of(404) == store_verdict::missing);
  expect_true(store_verdict_of(409) == store_verdict::conflict);
  expect_true(store_verdict_of(410) == store_verdict::history_gone);
  expect_true(store_verdict_of(429) == store_verdict::refused);
  expect_true(store_verdict_of(503) == store_verdict::refused);
  expect_true(store_verdict_of(500) == store_verdict::unreadable);
}

Test(calls, requests_to_the_agent_are_classified) {
  expect_true(read_agent_request("GET", "/-/readyz").kind == agent_request_kind::readiness);
  expect_true(read_agent_request("PUT", "/-/instances/i-1").kind == agent_request_kind::heartbeat);
  expect_equal(read_agent_request("DELETE", "/-/instances/i-1").upstream_id, "i-1");
  expect_true(read_agent_request("POST", "/-/instances/i-1").kind == agent_request_kind::other);
}

Test(headers, a_hand_over_that_is_no_text_is_left_empty) {
  platform::fields answer;
  expect_true(!platform::handover_of(answer));
  answer.set("X-Handover", "5c0e7a21");
  expect_true(platform::handover_of(answer) == "5c0e7a21");
  // The leader failed on it while it wrote the map as JSON, and led no more.
  answer.set("X-Handover", "\xff\xfe");
  expect_true(platform::handover_of(answer) == "");
}

Test(answer_metadata, reads_the_present_speed_beside_the_load) {
  fields from;
  from.set("X-Server-Load", "3,1,8,300");
  expect_equal(read_answer_metadata(200, from).load->slowdown, 3.0);
  from.set("X-Server-Load", "3,1,8");
  expect_equal(read_answer_metadata(200, from).load->slowdown, 1.0);
}

Test(answer_metadata, bounds_an_absurd_speed_and_omits_a_malformed_one) {
  fields from;
  from.set("X-Server-Load", "3,1,8,4000000000");
  expect_true(read_answer_metadata(200, from).load->slowdown <= 20);
  from.set("X-Server-Load", "3,1,8,0");
  expect_true(read_answer_metadata(200, from).load->slowdown > 0);
  for (const char* malformed : {"3,1,8,-5", "3,1,8,1e3", "3,1,8,,", "3,1,8,100,7"}) {
    from.set("X-Server-Load", malformed);
    expect_false(read_answer_metadata(200, from).load.has_value(), malformed);
  }
}

Test(answer_metadata, reads_for_how_long_an_upstream_stays_cold) {
  fields from;
  expect_false(read_answer_metadata(200, from).cold_for.has_value());
  from.set("X-Warmup-Ms", "1500");
  expect_true(read_answer_metadata(503, from).cold_for == std::chrono::milliseconds{1'500});
  for (const char* malformed : {"", "-1", "soon", "99999999999999"}) {
    from.set("X-Warmup-Ms", malformed);
    expect_false(read_answer_metadata(200, from).cold_for.has_value(), malformed);
  }
}
