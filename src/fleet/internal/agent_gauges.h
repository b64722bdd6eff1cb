/// @file
/// What an agent's metrics endpoint shows besides the counters of requests.
#pragma once

#include "fleet/internal/claims_driver.h"
#include "fleet/internal/fleet_view.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/store_client.h"
#include "masticshunt/support/event_log.h"
#include "masticshunt/support/metrics.h"

namespace masticshunt::fleet {

/// The parts of an agent whose figures are shown. All must outlive the registry.
struct gauge_sources {
  const fleet_view& known;
  const gate_service& gate;
  const claims_driver& claims;
  const store_client& store;
  const support::event_log& log;
};

/// Has `metrics` ask `from` for its figures whenever they are printed.
void add_agent_gauges(support::metrics_registry& metrics, const gauge_sources& from);

}  // namespace masticshunt::fleet
