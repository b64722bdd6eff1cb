#include "decisions/claims/drill_scenarios.h"
#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::testing;

namespace {

constexpr std::uint64_t seeds = 60;

/// Of runs that failed once: 3274, an owner whose lease record an earlier leader had deleted.
constexpr std::array<std::uint64_t, 1> failed_seeds{3'274};

void play_seeds(const drill_scenario& scenario) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto result = play(scenario, seed);
    expect_equal(result.failure, "", result.trace);
  }
  for (const auto seed : failed_seeds) {
    const auto result = play(scenario, seed);
    expect_equal(result.failure, "", result.trace);
  }
}

}  // namespace

// Guards against a service that stops after a drill alone: the leader's map could not be written
// any more, and its lease ran out.
Test(drill, alone_interrupts_no_key_for_longer_than_the_store_is_away) {
  constexpr duration away = seconds{1};
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    drill_fleet fleet(seed);
    fleet.end_chance();
    fleet.run_for(seconds{8});
    fleet.reset_outages();
    fleet.drill(milliseconds{fleet.draw(6'000)}, away);
    fleet.run_for(seconds{20});
    expect_true(fleet.leading().has_value(), fleet.trace());
    expect_true(fleet.longest_outage() <= away, fleet.trace());
    expect_equal(fleet.violation(), "", fleet.trace());
  }
}

// Guards against keys that are granted with fences of the lost map or below them: review/11, OWNER.
Test(drill, no_key_gets_an_old_fence_when_agents_restart_around_it) {
  play_seeds(drill_scenarios[0]);
}

// Guards against two owners of a key when the leader changes, or is cut off, as the store is lost.
Test(drill, no_key_has_two_owners_when_the_leader_changes_around_it) {
  play_seeds(drill_scenarios[1]);
}

// Guards against the loss of a move, which only one of two owners remembers then.
Test(drill, no_key_has_two_owners_when_it_moves_meanwhile) {
  play_seeds(drill_scenarios[2]);
}

// Guards against what a second drill can bring back, and against every fault at once.
Test(drill, two_of_them_among_other_faults_leave_one_owner_for_each_key) {
  play_seeds(drill_scenarios[3]);
}
