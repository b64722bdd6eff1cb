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
