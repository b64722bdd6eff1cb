#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "bench/internal/scenario.h"
#include "bench/internal/scripted_load.h"

namespace masticshunt::bench {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds start_limit{20'000};
constexpr std::uint32_t candidate_keys = 200;
constexpr double probe_rate = 2'000;
constexpr double light_rate = 1'000;
constexpr double calibration_rate = 4'000;
constexpr double added_p99_ms_max = 1;
constexpr double requests_per_core_min = 15'000;
constexpr std::uint32_t path_connections = 128;
constexpr int path_rounds = 5;

/// Returns the ids of the threads of this process.
std::set<std::string> thread_ids() {
  std::set<std::string> ids;
  for (const auto& each : std::filesystem::directory_iterator("/proc/self/task")) {
    ids.insert(each.path().filename());
  }
  return ids;
}

/// The scheduler statistics of a set of threads.
struct thread_times {
  std::chrono::duration<double> running{0};
  std::chrono::duration<double> waiting{0};  ///< Runnable, waiting for a processor.
};

thread_times cpu_times_of(const std::set<std::string>& threads) {
  thread_times times;
  for (const auto& id : threads) {
    std::ifstream file("/proc/self/task/" + id + "/schedstat");
    double running = 0;
    double waiting = 0;
    if (!(file >> running >> waiting)) continue;
    times.running += std::chrono::duration<double, std::nano>(running);
    times.waiting += std::chrono::duration<double, std::nano>(waiting);
  }
  return times;
}

/// Returns a deployment of two VMs with upstreams that answer without delay.
demo::deployment_plan path_plan() {
  demo::deployment_plan plan = demo::imhof_plan();
  plan.name = "loopback";
  plan.services.resize(1);
  plan.services[0].service_time = std::chrono::microseconds(0);
  plan.services[0].connections = 4 * path_connections;
  plan.domains = {plan.domains[0], plan.domains[2]};
  return plan;
}

load_settings lookup_load(const std::string& service, const endpoint& agent, double rate,
                          milliseconds duration, std::uint64_t seed) {
  request_kind kind;
  kind.service = service;
  kind.rank = "urgent";
  kind.rate = rate;
  load_settings load;
  load.name = "path";
  load.agents = {agent};
  load.schedule.kinds = {kind};
  load.schedule.duration = duration;
  load.schedule.seed = seed;
  load.warm_up = duration / 5;
  load.connections_per_kind = path_connections;
  return load;
}

/// Sends probe requests and returns a key that the upstream at `owner` serves; empty if none.
std::string key_owned_by(demo::deployment& target, const endpoint& ingress, const endpoint& owner,
                         std::vector<request_log>& log) {
  auto probe =
      lookup_load(target.plan().services[0].name, ingress, probe_rate, milliseconds(200), 99);
  probe.schedule.popularity = {candidate_keys, 0, milliseconds(0)};
  const auto result = run_load(probe);
  std::ranges::copy(result.log, std::back_inserter(log));
  for (const auto& records : target.all_records()) {
    const auto run = std::ranges::find(records, owner, &upstream::run_record::upstream);
    if (run != records.end()) return run->key;
  }
  return {};
}

double quantile_ms(const load_result& result, double share) {
  return std::chrono::duration<double, std::milli>(
             result.result_for("path").latency.quantile(share))
      .count();
}

load_result run_path(load_settings load, const std::string& key, std::string_view label) {
  load.schedule.kinds[0].key = key;
  load.schedule.kinds[0].report_as = label;
  return run_load(load);
}

}  // namespace

namespace {

/// Restarts the VM and returns the ids of its threads.
std::set<std::string> restart_and_find_threads(demo::deployment& target, std::size_t index,
                                               failure& reason) {
  target.crash_node(index);
  const auto others = thread_ids();
  if (!target.restart(index, reason)) return {};
  auto threads = thread_ids();
  std::erase_if(threads, [&](const auto& id) { return others.contains(id); });
  return threads;
}

/// The processor time of one request in the two agents of its path.
struct path_cost {
  double ingress_seconds = 0;
  double owner_seconds = 0;
};

path_cost measure_cost(const load_settings& load, const std::string& key,
                       const std::set<std::string>& ingress, const std::set<std::string>& owner,
                       std::vector<request_log>& log) {
  const auto ingress_before = cpu_times_of(ingress).running;
  const auto owner_before = cpu_times_of(owner).running;
  const auto result = run_path(load, key, "calibration");
  const auto requests = static_cast<double>(result.log.size());
  std::ranges::copy(result.log, std::back_inserter(log));
  return {(cpu_times_of(ingress).running - ingress_before).count() / requests,
          (cpu_times_of(owner).running - owner_before).count() / requests};
}

/// The results of one round over both paths.
struct path_round {
  load_result routed;
  load_result direct;
};

path_round run_round(load_settings load, const std::string& key, const endpoint& upstream) {
  path_round round;
  round.routed = run_path(load, key, "path");
  load.agents = {upstream};
  load.direct = true;
  round.direct = run_path(load, key, "path");
  return round;
}

std::vector<path_round> run_rounds(load_settings load, const std::string& key,
                                   const endpoint& upstream, std::vector<request_log>& log) {
  std::vector<path_round> rounds;
  rounds.reserve(path_rounds);
  for (int round = 0; round < path_rounds; ++round) {
    load.name = "path-" + std::to_string(load.schedule.seed) + "-" + std::to_string(round);
    rounds.push_back(run_round(load, key, upstream));
    std::ranges::copy(rounds.back().routed.log, std::back_inserter(log));
  }
  return rounds;
}

double median_of(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

/// Returns the median over the rounds of the latency that the agents add at the quantile `share`.
double added_ms(const std::vector<path_round>& rounds, double share) {
  std::vector<double> added;
  added.reserve(rounds.size());
  for (const auto& round : rounds) {
    added.push_back(quantile_ms(round.routed, share) - quantile_ms(round.direct, share));
  }
  return median_of(added);
}

/// Returns the results of `round`, with one label for each path.
load_result combine_paths(const path_round& round) {
  load_result both = round.routed;
  both.labels[0].label = "two agents";
  both.labels.push_back(round.direct.labels[0]);
  both.labels[1].label = "direct";
  return both;
}

}  // namespace

scenario_report measure_path(const bench_options& options,
                             std::vector<guarantee_violation>& violations) {
  scenario_report report;
  demo::deployment target(path_plan(), options.seed);
  failure reason;
  bool ready = target.start(reason) && target.wait_until_routable(start_limit);
  const auto owner_threads = restart_and_find_threads(target, 1, reason);
  ready = ready && target.wait_until_routable(start_limit);
  const auto ingress_threads = restart_and_find_threads(target, 0, reason);
  ready = ready && target.wait_until_routable(start_limit);
  if (!ready || owner_threads.empty() || ingress_threads.empty()) {
    violations.push_back({guarantee::nothing_lost, "the deployment did not start"});
    return report;
  }

  const std::string service = target.plan().services[0].name;
  const endpoint ingress = target.nodes()[0].agent_process->description().caller;
  const endpoint upstream = target.nodes()[1].upstream_process->address();
  std::vector<request_log> log;
  const std::string key = key_owned_by(target, ingress, upstream, log);
  auto load = lookup_load(service, ingress, calibration_rate, options.duration / 2, options.seed);
  const auto cost = measure_cost(load, key, ingress_threads, owner_threads, log);

  const double half_load = 0.5 / std::max(cost.ingress_seconds, cost.owner_seconds);
  load.schedule.kinds[0].rate = half_load;
  load.schedule.duration = std::chrono::milliseconds(options.duration) / path_rounds;
  load.warm_up = load.schedule.duration / 5;
  const auto before = cpu_times_of(ingress_threads);
  const auto rounds = run_rounds(load, key, upstream, log);
  const auto after = cpu_times_of(ingress_threads);
  const double wait_ratio = (after.waiting - before.waiting) / (after.running - before.running);
  load.schedule.kinds[0].rate = light_rate;
  load.schedule.seed += 1;
  const auto light_rounds = run_rounds(load, key, upstream, log);
  guarantee_checker checker;
  checker.add_log(log);
  for (auto records : target.all_records()) {
    std::erase_if(records, [](const auto& run) { return run.rank.empty(); });
    checker.add_records(records);
  }
  violations = checker.check();

  report.result = combine_paths(rounds.front());
  report.figures = {
      {"small requests a core of the entry agent forwards",
       1 / cost.ingress_seconds,
       "/s",
       {},
       requests_per_core_min},
      {"small requests a core of the owner's agent serves", 1 / cost.owner_seconds, "/s", {}, {}},
      {"half load of the path", half_load, "/s", {}, {}},
      {"added latency p50 at half load", added_ms(rounds, 0.5), "ms", {}, {}},
      {"added latency p99 at half load", added_ms(rounds, 0.99), "ms", added_p99_ms_max, {}},
      {"entry agent's wait for a processor / its running time", wait_ratio, "x", {}, {}},
      {"added latency p50 at 1,000/s", added_ms(light_rounds, 0.5), "ms", {}, {}},
      {"added latency p99 at 1,000/s", added_ms(light_rounds, 0.99), "ms", {}, {}}};
  return report;
}

}  // namespace masticshunt::bench
