/// @file
/// Plays drills of the store among other faults in virtual time, from many seeds.
#include <docopt.h>

#include <cstdio>
#include <string>

#include "decisions/claims/drill_scenarios.h"

namespace {

constexpr char usage[] = R"(Plays drills of the store against the owners of keys, in virtual time.

Usage:
  drill_soak [options]

Options:
  --seed=<n>   The first seed [default: 1].
  --seeds=<n>  How many seeds to play, each in all scenarios [default: 50].
  --only=<s>   Plays only the scenario of this name.
  --trace      Prints what led to a failure.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace masticshunt::testing;
  auto options = docopt::docopt(usage, {argv + 1, argv + argc});
  const auto first = std::stoull(options["--seed"].asString());
  const auto count = std::stoull(options["--seeds"].asString());
  std::uint64_t failed = 0;
  const auto& only = options["--only"];
  for (const auto& scenario : drill_scenarios) {
    if (only && only.asString() != scenario.name) continue;
    for (auto seed = first; seed < first + count; ++seed) {
      const auto result = play(scenario, seed);
      if (result.failure.empty()) continue;
      ++failed;
      std::printf("BROKEN %s\n", result.failure.c_str());
      if (options["--trace"].asBool()) std::printf("%s", result.trace.c_str());
    }
    std::printf("%s: %llu seeds played\n", scenario.name, static_cast<unsigned long long>(count));
    std::fflush(stdout);
  }
  return failed == 0 ? 0 : 1;
}
