#include "expect.h"
#include "fuzz/mutator.h"
#include "masticshunt/decisions/ownership/messages.h"

using masticshunt::failure;
using masticshunt::failure_kind;
using masticshunt::testing::expect_true;
using masticshunt::testing::mutator;
using namespace masticshunt::ownership;

namespace {

constexpr int rounds = 20'000;

agent_description sample_agent() {
  agent_description agent;
  agent.id = {"a-1", 7};
  agent.control = "10.0.0.1:7200";
  agent.forward = "10.0.0.1:7100";
  agent.region = "Alpen";
  agent.upstream = upstream_description{"booking-ledger", "10.0.0.1:8000", 3, 12, 120, true};
  return agent;
}

std::vector<std::string> encoded_messages() {
  assignment_page page;
  page.service = "booking-ledger";
  page.members = {sample_agent()};
  page.ranges = {{{0, 99}, {"a-1", 7}, {2, 5}}, {{100, ~0ULL}, {}, {2, 6}}};
  renew_reply reply;
  reply.group = {"booking-ledger", 0};
  reply.owner = {"a-1", 7};
  reply.granted = page.ranges;
  records_update records;
  records.records = {{"config/rank/x", 4, std::string(300, 'v')}};
  const std::vector<message> messages = {join_request{{"booking-ledger", 0}, sample_agent()},
                                         page_update{page},
                                         renew_request{},
                                         reply,
                                         support_request{},
                                         stop_reply{},
                                         records};
  std::vector<std::string> encoded;
  for (const auto& each : messages) encoded.push_back(encode(each, "10.0.0.1:7200"));
  return encoded;
}

void expect_round_trip(const envelope& first) {
  failure reason;
  const auto second = decode(encode(first.body, first.from), reason);
  expect_true(second && second->from == first.from && second->body == first.body,
              "an accepted message changes when encoded and decoded");
}

}  // namespace

Test(messages_fuzz, round_trip_if_accepted_and_give_a_reason_otherwise) {
  const auto valid_messages = encoded_messages();
  mutator input_mutator(1, {std::string("\x9f", 1), std::string("\xbf", 1), std::string("\xff", 1),
                            std::string("\x1b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
                            std::string("\x5b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
                            std::string("\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00", 9)});
  int accepted = 0;
  int rejected = 0;
  for (int round = 0; round < rounds; ++round) {
    failure reason;
    const auto envelope =
        decode(input_mutator.mutate(valid_messages[round % valid_messages.size()]), reason);
    if (envelope) {
      ++accepted;
      expect_round_trip(*envelope);
    } else {
      ++rejected;
      expect_true(reason.kind != failure_kind::none && !reason.message.empty());
    }
  }
  expect_true(accepted > rounds / 100 && rejected > rounds / 100,
              "more than 1% of the inputs are accepted and more than 1% rejected");
}

Test(messages_fuzz, reject_random_bytes) {
  mutator input_mutator(2, {"x"});
  for (int round = 0; round < rounds; ++round) {
    failure reason;
    expect_true(!decode(input_mutator.random_bytes(128), reason));
  }
}

Test(messages_fuzz, reject_deep_nesting) {
  failure reason;
  expect_true(!decode(std::string(1'000'000, '\x81'), reason));
}
