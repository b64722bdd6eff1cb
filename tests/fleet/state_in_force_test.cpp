#include "fleet/small_fleet.h"

using namespace masticshunt;
using namespace masticshunt::testing;

namespace {

/// The time in which a confirmed change must be in force.
constexpr duration config_bound = std::chrono::seconds{2};

}  // namespace

Test(state_in_force, is_not_late_when_all_watches_have_died_silently) {
  constexpr std::size_t agents = 3;
  small_fleet fleet(agents);
  expect_equal(fleet.agents_at(1), agents);
  fleet.store().forget_watches();
  fleet.store().put("config", "main", small_fleet::desired_state(2));
  fleet.run_for(config_bound);
  expect_equal(fleet.agents_at(2), agents);
}
