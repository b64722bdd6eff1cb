/// @file
/// A load on a deployment with actions at set times.
#pragma once

#include <chrono>
#include <functional>
#include <vector>

#include "masticshunt/bench/load_generator.h"

namespace masticshunt::bench {

/// An action at a set time during a load.
struct timed_step {
  std::chrono::milliseconds at{0};  ///< Time since the start of the load.
  std::function<void()> action;
};

/// Sends the load from a separate thread, runs the steps in order on the calling thread, and
/// returns when the last request has ended. Steps due after that are skipped.
load_result run_load(const load_settings& settings, const std::vector<timed_step>& script = {});

}  // namespace masticshunt::bench
