#include "fleet/keyed_agent.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(claims_driver, names_the_incarnation_in_a_grant_also_while_the_gate_has_lost_it) {
  keyed_agent agent;
  agent.run_until_granted();
  agent.commands.clear();
  // What answers at the address now may be the next incarnation, without the keys.
  agent.gate().update_upstream(std::nullopt, "ledger", keyed_agent::slots);
  agent.run_for(seconds{2});
  expect_true(!agent.commands.empty());
  for (const auto& each : agent.commands)
    expect_equal(each.upstream, keyed_agent::incarnation.id, each.target);
}
