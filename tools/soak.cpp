/// @file
/// Randomised runs of the decisions of many agents under injected faults; prints a trace of the
/// first violation.
#include <docopt.h>

#include <cstdio>
#include <string>

#include "soak/fault_injector.h"
#include "soak/measure.h"

namespace {

constexpr char usage[] = R"(Runs agents' decisions in virtual time under random faults.

Usage:
  soak [--seed=<n>] [--steps=<n>] [--seeds=<n>]
  soak --measure [--runs=<n>] [--agents=<n>]

Options:
  --seed=<n>   The first seed [default: 1].
  --steps=<n>  Events to handle over all seeds [default: 200000].
  --seeds=<n>  Seeds to share the steps [default: 1].
  --measure    Measure what losses cost instead.
  --runs=<n>   Runs of each kind of loss [default: 40].
  --agents=<n>  Agents of the fleet [default: 6].
)";

std::uint64_t number(const std::map<std::string, docopt::value>& options, const char* name) {
  return std::stoull(options.at(name).asString());
}

double milliseconds_of(masticshunt::duration length) {
  return std::chrono::duration<double, std::milli>(length).count();
}

int measure_losses(std::size_t runs, std::size_t agents) {
  using namespace masticshunt::testing;
  std::printf(
      "| loss | runs | keys hit | p50 ms | p99 ms | max ms | owner changes / least | "
      "store calls/s |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& kind : loss_kinds()) {
    fleet_settings settings;
    settings.agents = agents;
    const auto result =
        measure(kind, settings, kind.store_down ? std::min<std::size_t>(runs, 5) : runs);
    std::printf(
        "| %s | %zu | %zu | %.0f | %.0f | %.0f | %llu / %llu | %.2f |\n", result.kind.c_str(),
        result.runs, result.gaps.size(), milliseconds_of(result.gap_quantile(0.5)),
        milliseconds_of(result.gap_quantile(0.99)), milliseconds_of(result.gap_quantile(1.0)),
        static_cast<unsigned long long>(result.ranges_changed),
        static_cast<unsigned long long>(kind.store_down ? 0 : result.ranges_lost),
        result.store_calls_per_second);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace masticshunt::testing;
  const auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  if (options.at("--measure").asBool()) {
    return measure_losses(number(options, "--runs"), number(options, "--agents"));
  }
  const auto first = number(options, "--seed");
  const auto seeds = std::max<std::uint64_t>(number(options, "--seeds"), 1);
  const auto steps = number(options, "--steps");
  std::uint64_t handled = 0;
  std::uint64_t rounds = 0;
  std::uint64_t tickets = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const auto result = soak(settings_of_seed(seed), steps / seeds);
    handled += result.steps;
    rounds += result.rounds;
    tickets += result.tickets;
    if (!result.violation) continue;
    std::printf(
        "%s\nseed %llu broke after %llu steps: %s\nrepeat: make soak SEED=%llu STEPS=%llu\n",
        result.trace.c_str(), static_cast<unsigned long long>(seed),
        static_cast<unsigned long long>(result.steps), result.violation->c_str(),
        static_cast<unsigned long long>(seed), static_cast<unsigned long long>(steps / seeds));
    return 1;
  }
  std::printf(
      "seeds %llu to %llu: %llu steps, %llu rounds of faults, %llu admissions judged, "
      "no violation\n",
      static_cast<unsigned long long>(first), static_cast<unsigned long long>(first + seeds - 1),
      static_cast<unsigned long long>(handled), static_cast<unsigned long long>(rounds),
      static_cast<unsigned long long>(tickets));
  return 0;
}
