/// @file
/// The command `masticshunt bench`.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshunt::bench {

/// What the bench is to measure.
struct bench_options {
  std::string deployment = "imhof";    ///< "imhof", "llyfrnod" or "both".
  std::vector<std::string> scenarios;  ///< Names of `scenario_names`; empty: all.
  std::chrono::seconds duration{3};    ///< Of the load of one scenario.
  std::uint64_t seed = 1;
  std::string output_directory;  ///< Where results.csv and the plots go; empty: nowhere.
  bool strict = false;           ///< A missed target fails the run as well.
};

/// Returns the names of all scenarios, in the order in which they run.
std::vector<std::string_view> scenario_names();

/// Runs the scenarios over loopback sockets and prints each result beside its target. Returns 0; 1
/// if a promise was broken, or a target missed under `strict`; 2 for an unknown name.
int run(const bench_options& options);

}  // namespace masticshunt::bench
