/// @file
/// Random faults for a fleet: alone, together and twice, with quiet times in between.
#pragma once

#include <string>
#include <vector>

#include "masticshunt/decisions/configuration/records.h"
#include "soak/invariant_checker.h"

namespace masticshunt::testing {

/// Drives rounds of faults. After each round everything is healed, and every key must be served
/// again within a bounded time.
class fault_injector {
 public:
  fault_injector(fleet& agents, invariant_checker& verdict) : fleet_(agents), checker_(verdict) {}

  /// Runs rounds until `steps` events were handled or an invariant broke. Returns the violation.
  std::optional<std::string> run(std::uint64_t steps) {
    fleet_.start_all();
    fleet_.run_for(seconds{5});
    while (fleet_.steps < steps && !checker_.violation()) {
      ++rounds_;
      play_round();
      if (checker_.violation()) break;
      heal();
      if (!checker_.violation() && !served_again()) return "keys stay unserved after healing";
      check_counters();
    }
    return checker_.violation() ? checker_.violation() : failure_;
  }
  std::uint64_t rounds() const { return rounds_; }

 private:
  using fault = void (fault_injector::*)();

  void play_round() {
    const auto faults = 1 + fleet_.draw_below(8);
    for (std::size_t count = 0; count < faults; ++count) {
      static constexpr std::array<fault, 16> table{
          &fault_injector::crash_one,     &fault_injector::restart_one,
          &fault_injector::pause_short,   &fault_injector::pause_long,
          &fault_injector::cut_one,       &fault_injector::cut_one_way,
          &fault_injector::cut_region,    &fault_injector::silent_link,
          &fault_injector::store_outage,  &fault_injector::slow_store,
          &fault_injector::lost_answers,  &fault_injector::lossy_network,
          &fault_injector::cut_off_store, &fault_injector::drain_one,
          &fault_injector::two_operators, &fault_injector::restart_all};
      (this->*table[fleet_.draw_below(table.size())])();
      fleet_.run_for(fleet_.draw_up_to(fleet_.draw() < 0.5 ? milliseconds{300} : seconds{4}));
      if (checker_.violation()) return;
    }
    fleet_.run_for(fleet_.draw_up_to(seconds{6}));
  }

  void heal() {
    fleet_.log_event("everything heals");
    fleet_.environment = {};
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      auto& one = fleet_.nodes[index];
      one.paused_until = std::min(one.paused_until, fleet_.now);
      const std::string order = "config/drain/" + one.name;
      if (fleet_.store.find(order)) fleet_.store.put(order, "");
      if (one.stopped) fleet_.crash(index);
      if (!one.alive()) fleet_.start(index);
    }
    fleet_.run_for(seconds{5});
  }

  bool served_again() {
    constexpr int tries = 40;
    for (int count = 0; count < tries; ++count) {
      if (checker_.served_share() == 1.0) return true;
      fleet_.run_for(seconds{1});
    }
    return false;
  }

  void check_counters() {
    for (const auto& one : fleet_.nodes) {
      if (!one.alive()) continue;
      const auto dump = one.core->dump(one.local(fleet_.now));
      if (dump.find("\"invariant_violations\": {}") == std::string::npos &&
          dump.find("\"invariant_violations\": null") == std::string::npos) {
        failure_ = one.name + " counted a broken invariant: " +
                   dump.substr(dump.find("\"invariant_violations\""), 200);
      }
    }
  }

  std::size_t any() { return fleet_.draw_below(fleet_.nodes.size()); }

  /// Prefers agents with a part in the group's control.
  std::size_t any_important() {
    const auto page = fleet_.stored_page();
    if (!page || page->renewers.empty() || fleet_.draw() < 0.4) return any();
    const auto& record = page->renewers[fleet_.draw_below(page->renewers.size())];
    return fleet_.index_of(record.id.name).value_or(0);
  }

