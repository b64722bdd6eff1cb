/// @file
/// Gauges of an agent's metrics endpoint.
#pragma once

#include "fleet/internal/claims_driver.h"
#include "fleet/internal/fleet_view.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/store_client.h"
#include "masticshunt/support/event_log.h"
#include "masticshunt/support/metrics.h"

namespace masticshunt::fleet {

/// The components whose values the gauges read. All of them must outlive the registry.
struct gauge_sources {
  const fleet_view& view;
  const gate_service& gate;
  const claims_driver& claims;
  const store_client& store;
  const support::event_log& log;
  const requests::memory_budget& budget;
};

/// Registers gauges that read their values from `sources` whenever `metrics` is printed.
void add_agent_gauges(support::metrics_registry& metrics, const gauge_sources& sources);

}  // namespace masticshunt::fleet
