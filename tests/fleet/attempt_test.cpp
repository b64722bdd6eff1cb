#include "fleet/internal/attempt.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point now{seconds{100}};

fields fields_of(std::string_view headers) {
  fields result;
  while (!headers.empty()) {
    const auto line = headers.substr(0, headers.find("\r\n"));
    const auto colon = line.find(": ");
    result.insert(boost::beast::string_view(line.data(), colon),
                  boost::beast::string_view(line.data() + colon + 2, line.size() - colon - 2));
    headers.remove_prefix(line.size() + 2);
  }
  return result;
}

}  // namespace

Test(forwarding_header, a_request_is_read_as_it_was_sent) {
  const attempt sent{.service = "ledger",
                     .caller_service = "viewer",
                     .rank = 2,
                     .idempotent = true,
                     .retry = true,
                     .key = 4711,
                     .latency_target = milliseconds{250},
                     .target_time = now + milliseconds{200},
                     .deadline = now + milliseconds{900},
                     .state_version = 7,
                     .map_revision = 8,
                     .evacuations_changed_at = 31,
                     .request_limit = 12.5};
  attempt read;
  expect_true(read_forwarding_header(fields_of(forwarding_header(sent, now)), now, read));
  expect_equal(read.service, "ledger");
  expect_equal(read.caller_service, "viewer");
  expect_equal(read.rank, 2U);
  expect_true(read.idempotent && read.retry);
  expect_true(read.key == claims::shard_key{4711});
  expect_true(read.deadline == sent.deadline && read.target_time == sent.target_time);
  expect_true(read.latency_target == sent.latency_target);
  expect_equal(read.map_revision, 8U);
  expect_equal(read.evacuations_changed_at, 31U);
  expect_true(read.request_limit == 12.5);
}

Test(forwarding_header, of_an_agent_that_knows_no_limits_is_read) {
  attempt read;
  const auto from = fields_of("Masticshunt-Hop: 900 200 250 2 1 0 ledger viewer - 7 8\r\n");
  expect_true(read_forwarding_header(from, now, read));
  expect_false(read.request_limit.has_value());
}

Test(forwarding_header, a_missing_or_malformed_header_is_rejected) {
  attempt read;
  expect_false(read_forwarding_header(fields{}, now, read));
  expect_false(read_forwarding_header(fields_of("Masticshunt-Hop: -5 1 1\r\n"), now, read));
}

Test(peer_answer, a_refusal_carries_its_detail) {
  const auto outcome = refused(refusal::overloaded, milliseconds{70}, "gate running=12 slots=12");
  const auto read = read_peer_answer_headers(fields_of(refusal_header(outcome)));
  expect_true(read.refused.has_value());
  expect_equal(read.refused->detail, "gate running=12 slots=12");
}

Test(peer_answer, an_answer_carries_its_run_time) {
  routing::load_report load{.running = 3, .slots = 12, .service_time = milliseconds{60}};
  load.ran_for = milliseconds{45};
  const auto read = read_peer_answer_headers(fields_of(load_header(load)));
  expect_true(read.load.has_value());
  expect_true(read.load->ran_for == milliseconds{45});
  expect_true(read.load->service_time == milliseconds{60});
}

Test(peer_answer, carries_the_limit_of_the_upstream_and_the_wait_for_it) {
  const routing::load_report load{.request_limit = 0, .limit_wait = milliseconds{700}};
  const auto read = read_peer_answer_headers(fields_of(load_header(load)));
  expect_true(read.load->request_limit == 0.0);
  expect_true(read.load->limit_wait == milliseconds{700});
  const auto unlimited = read_peer_answer_headers(fields_of(load_header({})));
  expect_false(unlimited.load->request_limit.has_value());
}

Test(peer_answer, names_the_incarnation_that_leaves) {
  const routing::load_report load{.leaving = routing::upstream_incarnation{"i-1", 1'700}};
  const auto read = read_peer_answer_headers(fields_of(load_header(load)));
  expect_true(read.load->leaving == load.leaving);
  expect_false(read.load->request_limit.has_value());
  expect_false(read_peer_answer_headers(fields_of(load_header({}))).load->leaving.has_value());
}

Test(peer_answer, of_an_agent_of_an_earlier_version_is_read) {
  const auto read = read_peer_answer_headers(fields_of("Masticshunt-Load: 1 2 12 90000 0\r\n"));
  expect_equal(read.load->waiting, 2U);
  expect_false(read.load->request_limit.has_value());
  expect_false(read.load->leaving.has_value());
}

Test(peer_answer, a_refusal_is_read_as_it_was_sent) {
  auto outcome = refused(refusal::not_owner, milliseconds{70});
  outcome.owner = owner_hint{{{10, 20}, {"vm-2", 0}, {}, 9, ""}, 33};
  const auto read = read_peer_answer_headers(fields_of(refusal_header(outcome)));
  expect_true(read.refused && read.refused->result == attempt_result::not_run);
  expect_true(read.refused->why == refusal::not_owner);
  expect_equal(read.refused->owner->claim.holder.agent, "vm-2");
  expect_equal(read.refused->owner->revision, 33U);
  expect_true(read.refused->retry_after == milliseconds{70});
}

Test(peer_answer, a_lost_attempt_never_reads_as_not_run) {
  const attempt_outcome lost{.result = attempt_result::may_have_run, .reached_upstream = true};
  const auto read = read_peer_answer_headers(fields_of(refusal_header(lost)));
  expect_true(read.refused->result == attempt_result::may_have_run);
  expect_true(read.refused->reached_upstream);
}

Test(peer_answer, without_a_refusal_is_the_upstreams_answer) {
  const auto read = read_peer_answer_headers(
      fields_of(load_header({1, 2, 12, milliseconds{90}}) + state_version_header(5, 31)));
  expect_false(read.refused.has_value());
  expect_equal(read.load->waiting, 2U);
  expect_equal(read.state_version, 5U);
  expect_equal(read.evacuations_changed_at, 31U);
}

Test(peer_answer, carries_the_present_speed_of_the_upstream) {
  routing::load_report load{.slowdown = 2.5};
  load.leaving = routing::upstream_incarnation{"i-1", 1'700};
  const auto read = read_peer_answer_headers(fields_of(load_header(load)));
  expect_equal(read.load->slowdown, 2.5);
  expect_true(read.load->leaving == load.leaving);
  expect_equal(read_peer_answer_headers(fields_of(load_header({}))).load->slowdown, 1.0);
}

Test(headers, hop_by_hop_and_own_headers_are_not_forwarded) {
  const auto from = fields_of(
      "Host: a\r\nConnection: keep-alive, X-Odd\r\nX-Odd: 1\r\nMasticshunt-Hop: 1\r\n"
      "Transfer-Encoding: chunked\r\nX-Caller-Service: forged\r\nAccept: b\r\n");
  expect_equal(headers_for_upstream(from), "Host: a\r\nAccept: b\r\n");
}
