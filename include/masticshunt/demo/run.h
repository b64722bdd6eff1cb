/// @file
/// The command `masticshunt demo`.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace masticshunt::demo {

/// What the demo is to show.
struct demo_options {
  std::string deployment = "both";    ///< "imhof", "llyfrnod" or "both".
  std::chrono::seconds duration{12};  ///< Of the load on each deployment.
  std::uint64_t seed = 1;
};

/// Runs the deployments of the brief in this process with load, a moving hot key, a drained agent
/// and a lost VM, and prints a live and a final report. Returns 0 if no promise was broken, 1 if
/// one was, 2 for an unknown deployment.
int run(const demo_options& options);

}  // namespace masticshunt::demo
