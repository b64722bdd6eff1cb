/// @file
/// One thing that the bench measures.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/bench/guarantee_checker.h"
#include "masticshunt/bench/report.h"
#include "masticshunt/bench/run.h"
#include "masticshunt/demo/deployment.h"

namespace masticshunt::bench {

/// What scenarios of one deployment share. The quiet scenario fills in the figures that later
/// ones are compared with.
struct scenario_context {
  demo::deployment& target;
  const bench_options& options;
  double capacity = 0;   ///< Requests a second that all upstreams together can run.
  load_result baseline;  ///< Empty until the quiet scenario has run.
  mutable std::uint64_t settle_loads = 0;  ///< Names the short loads between scenarios.
};

/// What a scenario found.
struct scenario_report {
  load_result result;
  std::vector<figure> figures;
};

/// A scenario of the table.
struct scenario {
  std::string_view name;
  std::string_view summary;
  scenario_report (*run)(scenario_context& context);
};

/// Returns the scenarios that run on a shared deployment, the quiet one first.
const std::vector<scenario>& load_scenarios();

/// The name of the scenario that `measure_path` stands for.
inline constexpr std::string_view path_scenario = "path";

/// Measures the added latency and the cost of the two-agent path. `broken` receives the broken
/// promises that were seen.
scenario_report measure_path(const bench_options& options,
                             std::vector<guarantee_violation>& broken);

}  // namespace masticshunt::bench
