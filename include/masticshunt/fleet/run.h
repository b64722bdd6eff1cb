/// @file
/// The process of an agent of a fleet.
#pragma once

#include <string>

namespace masticshunt::fleet {

/// Runs the agent whose settings are in the file at `path` until it is told to stop.
/// Returns the exit code.
int run_fleet_agent(const std::string& path);

}  // namespace masticshunt::fleet
