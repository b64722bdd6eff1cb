#include "masticshunt/decisions/routing/residency.h"

#include "expect.h"

using namespace masticshunt::routing;
using namespace masticshunt::testing;

namespace {

using regions = std::vector<std::string>;

route route_to(const std::string& service, regions allowed) {
  return {.name = "to-" + service, .services = {{service, 1}}, .regions = std::move(allowed)};
}

}  // namespace

Test(residency, no_region_named_allows_every_region) {
  expect_true(allows_region({}, "north"));
}

Test(residency, a_region_that_is_not_named_is_refused) {
  const regions allowed{"north", "east"};
  expect_true(allows_region(allowed, "east"));
  expect_false(allows_region(allowed, "south"));
  expect_false(allows_region(allowed, ""));
}

Test(residency, keys_are_owned_where_all_routes_of_their_service_allow_it) {
  const desired_state state{.routes = {route_to("ledger", {"north", "east"}),
                                       route_to("ledger", {"east", "south"}),
                                       route_to("ledger", {}), route_to("other", {"west"})}};
  expect_true(owner_regions(state, "ledger") == regions{"east"});
  expect_true(owner_regions(state, "unrestricted").empty());
}

Test(residency, routes_without_a_common_region_let_keys_be_owned_in_any_of_theirs) {
  const desired_state state{
      .routes = {route_to("ledger", {"north"}), route_to("ledger", {"south"})}};
  expect_true(owner_regions(state, "ledger") == regions{"north", "south"});
}

Test(residency, a_third_route_does_not_bring_back_a_region_that_two_have_excluded) {
  const desired_state state{.routes = {route_to("ledger", {"north", "east"}),
                                       route_to("ledger", {"east"}),
                                       route_to("ledger", {"north", "east"})}};
  expect_true(owner_regions(state, "ledger") == regions{"east"});
}

Test(residency, names_regions_that_nobody_knows) {
  const desired_state state{.routes = {route_to("ledger", {"north", "nroth"})}};
  const auto unknown =
      unknown_regions(state, [](const std::string& region) { return region == "north"; });
  expect_true(unknown == std::vector<route_region>{{"to-ledger", "nroth"}});
}
