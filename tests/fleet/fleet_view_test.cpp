#include "fleet/internal/fleet_view.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;

namespace {

claims::claim claim_of(const std::string& agent, claims::key_range keys, std::uint64_t fence) {
  return {.keys = keys, .holder = {agent, 1}, .fence = fence};
}

fleet_view with_map(std::uint64_t revision) {
  fleet_view known({.name = "vm-1"});
  auto map = claims::empty_map("viewer");
  map.revision = revision;
  map.claims = {claim_of("vm-1", {0, claims::last_shard_key}, 1)};
  known.update_map(map);
  return known;
}

}  // namespace

Test(fleet_view, a_newer_claim_that_a_peer_named_counts_over_the_map) {
  auto known = with_map(5);
  expect_true(known.add_owner_hint("viewer", claim_of("vm-2", {10, 20}, 2), 6));
  expect_equal(known.owner_of("viewer", 15)->agent, "vm-2");
  expect_equal(known.owner_of("viewer", 21)->agent, "vm-1");
}

Test(fleet_view, an_older_claim_is_no_news_and_a_map_is_wanted) {
  auto known = with_map(5);
  expect_false(known.add_owner_hint("viewer", claim_of("vm-2", {10, 20}, 2), 5));
  expect_equal(known.owner_of("viewer", 15)->agent, "vm-1");
}

Test(fleet_view, many_single_claims_make_a_map_worth_fetching) {
  auto known = with_map(5);
  bool enough = true;
  for (claims::shard_key first = 0; first < 40; ++first)
    enough = known.add_owner_hint("viewer", claim_of("vm-2", {first, first}, 2 + first), 6);
  expect_false(enough);
}

Test(fleet_view, a_newer_map_replaces_single_claims) {
  auto known = with_map(5);
  known.add_owner_hint("viewer", claim_of("vm-2", {10, 20}, 2), 6);
  auto map = claims::empty_map("viewer");
  map.revision = 7;
  map.claims = {claim_of("vm-3", {0, claims::last_shard_key}, 3)};
  expect_true(known.update_map(map));
  expect_equal(known.owner_of("viewer", 15)->agent, "vm-3");
}
