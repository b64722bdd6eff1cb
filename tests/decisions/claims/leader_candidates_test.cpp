#include "masticshunt/decisions/claims/leader_candidates.h"

#include <algorithm>
#include <deque>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;
using routing::upstream_stage;

namespace {

/// Registrations of a few agents.
class registrations {
 public:
  void add(std::size_t count, const std::string& service, upstream_stage stage) {
    for (std::size_t i = 0; i < count; ++i) {
      routing::registration entry;
      entry.agent = "vm-" + std::to_string(entries_.size() + 1);
      entry.service = service;
      entry.stage = stage;
      entries_.push_back(std::move(entry));
    }
  }
  [[nodiscard]] std::vector<const routing::registration*> all() const {
    std::vector<const routing::registration*> result;
    for (const auto& each : entries_) result.push_back(&each);
    return result;
  }
  [[nodiscard]] const routing::registration& of(const std::string& agent) const {
    return *std::ranges::find(entries_, agent, &routing::registration::agent);
  }

 private:
  std::deque<routing::registration> entries_;
};

}  // namespace

// After dozens of replaced machines all candidates were gone, and no agent could lead.
Test(leader_candidates, registrations_of_machines_that_are_gone_hold_no_places) {
  registrations entries;
  entries.add(90, "ledger", upstream_stage::gone);
  entries.add(3, "viewer", upstream_stage::ready);
  const auto names = leader_candidates(entries.all(), "viewer", 3);
  expect_equal(names.size(), std::size_t{3});
  for (const auto& name : names) expect_true(entries.of(name).stage == upstream_stage::ready, name);
}

Test(leader_candidates, agents_without_keys_of_the_service_rank_first) {
  registrations entries;
  entries.add(10, "viewer", upstream_stage::ready);
  entries.add(2, "ledger", upstream_stage::draining);
  const auto names = leader_candidates(entries.all(), "viewer", 3);
  expect_equal(entries.of(names.at(0)).service, "ledger");
  expect_equal(entries.of(names.at(1)).service, "ledger");
  expect_equal(entries.of(names.at(2)).service, "viewer");
}

Test(leader_candidates, are_taken_of_agents_without_an_upstream_if_there_are_no_others) {
  registrations entries;
  entries.add(2, "ledger", upstream_stage::gone);
  expect_equal(leader_candidates(entries.all(), "viewer", 3).size(), std::size_t{2});
}
