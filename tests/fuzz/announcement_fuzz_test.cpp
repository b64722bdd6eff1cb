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
const std::string good =
    R"({"service":"booking-ledger","address":"10.0.0.7:8000","incarnation":17,"slots":12,)"
    R"("connections":120,"checks_fences":true,"state":"ready"})";

}  // namespace

Test(announcement_fuzz, reads_back_what_it_accepted) {
  mutator changes(1, {"\"", "{", "}", "[", "null", "-1", "1e999", "18446744073709551616", "\\u0000",
                      "\xff", "\"slots\":0,"});
  int accepted = 0;
  int refused = 0;
  for (int round = 0; round < rounds; ++round) {
    failure reason;
    const auto first = parse_announcement(changes.mutate(good), reason);
    if (!first) {
      ++refused;
      expect_true(reason.kind == failure_kind::bad_input);
      expect_true(!reason.message.empty() && !reason.remedy.empty());
      continue;
    }
    ++accepted;
    const auto second = parse_announcement(to_json_text(*first), reason);
    expect_true(second && second->upstream == first->upstream && second->state == first->state);
  }
  expect_true(accepted > rounds / 100 && refused > rounds / 100, "the inputs reach both sides");
}

Test(announcement_fuzz, refuses_noise) {
  mutator changes(2, {"{"});
  for (int round = 0; round < rounds; ++round) {
    failure reason;
    expect_true(!parse_announcement(changes.noise(64), reason));
  }
}

Test(announcement_fuzz, refuses_deep_nesting) {
  failure reason;
  expect_true(!parse_announcement(std::string(1'000'000, '['), reason));
}
