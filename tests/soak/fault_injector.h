/// @file
/// Injects random faults into a simulated fleet: single, overlapping and repeated, with fault-free
/// intervals in between.
#pragma once

#include <string>
#include <vector>

#include "masticshunt/decisions/configuration/records.h"
#include "soak/invariant_checker.h"

namespace masticshunt::testing {

/// Runs rounds of faults. After each round all faults are cleared, and every key must be served
/// again within a bounded time.
class fault_injector {
 public:
  fault_injector(fleet& agents, invariant_checker& checker) : fleet_(agents), checker_(checker) {}

  /// Runs rounds until `steps` events were handled or an invariant broke. Returns the violation.
  std::optional<std::string> run(std::uint64_t steps) {
    fleet_.start_all();
    fleet_.run_for(seconds{5});
    while (fleet_.steps < steps && !checker_.violation()) {
      ++rounds_;
      inject_round();
      if (checker_.violation()) break;
      clear_faults();
      if (!checker_.violation() && !served_again())
        return "keys stay unserved after all faults were cleared";
      check_counters();
    }
    return checker_.violation() ? checker_.violation() : failure_;
  }
  std::uint64_t rounds() const { return rounds_; }

 private:
  using fault = void (fault_injector::*)();

  void inject_round() {
    const auto fault_count = 1 + fleet_.draw_below(8);
    for (std::size_t count = 0; count < fault_count; ++count) {
      static constexpr std::array<fault, 16> table{
          &fault_injector::crash_agent,          &fault_injector::restart_agent,
          &fault_injector::pause_short,          &fault_injector::pause_long,
          &fault_injector::isolate_agent,        &fault_injector::isolate_agent_one_way,
          &fault_injector::isolate_region,       &fault_injector::drop_link,
          &fault_injector::store_outage,         &fault_injector::slow_store,
          &fault_injector::drop_store_responses, &fault_injector::lossy_network,
          &fault_injector::isolate_from_store,   &fault_injector::drain_agent,
          &fault_injector::edit_concurrently,    &fault_injector::restart_all_agents};
      (this->*table[fleet_.draw_below(table.size())])();
      fleet_.run_for(fleet_.draw_up_to(fleet_.draw() < 0.5 ? milliseconds{300} : seconds{4}));
      if (checker_.violation()) return;
    }
    fleet_.run_for(fleet_.draw_up_to(seconds{6}));
  }

  void clear_faults() {
    fleet_.log_event("all faults are cleared");
    fleet_.environment = {};
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      auto& agent = fleet_.nodes[index];
      agent.paused_until = std::min(agent.paused_until, fleet_.now);
      const std::string drain_object = "config/drain/" + agent.name;
      if (fleet_.store.find(drain_object)) fleet_.store.put(drain_object, "");
      if (agent.stopped) fleet_.crash(index);
      if (!agent.alive()) fleet_.start(index);
    }
    fleet_.run_for(seconds{5});
  }

  bool served_again() {
    constexpr int limit_s = 40;
    for (int elapsed_s = 0; elapsed_s < limit_s; ++elapsed_s) {
      if (checker_.served_share() == 1.0) return true;
      fleet_.run_for(seconds{1});
    }
    return false;
  }

  void check_counters() {
    for (const auto& agent : fleet_.nodes) {
      if (!agent.alive()) continue;
      const auto dump = agent.core->dump(agent.local(fleet_.now));
      if (dump.find("\"invariant_violations\": {}") == std::string::npos &&
          dump.find("\"invariant_violations\": null") == std::string::npos) {
        failure_ = agent.name + " reports an invariant violation: " +
                   dump.substr(dump.find("\"invariant_violations\""), 200);
      }
    }
  }

  std::size_t pick_agent() { return fleet_.draw_below(fleet_.nodes.size()); }

  /// Returns a renewer's index with a probability of at least 60 %, if the page has renewers.
  std::size_t pick_likely_renewer() {
    const auto page = fleet_.stored_page();
    if (!page || page->renewers.empty() || fleet_.draw() < 0.4) return pick_agent();
    const auto& record = page->renewers[fleet_.draw_below(page->renewers.size())];
    return fleet_.index_of(record.id.name).value_or(0);
  }

