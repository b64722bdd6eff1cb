#include <rapidcheck.h>

#include <cstdlib>
#include <set>

#include "expect.h"
#include "soak/invariant_checker.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::testing;

/// The reference model: one global table behind one lock that sees all failures at once. It holds
/// the agents that may own keys.
class reference_table {
 public:
  explicit reference_table(std::size_t agents) {
    for (std::size_t index = 0; index < agents; ++index) eligible_.insert(index);
  }
  void remove(std::size_t index) { eligible_.erase(index); }
  void add(std::size_t index) { eligible_.insert(index); }
  [[nodiscard]] bool allows(std::size_t index) const { return eligible_.contains(index); }
  [[nodiscard]] std::size_t eligible() const { return eligible_.size(); }

 private:
  std::set<std::size_t> eligible_;
};

void put_drain(fleet& agents, std::size_t index, bool drained) {
  const auto& name = agents.nodes[index].name;
  const configuration::record order{1, configuration::drain_record{name, name, ""}};
  agents.store.put(configuration::object_name(order),
                   drained ? configuration::to_value(order) : std::string{});
}

/// Applies one operation to the fleet and to the reference model.
void apply(std::size_t operation, std::size_t index, fleet& agents, reference_table& reference) {
  const bool alive = agents.nodes[index].alive();
  if (!alive) {
    agents.start(index);
    reference.add(index);
  } else if (operation == 0 && reference.allows(index) && reference.eligible() > 3) {
    agents.crash(index);
    reference.remove(index);
  } else if (operation == 1 && reference.allows(index) && reference.eligible() > 3) {
    put_drain(agents, index, true);
    reference.remove(index);
  } else if (operation == 2 && !reference.allows(index)) {
    put_drain(agents, index, false);
    reference.add(index);
  }
}

/// Asserts that every key has exactly one owner, that the model allows it, and that all agents
/// route to it.
void compare(fleet& agents, const reference_table& reference) {
  constexpr std::uint64_t keys = 32;
  for (std::uint64_t key = 0; key < keys; ++key) {
    const key_hash hash = key << 59U;
    std::set<std::size_t> owners;
    for (std::size_t index = 0; index < agents.nodes.size(); ++index) {
      auto& node = agents.nodes[index];
      if (node.alive() && node.core->admit("viewer", hash, node.local(agents.now))) {
        owners.insert(index);
      }
    }
    RC_ASSERT(owners.size() == 1U);
    RC_ASSERT(reference.allows(*owners.begin()));
    for (const auto& node : agents.nodes) {
      if (!node.alive()) continue;
      const auto route = node.core->route("viewer", hash);
      RC_ASSERT(route.has_value());
      RC_ASSERT(route->owner.id.name == agents.nodes[*owners.begin()].name);
    }
  }
}

}  // namespace

Test(differential, every_settled_decision_is_allowed_by_the_reference_table) {
  setenv("RC_PARAMS", "seed=20261204 max_success=10", 1);
  const bool held = rc::check("settled decisions", [] {
    fleet_settings settings;
    settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto operations = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, 3),
                      rc::gen::inRange<std::size_t>(0, settings.agents)));
    fleet agents(settings);
    invariant_checker verdict(agents);
    reference_table reference(settings.agents);
    agents.start_all();
    agents.run_for(seconds{5});
    compare(agents, reference);
    for (const auto& [operation, index] : operations) {
      apply(operation, index, agents, reference);
      agents.run_for(seconds{14});
      compare(agents, reference);
    }
    RC_ASSERT(!verdict.violation().has_value());
  });
  expect_true(held, "the fleet agrees with the reference table");
}