  void crash_one() { fleet_.crash(any_important()); }
  void restart_one() {
    const auto index = any_important();
    fleet_.crash(index);
    const auto life = fleet_.nodes[index].life;
    fleet_.at(fleet_.now + fleet_.draw_up_to(seconds{3}), [this, index, life] {
      if (fleet_.nodes[index].life == life) fleet_.start(index);
    });
  }
  void restart_all() {
    if (fleet_.draw() < 0.5) return;
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      fleet_.crash(index);
      const auto life = fleet_.nodes[index].life;
      fleet_.at(fleet_.now + fleet_.draw_up_to(seconds{2}), [this, index, life] {
        if (fleet_.nodes[index].life == life) fleet_.start(index);
      });
    }
  }
  void pause_short() { fleet_.pause(any_important(), fleet_.draw_up_to(seconds{3})); }
  void pause_long() { fleet_.pause(any_important(), fleet_.draw_up_to(seconds{40})); }
  void cut_one() {
    const auto index = any_important();
    fleet_.log_event(fleet_.nodes[index].name + " is cut off from the others");
    for (std::size_t other = 0; other < fleet_.nodes.size(); ++other) {
      fleet_.environment.cut.insert({index, other});
      fleet_.environment.cut.insert({other, index});
    }
    if (fleet_.draw() < 0.5) fleet_.environment.cut_from_store.insert(index);
  }
  void cut_one_way() {
    const auto index = any_important();
    const bool incoming = fleet_.draw() < 0.5;
    fleet_.log_event(fleet_.nodes[index].name +
                     (incoming ? " hears nobody" : " is heard by nobody"));
    for (std::size_t other = 0; other < fleet_.nodes.size(); ++other) {
      fleet_.environment.cut.insert(incoming ? std::pair(other, index) : std::pair(index, other));
    }
  }
  void cut_region() {
    const auto region = fleet_.nodes[any()].region;
    const bool from_store = fleet_.draw() < 0.5;
    fleet_.log_event(region + " is cut off" + (from_store ? ", from the store too" : ""));
    for (std::size_t one = 0; one < fleet_.nodes.size(); ++one) {
      const bool inside = fleet_.nodes[one].region == region;
      if (inside && from_store) fleet_.environment.cut_from_store.insert(one);
      for (std::size_t other = 0; other < fleet_.nodes.size(); ++other) {
        if (inside != (fleet_.nodes[other].region == region))
          fleet_.environment.cut.insert({one, other});
      }
    }
  }
  void silent_link() {
    const auto one = any_important();
    const auto other = any_important();
    fleet_.log_event(fleet_.nodes[one].name + " and " + fleet_.nodes[other].name +
                     " lose their link");
    fleet_.environment.cut.insert({one, other});
    fleet_.environment.cut.insert({other, one});
  }
  void store_outage() {
    fleet_.log_event("the store goes down");
    fleet_.environment.store_down = true;
    fleet_.at(fleet_.now + fleet_.draw_up_to(seconds{30}), [this] {
      fleet_.log_event("the store comes back");
      fleet_.environment.store_down = false;
    });
  }
  void slow_store() {
    fleet_.log_event("the store is slow");
    fleet_.environment.store_delay_most = fleet_.draw_up_to(seconds{4});
  }
  void lost_answers() {
    fleet_.log_event("the store's answers get lost");
    fleet_.environment.store_answer_loss = fleet_.draw();
  }
  void lossy_network() {
    fleet_.log_event("the network is slow and lossy");
    fleet_.environment.message_loss = fleet_.draw() * 0.5;
    fleet_.environment.message_delay_most = fleet_.draw_up_to(seconds{3});
  }
  void cut_off_store() {
    const auto index = any_important();
    fleet_.log_event(fleet_.nodes[index].name + " is cut off from the store");
    fleet_.environment.cut_from_store.insert(index);
  }
  void drain_one() {
    const auto& name = fleet_.nodes[any()].name;
    if (fleet_.environment.store_down) return;
    fleet_.log_event("an operator drains " + name);
    const configuration::record order{1, configuration::drain_record{name, name, ""}};
    fleet_.store.put(configuration::object_name(order), configuration::to_value(order));
  }
  void two_operators() {
    if (fleet_.environment.store_down) return;
    fleet_.log_event("two operators edit a record");
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

/// What a randomised run found.
struct soak_result {
  std::optional<std::string> violation;
  std::uint64_t steps = 0;
  std::uint64_t rounds = 0;
  std::uint64_t tickets = 0;
  duration virtual_time{};
  std::string trace;
};

/// Returns the settings of the run with a seed: the fleet's shape varies too.
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
  invariant_checker verdict(agents);
  fault_injector faults(agents, verdict);
  soak_result result;
  result.violation = faults.run(steps);
  result.steps = agents.steps;
  result.rounds = faults.rounds();
  result.tickets = verdict.tickets();
  result.virtual_time = agents.now;
  if (!result.violation) return result;
  constexpr std::size_t lines_shown = 80;
  const auto skipped = agents.trace.size() - std::min(agents.trace.size(), lines_shown);
  for (auto line = agents.trace.begin() + static_cast<std::ptrdiff_t>(skipped);
       line != agents.trace.end(); ++line) {
    result.trace += std::to_string(line->at / milliseconds{1}) + " ms  " + line->text + "\n";
  }
  return result;
}

}  // namespace masticshunt::testing
