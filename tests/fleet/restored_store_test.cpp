#include "fleet/small_fleet.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

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
