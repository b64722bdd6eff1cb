#include "masticshunt/bench/run.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ranges>

#include "bench/internal/scenario.h"

namespace masticshunt::bench {

namespace {

constexpr std::chrono::milliseconds start_limit{20'000};
constexpr std::size_t violations_shown_max = 10;
// Target of the issue "Every request, under any load".
constexpr double retry_share_max = 0.1;
/// Long enough that load and faults determine latencies, not the scheduling of the machine.
constexpr std::chrono::microseconds service_time{50'000};

/// Collects results and prints each when it is added.
class bench_log {
 public:
  explicit bench_log(const bench_options& options) : options_(options), csv_(csv_header()) {}

  void add(const std::string& deployment, std::string_view name, std::string_view summary,
           const scenario_report& report) {
    std::printf("\n-- %s/%s: %s\n%s%s%s", deployment.c_str(), std::string(name).c_str(),
                std::string(summary).c_str(), to_table(report.result).c_str(),
                to_reasons(report.result).c_str(), to_table(report.figures).c_str());
    std::fflush(stdout);
    missed_ += static_cast<std::size_t>(
        std::ranges::count_if(report.figures, [](const auto& each) { return !each.met(); }));
    const std::string full_name = deployment + "-" + std::string(name);
    csv_ += to_csv(full_name, report.result);
    for (const auto& each : report.figures)
      figures_.push_back(
          {full_name + ": " + each.name, each.value, each.unit, each.at_most, each.at_least});
    write(full_name + ".svg", to_svg(full_name, "s", "served/s", goodput_lines(report.result)));
  }

  void add_violations(const std::vector<guarantee_violation>& violations) {
    violation_count_ += violations.size();
    std::printf("\nbroken promises: %zu\n", violations.size());
    for (const auto& each : violations | std::views::take(violations_shown_max)) {
      std::printf("  %s: %s\n", std::string(to_string(each.kind)).c_str(), each.detail.c_str());
    }
  }

  int finish() {
    write("results.csv", csv_);
    std::printf("\n== figures beside their targets\n%s", to_table(figures_).c_str());
    std::printf("targets missed: %zu; broken promises: %zu\n", missed_, violation_count_);
    return violation_count_ > 0 || (options_.strict && missed_ > 0) ? 1 : 0;
  }

 private:
  void write(const std::string& name, const std::string& text) const {
    if (options_.output_directory.empty()) return;
    std::filesystem::create_directories(options_.output_directory);
    std::ofstream(std::filesystem::path(options_.output_directory) / name) << text;
  }

  const bench_options& options_;
  std::string csv_;
  std::vector<figure> figures_;
  std::size_t missed_ = 0;
  std::size_t violation_count_ = 0;
};

bool is_selected(const bench_options& options, std::string_view name) {
  return options.scenarios.empty() ||
         std::ranges::find(options.scenarios, name) != options.scenarios.end();
}

/// Returns the plan reduced to its first service, with a service time of `service_time`.
demo::deployment_plan bench_plan(demo::deployment_plan plan) {
  plan.services.resize(1);
  plan.services[0].service_time = service_time;
  return plan;
}

double capacity_of(const demo::deployment_plan& plan) {
  const auto& service = plan.services.at(0);
  const double seconds = std::chrono::duration<double>(service.service_time).count();
  return static_cast<double>(plan.domains.size() * service.slots) / seconds;
}

figure imbalance_of(demo::deployment& target) {
  std::vector<double> runs;
  for (const auto& node : target.nodes()) {
    runs.push_back(static_cast<double>(node.upstream_process->counts().runs));
  }
  double sum = 0;
  std::ranges::for_each(runs, [&](double each) { sum += each; });
  const double mean = sum / static_cast<double>(runs.size());
  return {"runs of the busiest upstream / mean", std::ranges::max(runs) / mean, "x", {}, {}};
}

/// Returns the number of retries of each agent so far; 0 for an agent that is down.
std::vector<std::uint64_t> retries_of(demo::deployment& target) {
  std::vector<std::uint64_t> retries;
  for (const auto& node : target.nodes()) {
    const auto dump = nlohmann::json::parse(node.agent_process ? node.agent_process->dump() : "{}",
                                            nullptr, false);
    retries.push_back(dump.value("/requests/retries"_json_pointer, std::uint64_t{0}));
  }
  return retries;
}

figure retry_share(const std::vector<std::uint64_t>& before,
                   const std::vector<std::uint64_t>& after, std::size_t requests) {
  std::uint64_t retries = 0;
  for (std::size_t index = 0; index < before.size(); ++index) {
    retries += after[index] > before[index] ? after[index] - before[index] : 0;
  }
  return {"retries by agents / first attempts",
          static_cast<double>(retries) / static_cast<double>(std::max<std::size_t>(requests, 1)),
          "x",
          retry_share_max,
          {}};
}

/// Prints the numbers of requests and connections that the upstreams refused so far.
void print_refusals(demo::deployment& target) {
  std::printf("refused by upstreams so far:");
  for (const auto& node : target.nodes()) {
    const auto counts = node.upstream_process->counts();
    std::printf("  shed %llu fenced %llu late %llu cut %llu connections %llu",
                static_cast<unsigned long long>(counts.shed),
                static_cast<unsigned long long>(counts.fenced),
                static_cast<unsigned long long>(counts.late),
                static_cast<unsigned long long>(counts.truncated_bodies),
                static_cast<unsigned long long>(counts.connections_refused));
  }
  std::printf("\n");
}

bool run_deployment(const demo::deployment_plan& plan, const bench_options& options,
                    bench_log& log) {
  demo::deployment target(plan, options.seed);
  failure reason;
  if (!target.start(reason) || !target.wait_until_routable(start_limit)) {
    std::printf("%s did not start: %s\n", plan.name.c_str(), reason.describe().c_str());
    return false;
  }
  std::printf("== %s: %zu upstreams of %s, capacity %.0f requests/s\n", plan.name.c_str(),
              target.nodes().size(), plan.services[0].name.c_str(), capacity_of(plan));
  scenario_context context{target, options, capacity_of(plan), {}};
  guarantee_checker checker;
  for (const auto& each : load_scenarios()) {
    const bool is_reference = each.name == "quiet";
    if (!is_reference && !is_selected(options, each.name)) continue;
    const auto retries_before = retries_of(target);
    auto report = each.run(context);
    report.figures.push_back(
        retry_share(retries_before, retries_of(target), report.result.log.size()));
    if (is_reference) report.figures.push_back(imbalance_of(target));
    checker.add_log(report.result.log);
    log.add(plan.name, each.name, each.summary, report);
    print_refusals(target);
  }
  for (const auto& records : target.all_records()) checker.add_records(records);
  log.add_violations(checker.check());
  return true;
}

bool check_names(const bench_options& options) {
  const auto names = scenario_names();
  for (const auto& name : options.scenarios) {
    if (std::ranges::find(names, name) != names.end()) continue;
    std::printf("no scenario is called %s; the scenarios are:", name.c_str());
    for (const auto& each : names) std::printf(" %s", std::string(each).c_str());
    std::printf("\n");
    return false;
  }
  return true;
}

}  // namespace

std::vector<std::string_view> scenario_names() {
  std::vector<std::string_view> names;
  std::ranges::transform(load_scenarios(), std::back_inserter(names), &scenario::name);
  names.push_back(path_scenario);
  return names;
}

int run(const bench_options& options) {
  if (!check_names(options)) return 2;
  std::vector<demo::deployment_plan> plans = {demo::imhof_plan(), demo::llyfrnod_plan()};
  if (options.deployment != "both") {
    std::erase_if(plans, [&](const auto& plan) { return plan.name != options.deployment; });
  }
  if (plans.empty()) {
    std::printf("no deployment is called %s; use imhof, llyfrnod or both\n",
                options.deployment.c_str());
    return 2;
  }
  bench_log log(options);
  bool started = true;
  const bool only_path = options.scenarios == std::vector<std::string>{std::string(path_scenario)};
  if (!only_path) {
    for (const auto& plan : plans) {
      started = run_deployment(bench_plan(plan), options, log) && started;
    }
  }
  if (is_selected(options, path_scenario)) {
    std::vector<guarantee_violation> violations;
    const auto report = measure_path(options, violations);
    log.add("loopback", path_scenario, "two agents against a direct call", report);
    log.add_violations(violations);
  }
  const int status = log.finish();
  return started ? status : 1;
}

}  // namespace masticshunt::bench
