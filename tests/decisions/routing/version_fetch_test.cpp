#include "masticshunt/decisions/routing/version_fetch.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;

namespace {

constexpr std::uint64_t own = 3;

}  // namespace

Test(version_fetch, a_version_stated_during_a_fetch_that_fails_is_fetched_from_its_peer) {
  version_fetch fetch;
  expect_true(fetch.stated("frozen", 4, own) == endpoint("frozen"));
  expect_true(!fetch.stated("second", 4, own));
  expect_true(fetch.ended(own) == endpoint("second"));
}

Test(version_fetch, a_version_newer_than_the_fetched_one_is_fetched_too) {
  version_fetch fetch;
  expect_true(fetch.stated("first", 4, own).has_value());
  expect_true(!fetch.stated("first", 5, own));
  expect_true(fetch.ended(4) == endpoint("first"));
}

Test(version_fetch, ends_when_no_newer_version_is_known) {
  version_fetch fetch;
  expect_true(!fetch.stated("first", own, own));
  expect_true(fetch.stated("first", 4, own).has_value());
  expect_true(!fetch.stated("second", 4, own));
  expect_true(!fetch.ended(4));
  expect_true(fetch.stated("first", 5, 4).has_value());
}

Test(version_fetch, asks_a_peer_that_failed_only_after_it_states_the_version_again) {
  version_fetch fetch;
  expect_true(fetch.stated("first", 4, own).has_value());
  expect_true(!fetch.stated("first", 4, own));
  expect_true(!fetch.ended(own));
  expect_true(fetch.stated("first", 4, own).has_value());
}
