#include "fleet/internal/fleet_view.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;

namespace {

claims::claim claim_of(const std::string& agent, claims::key_range keys, std::uint64_t fence) {
  return {.keys = keys, .holder = {agent, 1}, .fence = fence};
}

fleet_view view_with_map(std::uint64_t revision) {
  fleet_view view({.name = "vm-1"});
  auto map = claims::empty_map("viewer");
  map.revision = revision;
  map.claims = {claim_of("vm-1", {0, claims::last_shard_key}, 1)};
  view.update_map(map);
  return view;
}

}  // namespace

Test(fleet_view, tells_for_how_long_the_store_has_not_confirmed_the_desired_state) {
  fleet_view view({.name = "vm-1"});
  expect_true(!view.state_age(time_point{}));
  view.confirm_state(time_point{std::chrono::seconds{3}});
  expect_true(view.state_age(time_point{std::chrono::seconds{5}}) == std::chrono::seconds{2});
}

Test(fleet_view, a_newer_hint_of_a_peer_overrides_the_map) {
  auto view = view_with_map(5);
  expect_true(view.add_owner_hint("viewer", claim_of("vm-2", {10, 20}, 2), 6));
  expect_equal(view.owner_of("viewer", 15)->agent, "vm-2");
  expect_equal(view.owner_of("viewer", 21)->agent, "vm-1");
}

Test(fleet_view, an_older_hint_is_rejected) {
  auto view = view_with_map(5);
  expect_false(view.add_owner_hint("viewer", claim_of("vm-2", {10, 20}, 2), 5));
  expect_equal(view.owner_of("viewer", 15)->agent, "vm-1");
}

Test(fleet_view, many_hints_require_the_complete_map) {
  auto view = view_with_map(5);
  bool few_hints = true;
  for (claims::shard_key first = 0; first < 40; ++first)
    few_hints = view.add_owner_hint("viewer", claim_of("vm-2", {first, first}, 2 + first), 6);
  expect_false(few_hints);
}

Test(fleet_view, a_newer_map_replaces_older_hints) {
  auto view = view_with_map(5);
  view.add_owner_hint("viewer", claim_of("vm-2", {10, 20}, 2), 6);
  auto map = claims::empty_map("viewer");
  map.revision = 7;
  map.claims = {claim_of("vm-3", {0, claims::last_shard_key}, 3)};
  expect_true(view.update_map(map));
  expect_equal(view.owner_of("viewer", 15)->agent, "vm-3");
}
