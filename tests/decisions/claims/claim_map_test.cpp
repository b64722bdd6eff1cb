#include "expect.h"
#include "masticshunt/decisions/claims/map_update.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;

namespace {

claim_map sample() {
  claim_map map = empty_map("ledger");
  split_at(map.claims, {100, 199});
  map.claims[1].holder = {"vm-1", 7};
  map.claims[1].upstream = {"i-1", 1'000};
  map.claims[1].fence = 4;
  map.claims[1].handover = "warm";
  map.revision = 12;
  map.write_counter = 3;
  map.leader = "vm-2";
  map.leader_address = "10.0.0.2:7600";
  map.leader_incarnation = 99;
  map.earlier_leases = std::chrono::milliseconds{2'500};
  map.next_fence = 5;
  return map;
}

}  // namespace

Test(claim_map, an_empty_map_covers_every_key_without_an_owner) {
  const auto map = empty_map("ledger");
  expect_true(map.covers_all());
  expect_equal(map.find(last_shard_key)->holder.agent, "");
}

Test(claim_map, split_keeps_every_key_covered) {
  const auto map = sample();
  expect_true(map.covers_all());
  expect_equal(map.claims.size(), 3U);
}

Test(claim_map, split_at_the_ends_of_the_key_space_adds_nothing) {
  auto map = empty_map("ledger");
  split_at(map.claims, {0, last_shard_key});
  expect_equal(map.claims.size(), 1U);
}

Test(claim_map, finds_the_claim_of_a_key) {
  const auto map = sample();
  expect_equal(map.find(100)->holder.agent, "vm-1");
  expect_equal(map.find(199)->fence, 4U);
  expect_equal(map.find(200)->holder.agent, "");
}

Test(claim_map, a_map_with_a_gap_does_not_cover_all_keys) {
  auto map = sample();
  map.claims.erase(map.claims.begin() + 1);
  expect_false(map.covers_all());
}

Test(claim_map, a_map_survives_a_json_round_trip) {
  failure reason;
  const auto read = map_from_json_text(to_json_text(sample()), reason);
  expect_true(read.has_value(), reason.describe());
  expect_true(*read == sample());
}

Test(claim_map, a_map_survives_a_cbor_round_trip) {
  failure reason;
  const auto read = update_from_cbor_bytes(to_cbor_bytes(map_update{.map = sample()}), reason);
  expect_true(read && read->map == sample(), reason.describe());
}

Test(claim_map, a_map_with_a_gap_is_refused_with_a_reason) {
  auto map = sample();
  map.claims.pop_back();
  failure reason;
  expect_false(map_from_json_text(to_json_text(map), reason).has_value());
  expect_true(reason.kind == failure_kind::bad_input);
}

Test(claim_map, malformed_bytes_are_refused) {
  failure reason;
  expect_false(update_from_cbor_bytes("\xff\x00nonsense", reason).has_value());
  expect_false(map_from_json_text("{\"service\":7}", reason).has_value());
}

Test(claim_map, reports_and_replies_survive_a_cbor_round_trip) {
  const owner_report report{.service = "ledger",
                            .holder = {"vm-1", 7},
                            .address = "10.0.0.1:7600",
                            .agent_incarnation = 3,
                            .upstream = {"i-1", 5},
                            .accepting = true,
                            .restarting = true,
                            .slots = 12,
                            .service_time = std::chrono::milliseconds{40},
                            .map_revision = 9,
                            .rejected_incarnation = 77,
                            .lease_remaining = std::chrono::milliseconds{700},
                            .released = {{{1, 2}, 3, "h"}},
                            .loads = {{{5, 6}, 1.5}}};
  const leader_reply reply{.lease = std::chrono::seconds{2},
                           .is_leader = true,
                           .leader_incarnation = 99,
                           .update = map_update{.map = sample()},
                           .to_release = {{{1, 2}, 3, ""}}};
  failure reason;
  expect_true(report_from_cbor_bytes(to_cbor_bytes(report), reason) == report, reason.describe());
  expect_true(reply_from_cbor_bytes(to_cbor_bytes(reply), reason) == reply, reason.describe());
}
