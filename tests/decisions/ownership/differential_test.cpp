#include <rapidcheck.h>

#include <cstdlib>
#include <set>

#include "expect.h"
#include "soak/invariant_checker.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::testing;

/// The naive version: one global table behind one lock, no failures hidden. It says which agents
/// may own keys at all.
class naive_table {
 public:
  explicit naive_table(std::size_t agents) {
    for (std::size_t index = 0; index < agents; ++index) eligible_.insert(index);
  }
  void lose(std::size_t index) { eligible_.erase(index); }
  void gain(std::size_t index) { eligible_.insert(index); }
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

/// Applies one operation to both versions.
void apply(std::size_t operation, std::size_t index, fleet& agents, naive_table& naive) {
  const bool alive = agents.nodes[index].alive();
  if (!alive) {
    agents.start(index);
    naive.gain(index);
  } else if (operation == 0 && naive.allows(index) && naive.eligible() > 3) {
    agents.crash(index);
    naive.lose(index);
  } else if (operation == 1 && naive.allows(index) && naive.eligible() > 3) {
    put_drain(agents, index, true);
    naive.lose(index);
  } else if (operation == 2 && !naive.allows(index)) {
    put_drain(agents, index, false);
    naive.gain(index);
  }
}

/// Every key has exactly one owner, it is one that the naive version allows, and all agents agree.
void compare(fleet& agents, const naive_table& naive) {
  constexpr std::uint64_t keys = 32;
  for (std::uint64_t key = 0; key < keys; ++key) {
    const key_hash hash = key << 59U;
    std::set<std::size_t> owners;
    for (std::size_t index = 0; index < agents.nodes.size(); ++index) {
      auto& one = agents.nodes[index];
      if (one.alive() && one.core->admit("viewer", hash, one.local(agents.now))) {
        owners.insert(index);
      }
    }
    RC_ASSERT(owners.size() == 1U);
    RC_ASSERT(naive.allows(*owners.begin()));
    for (const auto& one : agents.nodes) {
      if (!one.alive()) continue;
      const auto route = one.core->route("viewer", hash);
      RC_ASSERT(route.has_value());
      RC_ASSERT(route->owner.id.name == agents.nodes[*owners.begin()].name);
    }
  }
}

}  // namespace

Test(differential, every_settled_decision_is_allowed_by_the_naive_table) {
  setenv("RC_PARAMS", "seed=20261204 max_success=10", 1);
  const bool held = rc::check("settled decisions", [] {
    fleet_settings settings;
    settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto operations = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, 3),
                      rc::gen::inRange<std::size_t>(0, settings.agents)));
    fleet agents(settings);
    invariant_checker verdict(agents);
    naive_table naive(settings.agents);
    agents.start_all();
    agents.run_for(seconds{5});
    compare(agents, naive);
    for (const auto& [operation, index] : operations) {
      apply(operation, index, agents, naive);
      agents.run_for(seconds{14});
      compare(agents, naive);
    }
    RC_ASSERT(!verdict.violation().has_value());
  });
  expect_true(held, "the fleet agrees with the naive table");
}
