/// @file
/// The scenarios of the bench.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/bench/guarantee_checker.h"
#include "masticshunt/bench/report.h"
#include "masticshunt/bench/run.h"
#include "masticshunt/demo/deployment.h"

namespace masticshunt::bench {

/// The state that the scenarios of one deployment share. The scenario "quiet" fills in the baseline
/// that later scenarios are compared with.
struct scenario_context {
  demo::deployment& target;
  const bench_options& options;
  double capacity = 0;   ///< Requests a second that all upstreams together can serve.
  load_result baseline;  ///< Empty until the scenario "quiet" has run.
  /// Number of short loads between scenarios; part of their names.
  mutable std::uint64_t settle_loads = 0;
};

/// The results of a scenario.
struct scenario_report {
  load_result result;
  std::vector<figure> figures;
};

/// An entry of the table of scenarios.
struct scenario {
  std::string_view name;
  std::string_view summary;
  scenario_report (*run)(scenario_context& context);
};

/// Returns the scenarios that run on a shared deployment, "quiet" first.
const std::vector<scenario>& load_scenarios();

/// The name of the scenario that `measure_path` runs.
inline constexpr std::string_view path_scenario = "path";

/// Measures the added latency and the processor cost of the path through two agents. `violations`
/// receives the violated guarantees.
scenario_report measure_path(const bench_options& options,
                             std::vector<guarantee_violation>& violations);

}  // namespace masticshunt::bench
