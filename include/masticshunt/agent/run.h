/// @file
/// The command `masticshunt agent`.
#pragma once

#include "masticshunt/agent/settings.h"

namespace masticshunt::agent {

/// Runs an agent until SIGTERM or SIGINT and then stops it gracefully; a second signal terminates
/// the process at once. Returns the exit status: 0 after a graceful stop, 1 if the agent could not
/// start, 4 if requests were still in flight when the drain timeout expired.
int run_agent(const agent_settings& settings);

}  // namespace masticshunt::agent
