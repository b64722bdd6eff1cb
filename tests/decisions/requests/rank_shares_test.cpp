#include "decisions/requests/internal/rank_shares.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

constexpr double limit = 4;

/// Two ranks with waiting attempts, both with credit for their floors.
struct shares_fixture {
  shares_fixture() {
    shares.advance(limit, milliseconds{10}, at({}));
    shares.at(0).eligible = shares.at(1).eligible = 100;
    shares.advance(limit, milliseconds{10}, at(milliseconds{100}));
  }

  rank_shares shares{{0.5, 0.3}};
};

}  // namespace

Test(rank_shares, serves_the_most_urgent_of_the_ranks_that_are_owed) {
  shares_fixture f;
  expect_equal(*f.shares.next(limit, false), 0U);
}

Test(rank_shares, serves_an_owed_rank_although_attempts_of_another_end_immediately) {
  shares_fixture f;
  int starts_of_first = 0;
  for (; *f.shares.next(limit, false) == 0; ++starts_of_first)
    expect_true(f.shares.started(0, limit));
  expect_true(starts_of_first <= 5);
}

Test(rank_shares, reports_a_floor_that_is_ignored) {
  shares_fixture f;
  bool kept = true;
  for (int i = 0; i < 20; ++i) kept = f.shares.started(*f.shares.next(limit, true), limit) && kept;
  expect_false(kept);
}

Test(rank_shares, returns_no_rank_when_nothing_waits) {
  rank_shares shares{{0.5, 0.5}};
  expect_false(shares.next(limit, false).has_value());
}
