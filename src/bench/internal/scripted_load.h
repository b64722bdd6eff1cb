/// @file
/// A load on a deployment with things that happen to it at set times.
#pragma once

#include <chrono>
#include <functional>
#include <vector>

#include "masticshunt/bench/load_generator.h"

namespace masticshunt::bench {

/// Something that happens during a load.
struct timed_step {
  std::chrono::milliseconds at{0};  ///< Since the start of the load.
  std::function<void()> action;
};

/// Sends the load from a thread of its own, carries out the steps in order on the calling thread,
/// and returns when the last request has ended.
load_result run_load(const load_settings& settings, const std::vector<timed_step>& script = {});

}  // namespace masticshunt::bench