  void crash_agent() { fleet_.crash(pick_likely_renewer()); }
  void restart_agent() {
    const auto index = pick_likely_renewer();
    fleet_.crash(index);
    const auto process_generation = fleet_.nodes[index].process_generation;
    fleet_.at(fleet_.now + fleet_.draw_up_to(seconds{3}), [this, index, process_generation] {
      if (fleet_.nodes[index].process_generation == process_generation) fleet_.start(index);
    });
  }
  void restart_all_agents() {
    if (fleet_.draw() < 0.5) return;
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      fleet_.crash(index);
      const auto process_generation = fleet_.nodes[index].process_generation;
      fleet_.at(fleet_.now + fleet_.draw_up_to(seconds{2}), [this, index, process_generation] {
        if (fleet_.nodes[index].process_generation == process_generation) fleet_.start(index);
      });
    }
  }
  void pause_short() { fleet_.pause(pick_likely_renewer(), fleet_.draw_up_to(seconds{3})); }
  void pause_long() { fleet_.pause(pick_likely_renewer(), fleet_.draw_up_to(seconds{40})); }
  void isolate_agent() {
    const auto index = pick_likely_renewer();
    fleet_.log_event(fleet_.nodes[index].name + " is partitioned from the other agents");
    for (std::size_t other = 0; other < fleet_.nodes.size(); ++other) {
      fleet_.environment.partitioned_links.insert({index, other});
      fleet_.environment.partitioned_links.insert({other, index});
    }
    if (fleet_.draw() < 0.5) fleet_.environment.partitioned_from_store.insert(index);
  }
  void isolate_agent_one_way() {
    const auto index = pick_likely_renewer();
    const bool incoming = fleet_.draw() < 0.5;
    fleet_.log_event(fleet_.nodes[index].name +
                     (incoming ? " receives no messages" : "'s messages are all lost"));
    for (std::size_t other = 0; other < fleet_.nodes.size(); ++other) {
      fleet_.environment.partitioned_links.insert(incoming ? std::pair(other, index)
                                                           : std::pair(index, other));
    }
  }
  void isolate_region() {
    const auto region = fleet_.nodes[pick_agent()].region;
    const bool from_store = fleet_.draw() < 0.5;
    fleet_.log_event(region + " is partitioned from the other regions" +
                     (from_store ? " and the store" : ""));
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      const bool inside = fleet_.nodes[index].region == region;
      if (inside && from_store) fleet_.environment.partitioned_from_store.insert(index);
      for (std::size_t other = 0; other < fleet_.nodes.size(); ++other) {
        if (inside != (fleet_.nodes[other].region == region))
          fleet_.environment.partitioned_links.insert({index, other});
      }
    }
  }
  void drop_link() {
    const auto index = pick_likely_renewer();
    const auto other = pick_likely_renewer();
    fleet_.log_event(fleet_.nodes[index].name + " and " + fleet_.nodes[other].name +
                     " lose their link");
    fleet_.environment.partitioned_links.insert({index, other});
    fleet_.environment.partitioned_links.insert({other, index});
  }
  void store_outage() {
    fleet_.log_event("the store becomes unavailable");
    fleet_.environment.store_down = true;
    fleet_.at(fleet_.now + fleet_.draw_up_to(seconds{30}), [this] {
      fleet_.log_event("the store is available again");
      fleet_.environment.store_down = false;
    });
  }
  void slow_store() {
    fleet_.log_event("the store is slow");
    fleet_.environment.store_delay_max = fleet_.draw_up_to(seconds{4});
  }
  void drop_store_responses() {
    fleet_.log_event("store responses get lost");
    fleet_.environment.store_response_loss = fleet_.draw();
  }
  void lossy_network() {
    fleet_.log_event("the network is slow and lossy");
    fleet_.environment.message_loss = fleet_.draw() * 0.5;
    fleet_.environment.message_delay_max = fleet_.draw_up_to(seconds{3});
  }
  void isolate_from_store() {
    const auto index = pick_likely_renewer();
    fleet_.log_event(fleet_.nodes[index].name + " is partitioned from the store");
    fleet_.environment.partitioned_from_store.insert(index);
  }
  void drain_agent() {
    const auto& name = fleet_.nodes[pick_agent()].name;
    if (fleet_.environment.store_down) return;
    fleet_.log_event("an operator drains " + name);
    const configuration::record order{1, configuration::drain_record{name, name, ""}};
    fleet_.store.put(configuration::object_name(order), configuration::to_value(order));
  }
  void edit_concurrently() {
    if (fleet_.environment.store_down) return;
    fleet_.log_event("two operators edit the same record");
    for (std::uint32_t operator_number = 0; operator_number < 2; ++operator_number) {
      const configuration::record edit{
          1, configuration::rank_record{fleet_.settings.service, "normal", operator_number}};
      fleet_.store.put(configuration::object_name(edit), configuration::to_value(edit));
    }
  }

  fleet& fleet_;
  invariant_checker& checker_;
  std::uint64_t rounds_ = 0;
  std::optional<std::string> failure_;
};

/// Result of a randomised run.
struct soak_result {
  std::optional<std::string> violation;
  std::uint64_t steps = 0;
  std::uint64_t rounds = 0;
  std::uint64_t tickets = 0;  ///< Admission tickets that the invariants were checked for.
  duration virtual_time{};
  std::string trace;
};

/// Returns the settings of the run with `seed`, which also sets the fleet's size and isolation
/// policy.
inline fleet_settings settings_of_seed(std::uint64_t seed) {
  fleet_settings settings;
  settings.seed = seed;
  settings.agents = 3 + seed % 6;
  settings.move_when_isolated = seed % 4 == 3;
  return settings;
}

/// Runs one seed for `steps` events or until an invariant breaks.
inline soak_result soak(const fleet_settings& settings, std::uint64_t steps) {
  fleet agents(settings);
  invariant_checker checker(agents);
  fault_injector faults(agents, checker);
  soak_result result;
  result.violation = faults.run(steps);
  result.steps = agents.steps;
  result.rounds = faults.rounds();
  result.tickets = checker.tickets();
  result.virtual_time = agents.now;
  if (!result.violation) return result;
  constexpr std::size_t trace_tail_lines = 80;
  const auto first_line = agents.trace.size() - std::min(agents.trace.size(), trace_tail_lines);
  for (auto line = agents.trace.begin() + static_cast<std::ptrdiff_t>(first_line);
       line != agents.trace.end(); ++line) {
    result.trace += std::to_string(line->at / milliseconds{1}) + " ms  " + line->text + "\n";
  }
  return result;
}

}  // namespace masticshunt::testing
