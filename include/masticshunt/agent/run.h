/// @file
/// The command `masticshunt agent`.
#pragma once

#include "masticshunt/agent/settings.h"

namespace masticshunt::agent {

/// Runs an agent until SIGTERM or SIGINT, then stops it gracefully; a second signal ends it at
/// once. Returns the exit status: 0 after a graceful stop, 1 if it could not start, 4 if the
/// drain timeout passed with requests in flight.
int run_agent(const agent_settings& settings);

}  // namespace masticshunt::agent
