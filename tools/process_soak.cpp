/// @file
/// Randomised runs of agent processes under injected faults; prints every violated guarantee.
#include <docopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "process_soak/soak_run.h"

namespace {

constexpr char usage[] =
    R"(Runs agents as processes on loopback, injects faults, and checks promises.

Usage:
  process_soak --program=<path> [options]

Options:
  --program=<path>  The masticshunt binary.
  --seed=<n>        The first seed [default: 1].
  --seeds=<n>       How many seeds to play, one after the other [default: 1].
  --also=<file>     Also plays the seeds that begin this file's lines.
  --trouble=<s>     Seconds of faults in each run [default: 15].
  --agents=<n>      Agents, 2 to 60 [default: 6].
  --drills=<n>      Times that the store comes back from an older copy [default: 0].
  --grants=<way>    How upstreams take keys: call or heartbeat [default: call].
  --net=<n>         Second part of all addresses, 0 to 255, for runs side by side [default: 0].
  --logs=<dir>      Where settings and logs go [default: process-soak-logs].
)";

/// Returns the numbers at the start of lines of the file at `path`.
std::vector<std::uint64_t> seeds_in(const std::string& path) {
  std::vector<std::uint64_t> seeds;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);)
    if (!line.empty() && line.front() >= '0' && line.front() <= '9')
      seeds.push_back(std::stoull(line));
  return seeds;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace masticshunt::process_soak;
  const auto options = docopt::docopt(usage, {argv + 1, argv + argc});
  const auto number = [&](const char* name) { return std::stoull(options.at(name).asString()); };
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::vector<std::uint64_t> seeds;
  if (const auto& also = options.at("--also")) seeds = seeds_in(also.asString());
  for (std::uint64_t i = 0; i < number("--seeds"); ++i) seeds.push_back(number("--seed") + i);
  std::uint64_t failed = 0;
  for (const auto seed : seeds) {
    soak_run one({.program = options.at("--program").asString(),
                  .seed = seed,
                  .fault_duration = std::chrono::seconds{number("--trouble")},
                  .agents = number("--agents"),
                  .grants_by_heartbeat = options.at("--grants").asString() == "heartbeat",
                  .drills = number("--drills"),
                  .net = number("--net"),
                  .directory = std::filesystem::path(options.at("--logs").asString()) /
                               ("seed-" + std::to_string(seed))});
    const bool kept = one.execute();
    std::string statuses;
    for (const auto& [status, count] : one.checker().by_status())
      statuses += " " + std::to_string(status) + "=" + std::to_string(count);
    std::printf("seed %llu: %s, %llu requests,%s\n", static_cast<unsigned long long>(seed),
                kept ? "kept" : "BROKEN",
                static_cast<unsigned long long>(one.checker().sent_total()), statuses.c_str());
    failed += kept ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}
