/// @file
/// Entry point of the fleet agent process.
#pragma once

#include <string>

namespace masticshunt::fleet {

/// Runs the agent with the settings file at `path` until a stop signal arrives.
/// Returns the exit code of the process.
int run_fleet_agent(const std::string& path);

}  // namespace masticshunt::fleet
