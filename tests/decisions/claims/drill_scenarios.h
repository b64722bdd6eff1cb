/// @file
/// Orders of events around drills of the store, drawn from a seed.
#pragma once

#include <array>
#include <string>

#include "decisions/claims/drill_fleet.h"

namespace masticshunt::testing {

/// One kind of trouble with drills in it.
struct drill_scenario {
  const char* name;
  void (*disturb)(drill_fleet& fleet);
};

/// What broke in a run; empty texts if nothing did.
struct drill_result {
  std::string failure;
  std::string trace;
};

/// After a message that was lost or late by chance, a key may not be served for so long.
inline constexpr duration usual_outage = seconds{3};
/// Slots of load for each 1,024 keys, so that ranges move to other owners.
inline constexpr double busy_slots = 3;

inline milliseconds drawn_span(drill_fleet& fleet, std::uint64_t least_ms, std::uint64_t most_ms) {
  return milliseconds{least_ms + fleet.draw(most_ms - least_ms)};
}
inline void drill(drill_fleet& fleet) {
  fleet.drill(drawn_span(fleet, 0, 6'000), drawn_span(fleet, 0, 2'000));
}

inline void restarts_in_turn(drill_fleet& fleet) {
  fleet.set_load(busy_slots);
  fleet.run_for(drawn_span(fleet, 1'500, 4'500));
  const auto drilled = fleet.draw(drill_fleet::agents);
  for (std::size_t i = 0; i < drill_fleet::agents; ++i) {
    if (i == drilled) drill(fleet);
    fleet.restart(i, fleet.draw(2) == 0, drawn_span(fleet, 200, 2'200));
    fleet.run_for(drawn_span(fleet, 0, 4'000));
  }
}

inline void disturb_leader(drill_fleet& fleet) {
  const auto leader = fleet.leading();
  if (!leader) return;
  const auto span = drawn_span(fleet, 500, 15'500);
  switch (fleet.draw(4)) {
    case 0:
      return fleet.restart(*leader, true, milliseconds{500});
    case 1:
      return fleet.restart(*leader, false, span);
    case 2:
      return fleet.isolate(*leader, span);
    default:
      return fleet.pause(*leader, span);
  }
}
inline void leader_changes(drill_fleet& fleet) {
  fleet.set_load(busy_slots);
  fleet.run_for(drawn_span(fleet, 1'000, 4'000));
  const auto order = fleet.draw(3);  // before the drill, after it, or both
  if (order != 1) disturb_leader(fleet);
  fleet.run_for(drawn_span(fleet, 0, 3'000));
  drill(fleet);
  fleet.run_for(drawn_span(fleet, 0, 3'000));
  if (order != 0) disturb_leader(fleet);
  fleet.run_for(seconds{15});
}

inline void keys_move(drill_fleet& fleet) {
  fleet.set_load(busy_slots);
  constexpr duration step = milliseconds{5};
  for (const auto limit = seconds{4} / step; !fleet.moving() && fleet.draw(limit) != 0;)
    fleet.run_for(step);
  fleet.run_for(drawn_span(fleet, 0, 400));
  drill(fleet);
  fleet.run_for(seconds{4});
}

inline void all_at_once(drill_fleet& fleet) {
  fleet.set_load(busy_slots);
  fleet.run_for(drawn_span(fleet, 1'000, 3'000));
  constexpr std::uint64_t steps = 12;
  const auto first = fleet.draw(steps);
  const auto second = fleet.draw(steps);
  for (std::uint64_t step = 0; step < steps; ++step) {
    if (step == first || step == second) drill(fleet);
    const auto i = fleet.draw(drill_fleet::agents);
    const auto span = drawn_span(fleet, 300, 5'300);
    switch (fleet.draw(6)) {
      case 0:
        fleet.restart(i, fleet.draw(2) == 0, span);
        break;
      case 1:
        fleet.isolate(i, span);
        break;
      case 2:
        fleet.pause(i, span);
        break;
      case 3:
        fleet.replace_upstream(fleet.draw(drill_fleet::owners));
        break;
      case 4:
        fleet.lose_answers(fleet.draw(2) == 0);
        break;
      default:
        break;
    }
    fleet.run_for(drawn_span(fleet, 0, 2'500));
  }
  fleet.lose_answers(false);
}

inline constexpr std::array drill_scenarios{drill_scenario{"restarts in turn", restarts_in_turn},
                                            drill_scenario{"leader changes", leader_changes},
                                            drill_scenario{"keys move", keys_move},
                                            drill_scenario{"all at once", all_at_once}};

/// Plays a scenario: owners and fences must hold all the while, and all keys be served in the end.
inline drill_result play(const drill_scenario& scenario, std::uint64_t seed) {
  drill_fleet fleet(seed);
  fleet.run_for(seconds{8});
  const auto waiting_before = fleet.not_served_for(usual_outage);
  scenario.disturb(fleet);
  fleet.set_load(0);
  fleet.run_for(seconds{40});
  const auto waiting = fleet.not_served_for(usual_outage);
  std::string failure = fleet.violation();
  if (failure.empty() && fleet.grants() == 0) failure = "no key was ever granted";
  if (failure.empty() && waiting_before + waiting > 0)
    failure = "keys not served before and after: " + std::to_string(waiting_before) + ", " +
              std::to_string(waiting);
  if (failure.empty()) return {};
  return {std::string(scenario.name) + ", seed " + std::to_string(seed) + ": " + failure,
          fleet.trace()};
}

}  // namespace masticshunt::testing
