#include "masticshunt/decisions/routing/desired_state.h"

#include "expect.h"

using namespace masticshunt::routing;
using namespace masticshunt::testing;

namespace {

route_table table() {
  return route_table(
      {.version = 3,
       .routes = {{.name = "all", .host = "shop.example", .path_prefix = "/"},
                  {.name = "carts", .host = "shop.example", .path_prefix = "/carts/"},
                  {.name = "old", .host = "shop.example", .path_prefix = "/carts/old/"},
                  {.name = "else", .host = "else.example", .path_prefix = "/x/"}},
       .services = {{"cart", {.name = "cart", .keyed = true}}}});
}

}  // namespace

Test(route_table, the_longest_prefix_wins) {
  expect_equal(table().match("shop.example", "/carts/7")->name, "carts");
  expect_equal(table().match("shop.example", "/carts/old/7")->name, "old");
  expect_equal(table().match("shop.example", "/other")->name, "all");
}

Test(route_table, a_prefix_matches_whole_segments_only) {
  expect_equal(table().match("shop.example", "/cartsmore")->name, "all");
}

Test(route_table, a_port_and_a_query_are_ignored) {
  expect_equal(table().match("shop.example:80", "/carts/?q=/carts/old/")->name, "carts");
}

Test(route_table, another_host_has_other_routes) {
  expect_true(table().match("else.example", "/carts/7") == nullptr);
  expect_true(table().match("unknown.example", "/") == nullptr);
}

Test(route_table, an_empty_table_has_version_zero) {
  expect_equal(route_table{}.version(), 0U);
  expect_true(route_table{}.match("shop.example", "/") == nullptr);
}

Test(service_for, the_same_hash_always_selects_the_same_service) {
  const std::vector<weighted_service> services{{"a", 90}, {"b", 10}};
  expect_equal(service_for(services, 12'345), service_for(services, 12'345));
}

Test(service_for, each_service_gets_its_weighted_share) {
  const std::vector<weighted_service> services{{"a", 90}, {"b", 10}};
  int to_b = 0;
  for (std::uint64_t hash = 0; hash < 1'000; ++hash)
    to_b += service_for(services, hash) == "b" ? 1 : 0;
  expect_equal(to_b, 100);
}

Test(service_for, a_weight_of_zero_gets_nothing) {
  const std::vector<weighted_service> services{{"a", 0}, {"b", 5}};
  for (std::uint64_t hash = 0; hash < 50; ++hash) expect_equal(service_for(services, hash), "b");
}
