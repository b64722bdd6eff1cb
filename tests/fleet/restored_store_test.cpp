#include "fleet/small_fleet.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The time in which an evacuation must be in force.
constexpr milliseconds evacuate_bound{2'000};

}  // namespace

// Guards against a watch that goes on from a revision of a lost history: what was written before
// the store reached that revision again would never be seen.
Test(restored_store, a_state_written_before_the_store_passes_its_lost_revisions_is_in_force) {
  small_fleet fleet(2);
  const auto copy = fleet.store().data();
  const auto fill = [&fleet](int writes) {
    for (int i = 0; i < writes; ++i) fleet.store().put("fillers", "filler", i);
  };
  fill(20);
  fleet.store().put("config", "main", small_fleet::desired_state(2));
  fleet.run_for(milliseconds{500});
  expect_equal(fleet.agents_at(2), 2U);
  fleet.store().restore(copy);
  fleet.store().put("config", "main", small_fleet::desired_state(3));
  fill(40);
  fleet.run_for(seconds{2});
  expect_equal(fleet.agents_at(3), 2U);
}

// Guards against a registration that is lost with the last writes, as of an agent that has just
// been added: no peer would use its upstream any more.
Test(restored_store, an_upstream_whose_registration_was_lost_is_published_again) {
  small_fleet fleet(2);
  auto copy = fleet.store().data();
  copy.objects_by_kind["masticshunt-upstreams"].erase("vm-1");
  fleet.start_upstreams();
  expect_equal(fleet.store().spec("masticshunt-upstreams", "vm-1").at("stage"), "ready");
  fleet.store().restore(copy);
  fleet.run_for(milliseconds{1'500});
  const auto published = fleet.store().spec("masticshunt-upstreams", "vm-1");
  expect_false(published.is_null());
  expect_equal(published.at("stage"), "ready");
}

// Guards against an order that is passed over since an earlier one, which the store has lost, had a
// higher revision.
Test(restored_store, an_evacuation_ordered_after_the_drill_is_obeyed) {
  small_fleet fleet(3, [](fleet::fleet_settings& settings, std::size_t index) {
    settings.zone = index == 0 ? "north-a" : "south-a";
    settings.evacuate = evacuate_bound;
  });
  fleet.start_upstreams();
  const auto copy = fleet.store().data();
  for (int i = 0; i < 20; ++i) fleet.store().put("fillers", "filler", i);
  fleet.store().put("evacuations", "north-a", nlohmann::json::object());
  fleet.store().remove("evacuations", "north-a");
  fleet.run_for(seconds{1});
  fleet.store().restore(copy);
  fleet.send_requests(0, milliseconds{10}, seconds{1});
  fleet.store().put("evacuations", "north-a", nlohmann::json::object());
  fleet.send_requests(0, milliseconds{10}, evacuate_bound);
  const auto before = fleet.upstream(0).arrived();
  expect_true(before > 0);
  fleet.send_requests(0, milliseconds{10}, seconds{1});
  expect_equal(fleet.upstream(0).arrived(), before);
}
