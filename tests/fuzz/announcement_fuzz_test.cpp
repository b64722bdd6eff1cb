#include "expect.h"
#include "fuzz/mutator.h"
#include "masticshunt/upstream/announcement.h"

using masticshunt::failure;
using masticshunt::failure_kind;
using masticshunt::testing::expect_true;
using masticshunt::testing::mutator;
using masticshunt::upstream::parse_announcement;
using masticshunt::upstream::to_json_text;

namespace {

constexpr int rounds = 40'000;
const std::string valid_announcement =
    R"({"service":"booking-ledger","address":"10.0.0.7:8000","incarnation":17,"slots":12,)"
    R"("connections":120,"checks_fences":true,"state":"ready"})";

}  // namespace

Test(announcement_fuzz, round_trips_accepted_announcements) {
  mutator input_mutator(1, {"\"", "{", "}", "[", "null", "-1", "1e999", "18446744073709551616",
                            "\\u0000", "\xff", "\"slots\":0,"});
  int accepted = 0;
  int rejected = 0;
  for (int round = 0; round < rounds; ++round) {
    failure reason;
    const auto first = parse_announcement(input_mutator.mutate(valid_announcement), reason);
    if (!first) {
      ++rejected;
      expect_true(reason.kind == failure_kind::bad_input);
      expect_true(!reason.message.empty() && !reason.remedy.empty());
      continue;
    }
    ++accepted;
    const auto second = parse_announcement(to_json_text(*first), reason);
    expect_true(second && second->upstream == first->upstream && second->state == first->state);
  }
  expect_true(accepted > rounds / 100 && rejected > rounds / 100,
              "more than 1% of the inputs are accepted and more than 1% rejected");
}

Test(announcement_fuzz, rejects_random_bytes) {
  mutator input_mutator(2, {"{"});
  for (int round = 0; round < rounds; ++round) {
    failure reason;
    expect_true(!parse_announcement(input_mutator.random_bytes(64), reason));
  }
}

Test(announcement_fuzz, rejects_deep_nesting) {
  failure reason;
  expect_true(!parse_announcement(std::string(1'000'000, '['), reason));
}
