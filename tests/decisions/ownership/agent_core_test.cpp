#include "masticshunt/decisions/ownership/agent_core.h"

#include <algorithm>

#include "expect.h"
#include "soak/invariant_checker.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::testing;

/// A fleet of six agents that serves all keys, and its checker.
struct settled_fleet {
  explicit settled_fleet(fleet_settings settings = {}) : agents(std::move(settings)) {
    agents.start_all();
    agents.run_for(seconds{4});
    expect_equal(verdict.served_share(), 1.0, "all keys are served after 4 s");
    verdict.reset_gaps();
  }
  std::size_t coordinator() const {
    return *agents.index_of(agents.stored_page()->renewers.front().id.name);
  }
  std::size_t owner_only() const {
    const auto page = agents.stored_page();
    for (std::size_t index = 0; index < agents.nodes.size(); ++index) {
      if (ownership::find_renewer(*page, {agents.nodes[index].name, 1}) == nullptr) return index;
    }
    return 0;
  }
  void expect_no_violation() const {
    expect_false(verdict.violation().has_value(), verdict.violation().value_or(""));
  }
  duration longest_gap() const {
    const auto gaps = verdict.gaps();
    return gaps.empty() ? duration{} : std::ranges::max(gaps);
  }

  fleet agents;
  invariant_checker verdict{agents};
};

constexpr duration loss_bound = seconds{3};

}  // namespace

Test(agent_core, serves_every_key_after_a_cold_start) {
  settled_fleet run;
  run.expect_no_violation();
}

Test(agent_core, serves_the_keys_of_a_lost_owner_again_within_three_seconds) {
  settled_fleet run;
  run.agents.crash(run.owner_only());
  run.agents.run_for(seconds{6});
  expect_equal(run.verdict.served_share(), 1.0);
  expect_true(run.longest_gap() <= loss_bound);
  run.expect_no_violation();
}

Test(agent_core, serves_the_keys_of_a_lost_coordinator_again_within_three_seconds) {
  settled_fleet run;
  run.agents.crash(run.coordinator());
  run.agents.run_for(seconds{6});
  expect_equal(run.verdict.served_share(), 1.0);
  expect_true(run.longest_gap() <= loss_bound);
  run.expect_no_violation();
}

Test(agent_core, keeps_live_owners_serving_for_an_hour_without_store_and_coordinator) {
  settled_fleet run;
  run.agents.environment.store_down = true;
  run.agents.run_for(seconds{60});
  expect_equal(run.verdict.served_share(), 1.0);
  run.agents.crash(run.coordinator());
  const auto page = run.agents.stored_page();
  run.agents.run_for(seconds{3540});
  const auto lost = static_cast<double>(std::ranges::count(page->ranges, page->renewers.front().id,
                                                           &ownership::range_assignment::owner)) /
                    static_cast<double>(page->ranges.size());
  expect_true(run.verdict.served_share() >= 1 - 2 * lost,
              "only the lost agent's keys wait for a new owner");
  const auto gaps = run.verdict.gaps();
  expect_true(std::ranges::all_of(gaps, [](duration gap) { return gap > seconds{3000}; }),
              "keys of live owners have no gap");
  run.expect_no_violation();
}

Test(agent_core, hands_over_all_ranges_on_a_stop_request) {
  settled_fleet run;
  const auto stopping = run.coordinator();
  run.agents.deliver(stopping, ownership::stop_requested{});
  run.agents.run_for(seconds{6});
  expect_true(run.agents.nodes[stopping].stopped);
  expect_false(
      ownership::owns_any(*run.agents.stored_page(), {run.agents.nodes[stopping].name, 1}));
  expect_equal(run.verdict.served_share(), 1.0);
  run.expect_no_violation();
}

Test(agent_core, admits_no_requests_at_a_drained_upstream_after_three_seconds) {
  settled_fleet run;
  const auto drained = run.owner_only();
  const configuration::record order{
      1, configuration::drain_record{run.agents.nodes[drained].name, run.agents.nodes[drained].name,
                                     ""}};
  run.agents.store.put(configuration::object_name(order), configuration::to_value(order));
  run.agents.run_for(seconds{3});
  std::size_t tickets = 0;
  for (std::uint64_t step = 0; step < 256; ++step) {
    auto& node = run.agents.nodes[drained];
    if (node.core->admit("viewer", step << 56U, node.local(run.agents.now))) ++tickets;
  }
  expect_equal(tickets, 0U);
  expect_false(run.agents.nodes[drained].core->accepts_callers());
  run.agents.run_for(seconds{3});
  expect_equal(run.verdict.served_share(), 1.0);
  run.expect_no_violation();
}

Test(agent_core, routes_every_key_to_its_owner) {
  settled_fleet run;
  for (std::uint64_t step = 0; step < 64; ++step) {
    const key_hash hash = step << 58U;
    const auto route = run.agents.nodes[0].core->route("viewer", hash);
    expect_true(route.has_value());
    const auto owner = run.agents.index_of(route->owner.id.name);
    auto& node = run.agents.nodes[*owner];
    expect_true(node.core->admit("viewer", hash, node.local(run.agents.now)).has_value());
  }
}

Test(agent_core, routes_the_keys_of_other_services) {
  fleet_settings settings;
  settings.second_service = "ledger";
  settled_fleet run(settings);
  run.agents.run_for(seconds{4});
  for (std::size_t index = 0; index < run.agents.nodes.size(); ++index) {
    expect_true(run.agents.nodes[index].core->route("ledger", 42).has_value(), "ledger");
    expect_true(run.agents.nodes[index].core->route("viewer", 42).has_value(), "viewer");
  }
}
