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
constexpr double calibration_rate = 4'000;
constexpr double added_p99_ms_max = 1;
constexpr double requests_per_core_min = 15'000;
constexpr std::uint32_t path_connections = 32;

/// Returns the threads of this process.
std::set<std::string> thread_ids() {
  std::set<std::string> ids;
  for (const auto& each : std::filesystem::directory_iterator("/proc/self/task")) {
    ids.insert(each.path().filename());
  }
  return ids;
}

/// Returns the processor time that the threads have used.
std::chrono::duration<double> processor_time(const std::set<std::string>& threads) {
  double ticks = 0;
  for (const auto& id : threads) {
    std::ifstream file("/proc/self/task/" + id + "/schedstat");
    double nanoseconds = 0;
    if (file >> nanoseconds) ticks += nanoseconds;
  }
  return std::chrono::duration<double>(ticks * 1e-9);
}

/// Two VMs with upstreams that answer at once.
demo::deployment_plan path_plan() {
  demo::deployment_plan plan = demo::imhof_plan();
  plan.name = "loopback";
  plan.services.resize(1);
  plan.services[0].service_time = std::chrono::microseconds(0);
  plan.services[0].connections = 4 * path_connections;
  plan.domains = {plan.domains[0], plan.domains[2]};
  return plan;
}

load_settings lookups(const std::string& service, const endpoint& where, double rate,
                      milliseconds duration, std::uint64_t seed) {
  request_kind kind;
  kind.service = service;
  kind.rank = "urgent";
  kind.rate = rate;
  load_settings load;
  load.name = "path";
  load.agents = {where};
  load.schedule.kinds = {kind};
  load.schedule.duration = duration;
  load.schedule.seed = seed;
  load.warm_up = duration / 5;
  load.connections_per_kind = path_connections;
  return load;
}

/// Returns a key that the upstream at `owner` serves.
std::string key_of(demo::deployment& target, const endpoint& entry, const endpoint& owner,
                   std::vector<request_log>& log) {
  auto probe = lookups(target.plan().services[0].name, entry, probe_rate, milliseconds(200), 99);
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
  return std::chrono::duration<double, std::milli>(result.of("path").latency.quantile(share))
      .count();
}

load_result run_path(load_settings load, const std::string& key, std::string_view label) {
  load.schedule.kinds[0].key = key;
  load.schedule.kinds[0].report_as = label;
  return run_load(load);
}

}  // namespace

scenario_report measure_path(const bench_options& options, std::vector<broken_promise>& broken) {
  scenario_report report;
  demo::deployment target(path_plan(), options.seed);
  failure reason;
  if (!target.start(reason) || !target.wait_served(start_limit)) {
    broken.push_back({promise::nothing_lost, "the deployment did not start"});
    return report;
  }
  // A restart shows which threads belong to the entry agent.
  target.lose(0);
  const auto other_threads = thread_ids();
  if (!target.restart(0, reason) || !target.wait_served(start_limit)) {
    broken.push_back({promise::nothing_lost, "the entry agent did not start again"});
    return report;
  }
  auto entry_threads = thread_ids();
  std::erase_if(entry_threads, [&](const auto& id) { return other_threads.contains(id); });

  const std::string service = target.plan().services[0].name;
  const endpoint entry = target.nodes()[0].agent_process->description().caller;
  const endpoint owner = target.nodes()[1].upstream_process->address();
  promise_checker checker;
  std::vector<request_log> probe_log;
  const std::string key = key_of(target, entry, owner, probe_log);
  checker.add_log(probe_log);

  auto load = lookups(service, entry, calibration_rate, options.duration, options.seed);
  const auto before = processor_time(entry_threads);
  const auto calibration = run_path(load, key, "calibration");
  const double used = (processor_time(entry_threads) - before).count();
  const double per_core = static_cast<double>(calibration.log.size()) / used;
  checker.add_log(calibration.log);

  load.schedule.seed += 1;
  load.schedule.kinds[0].rate = per_core / 2;
  const auto routed = run_path(load, key, "path");
  checker.add_log(routed.log);
  for (const auto& records : target.all_records()) checker.add_records(records);
  broken = checker.check();
  load.agents = {owner};
  load.direct = true;
  const auto direct = run_path(load, key, "path");

  report.result = routed;
  report.result.labels[0].label = "two agents";
  report.result.labels.push_back(direct.labels[0]);
  report.result.labels[1].label = "direct";
  const double added = quantile_ms(routed, 0.99) - quantile_ms(direct, 0.99);
  report.figures = {{"small requests forwarded a second a core of the entry agent",
                     per_core,
                     "/s",
                     {},
                     requests_per_core_min},
                    {"added latency p50 at half load",
                     quantile_ms(routed, 0.5) - quantile_ms(direct, 0.5),
                     "ms",
                     {},
                     {}},
                    {"added latency p99 at half load", added, "ms", added_p99_ms_max, {}}};
  return report;
}

}  // namespace masticshunt::bench
