/// @file
/// The command `masticshunt bench`.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshunt::bench {

/// The options of `masticshunt bench`.
struct bench_options {
  std::string deployment = "imhof";    ///< "imhof", "llyfrnod" or "both".
  std::vector<std::string> scenarios;  ///< Names of `scenario_names`; empty: all.
  std::chrono::seconds duration{3};    ///< Duration of the load of one scenario.
  std::uint64_t seed = 1;
  std::string output_directory;  ///< Receives results.csv and the plots; empty: none are written.
  bool strict = false;           ///< Fails the run on a missed target as well.
};

/// Returns the names of all scenarios, in the order in which they run.
std::vector<std::string_view> scenario_names();

/// Runs the scenarios over loopback sockets and prints each result beside its target. Returns 0 on
/// success; 1 if a guarantee was violated, or a target missed under `strict`; 2 for an unknown
/// name.
int run(const bench_options& options);

}  // namespace masticshunt::bench
