/// @file
/// An owner in the simulation: a gate, a ledger and a fake upstream with faults.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "decisions/requests/virtual_time/chain_types.h"
#include "masticshunt/decisions/requests/gate.h"
#include "masticshunt/decisions/requests/idempotency_ledger.h"

namespace masticshunt::testing {

/// The ownership of a range in the local view of one agent.
struct chain_range {
  bool owned = false;
  bool finishing = false;
  requests::ownership_view view;
};

/// The planned behaviour of the fake upstream for one attempt.
struct upstream_plan {
  time_point starts_at{};
  duration service{};
  bool answer_lost = false;
  bool started = false;
  bool cancelled = false;
};

/// The owner role of one agent.
struct chain_owner {
  chain_owner(const chain_settings& settings)
      : gate(gate_of(settings)),
        ledger({.repeat_window = settings.repeat_window,
                .delivery_bound = settings.delivery_bound,
                .capacity = settings.ledger_capacity,
                .faults = settings.faults.ledger}),
        ranges(settings.ranges) {}

  static requests::gate_settings gate_of(const chain_settings& settings) {
    requests::gate_settings result;
    result.ranks = {{.name = "urgent", .floor = 0.5}, {.name = "batch", .floor = 0.3}};
    result.slots = 12;
    result.queue_capacity = 256;
    result.faults = settings.faults.gate;
    return result;
  }

  requests::gate gate;
  requests::idempotency_ledger ledger;
  std::vector<chain_range> ranges;
  std::unordered_map<std::uint32_t, upstream_plan> at_upstream;  ///< By index of the forward.
  time_point frozen_until = time_point::min();
};

}  // namespace masticshunt::testing
