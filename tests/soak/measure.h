/// @file
/// Measures the cost of losing agents: unavailability, owner changes and store calls.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "soak/invariant_checker.h"

namespace masticshunt::testing {

/// Measurements of one kind of loss over all its runs.
struct loss_measurement {
  std::string kind;
  std::size_t runs = 0;
  std::vector<duration> gaps;         ///< One for each interruption of a sampled key.
  std::uint64_t ranges_lost = 0;      ///< Ranges of the lost owners.
  std::uint64_t ranges_changed = 0;   ///< Ranges with a new owner (another fencing token).
  double store_calls_per_second = 0;  ///< Of the whole fleet after the loss.

  [[nodiscard]] duration gap_quantile(double share) const {
    if (gaps.empty()) return {};
    auto sorted = gaps;
    std::ranges::sort(sorted);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
  }
};

/// A kind of loss: the lost agents, the observation time, and whether the store is down too.
struct loss_kind {
  std::string name;
  std::function<std::vector<std::size_t>(fleet&)> victims;
  duration observation_time = seconds{10};
  bool store_down = false;
};

/// Returns the index of the renewer at `rank` (0: the coordinator).
inline std::size_t renewer_at(fleet& agents, std::size_t rank) {
  return *agents.index_of(agents.stored_page()->renewers.at(rank).id.name);
}

/// Returns the index of the first agent that is no renewer, or 0 if all are renewers.
inline std::size_t non_renewer(fleet& agents) {
  const auto page = agents.stored_page();
  for (std::size_t index = 0; index < agents.nodes.size(); ++index) {
    const auto& agent = agents.nodes[index];
    if (ownership::find_renewer(*page, {agent.name, agent.incarnation}) == nullptr) return index;
  }
  return 0;
}

inline std::vector<loss_kind> loss_kinds() {
  return {
      {"owner", [](fleet& f) { return std::vector{non_renewer(f)}; }},
      {"coordinator (an owner too)", [](fleet& f) { return std::vector{renewer_at(f, 0)}; }},
      {"standby (an owner too)", [](fleet& f) { return std::vector{renewer_at(f, 1)}; }},
      {"owner and coordinator",
       [](fleet& f) {
         return std::vector{non_renewer(f), renewer_at(f, 0)};
       }},
      {"coordinator and standby",
       [](fleet& f) {
         return std::vector{renewer_at(f, 0), renewer_at(f, 1)};
       }},
      {"failure domain of the coordinator",
       [](fleet& f) {
         std::vector<std::size_t> lost;
         const auto domain = f.nodes[renewer_at(f, 0)].failure_domain;
         for (std::size_t index = 0; index < f.nodes.size(); ++index) {
           if (f.nodes[index].failure_domain == domain) lost.push_back(index);
         }
         return lost;
       }},
      {"coordinator, in a store outage of an hour",
       [](fleet& f) { return std::vector{renewer_at(f, 0)}; }, seconds{3600}, true},
  };
}

/// Measures one kind of loss with the seeds 1 to `runs`.
inline loss_measurement measure(const loss_kind& kind, fleet_settings settings, std::size_t runs) {
  loss_measurement result;
  result.kind = kind.name;
  result.runs = runs;
  for (std::size_t run = 1; run <= runs; ++run) {
    settings.seed = run;
    fleet agents(settings);
    invariant_checker checker(agents);
    agents.start_all();
    agents.run_for(seconds{6} + agents.draw_up_to(seconds{1}));
    const auto before = *agents.stored_page();
    const auto victims = kind.victims(agents);
    agents.environment.store_down = kind.store_down;
    checker.reset_gaps();
    std::uint64_t calls = 0;
    for (const auto& agent : agents.nodes) calls += agent.store_calls_total;
    for (const auto victim : victims) agents.crash(victim);
    agents.run_for(kind.observation_time);
    const auto after = *agents.stored_page();
    for (std::size_t index = 0; index < before.ranges.size(); ++index) {
      const auto owner = agents.index_of(before.ranges[index].owner.name);
      const bool lost = std::ranges::find(victims, *owner) != victims.end();
      result.ranges_lost += lost ? 1 : 0;
      result.ranges_changed += before.ranges[index].token != after.ranges[index].token ? 1 : 0;
    }
    const auto gaps =
        kind.store_down ? checker.gaps_of_surviving_owners(victims, before) : checker.gaps();
    result.gaps.insert(result.gaps.end(), gaps.begin(), gaps.end());
    std::uint64_t calls_after = 0;
    for (const auto& agent : agents.nodes) calls_after += agent.store_calls_total;
    result.store_calls_per_second += static_cast<double>(calls_after - calls) /
                                     std::chrono::duration<double>(kind.observation_time).count() /
                                     static_cast<double>(runs);
  }
  return result;
}

}  // namespace masticshunt::testing
