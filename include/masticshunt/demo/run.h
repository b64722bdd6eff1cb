/// @file
/// The command `masticshunt demo`.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace masticshunt::demo {

/// The options of `masticshunt demo`.
struct demo_options {
  std::string deployment = "both";    ///< "imhof", "llyfrnod" or "both".
  std::chrono::seconds duration{12};  ///< Duration of the load on each deployment.
  std::uint64_t seed = 1;
};

/// Runs the example deployments in this process with load, a moving hot key, a drained agent and a
/// crashed VM, and prints a live and a final report. Returns 0 if no guarantee was violated, 1 if
/// one was or a deployment did not start, 2 for an unknown deployment.
int run(const demo_options& options);

}  // namespace masticshunt::demo
