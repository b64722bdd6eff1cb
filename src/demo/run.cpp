#include "masticshunt/demo/run.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <functional>
#include <ranges>
#include <thread>

#include "demo/internal/owner_change_counter.h"
#include "masticshunt/bench/guarantee_checker.h"
#include "masticshunt/bench/load_generator.h"
#include "masticshunt/bench/report.h"
#include "masticshunt/demo/deployment.h"

namespace masticshunt::demo {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds start_limit{20'000};
constexpr milliseconds live_interval{1'000};
constexpr std::uint64_t upload_bytes = 256 * 1024;

/// An action at a fraction of the load's duration.
struct scripted_step {
  double at_share = 0;
  std::string text;
  std::function<void()> action;
};

bench::request_kind kind(const std::string& service, const std::string& rank,
                         const std::string& label, const std::string& method, double rate,
                         std::uint64_t body_bytes) {
  bench::request_kind result;
  result.service = service;
  result.rank = rank;
  result.report_as = label;
  result.method = method;
  result.rate = rate;
  result.body_bytes = body_bytes;
  return result;
}

/// Returns the mixed load of a deployment: look-ups, non-idempotent requests and uploads.
std::vector<bench::request_kind> mixed_load(const deployment_plan& plan) {
  const auto& viewer = plan.services.at(0).name;
  const auto& ledger = plan.services.at(1).name;
  const auto& archive = plan.services.at(2).name;
  return {kind(viewer, "urgent", "urgent look-up", "GET", 60, 0),
          kind(viewer, "normal", "normal look-up", "GET", 200, 0),
          kind(ledger, "urgent", "urgent booking", "POST", 40, 512),
          kind(ledger, "normal", "normal booking", "POST", 30, 512),
          kind(archive, "bulk", "bulk upload", "PUT", 15, upload_bytes)};
}

bench::load_settings load_of(deployment& target, const demo_options& options) {
  bench::load_settings load;
  load.agents = target.caller_endpoints();
  load.schedule.kinds = mixed_load(target.plan());
  load.schedule.popularity.hot_key_shift_interval = milliseconds{options.duration} / 4;
  load.schedule.duration = options.duration;
  load.schedule.seed = options.seed;
  load.retry.attempts_max = 3;
  return load;
}

std::uint64_t runs_so_far(deployment& target) {
  std::uint64_t runs = 0;
  for (const auto& each : target.nodes()) {
    if (each.upstream_process) runs += each.upstream_process->counts().runs;
  }
  return runs;
}

/// Runs the load on a separate thread; the calling thread runs the script and prints a line a
/// second.
void run_with_script(deployment& target, bench::load_generator& load,
                     boost::asio::io_context& context, std::vector<scripted_step> script,
                     std::chrono::seconds duration) {
  std::atomic<bool> done{false};
  load.start([&] {
    done = true;
    context.stop();
  });
  std::thread runner([&] { context.run(); });
  const auto start = std::chrono::steady_clock::now();
  auto next_line = start + live_interval;
  auto last_runs = runs_so_far(target);
  auto step = script.begin();
  while (!done) {
    const auto now = std::chrono::steady_clock::now();
    if (step != script.end() && now - start >= duration * step->at_share) {
      std::printf("  %5.1f s  %s\n", std::chrono::duration<double>(now - start).count(),
                  step->text.c_str());
      step->action();
      ++step;
    }
    if (now >= next_line) {
      const auto runs = runs_so_far(target);
      std::printf("  %5.1f s  %llu requests run in the last second\n",
                  std::chrono::duration<double>(now - start).count(),
                  static_cast<unsigned long long>(runs - last_runs));
      std::fflush(stdout);
      last_runs = runs;
      next_line += live_interval;
    }
    std::this_thread::sleep_for(milliseconds{10});
  }
  runner.join();
}

std::vector<scripted_step> script_of(deployment& target, owner_change_counter& owner_changes) {
  const auto drained = target.first_node_of(target.plan().services.at(0).name);
  const auto lost = target.first_node_of(target.plan().services.at(1).name);
  const auto name_of = [&target](std::size_t index) { return target.nodes().at(index).name; };
  return {{0.20, "drain " + name_of(drained), [=, &target] { target.set_drained(drained, true); }},
          {0.40, "undrain " + name_of(drained),
           [=, &target, &owner_changes] {
             owner_changes.record("drain");
             target.set_drained(drained, false);
           }},
          {0.50, "lose the VM " + name_of(lost),
           [=, &target, &owner_changes] {
             owner_changes.record("undrain");
             target.crash_node(lost);
           }},
          {0.85, "start the VM " + name_of(lost) + " again", [=, &target, &owner_changes] {
             owner_changes.record("loss");
             failure reason;
             if (!target.restart(lost, reason))
               std::printf("  restart failed: %s\n", reason.describe().c_str());
           }}};
}

bool report(deployment& target, const bench::load_result& result,
            const owner_change_counter& owner_changes) {
  bench::guarantee_checker checker;
  checker.add_log(result.log);
  for (const auto& records : target.all_records()) checker.add_records(records);
  const auto violations = checker.check();

  std::printf("\n%s\n", bench::to_table(result).c_str());
  std::printf("owner changes: %s\n", owner_changes.summary().c_str());
  std::printf("longest time a requested key was not served: %.2f s\n",
              std::chrono::duration<double>(result.longest_unavailable()).count());
  std::printf("broken promises: %zu\n", violations.size());
  constexpr std::size_t shown_max = 10;
  for (const auto& each : violations | std::views::take(shown_max)) {
    std::printf("  %s: %s\n", std::string(to_string(each.kind)).c_str(), each.detail.c_str());
  }
  return violations.empty();
}

bool run_deployment(const deployment_plan& plan, const demo_options& options) {
  std::printf("== %s: %zu failure domains, %zu services\n", plan.name.c_str(), plan.domains.size(),
              plan.services.size());
  deployment target(plan, options.seed);
  failure reason;
  if (!target.start(reason)) {
    std::printf("the deployment did not start: %s\n", reason.describe().c_str());
    return false;
  }
  const auto started = std::chrono::steady_clock::now();
  if (!target.wait_until_routable(start_limit)) {
    std::printf("not all keys had an owner within %lld ms\n",
                static_cast<long long>(start_limit.count()));
    return false;
  }
  const std::chrono::duration<double> startup = std::chrono::steady_clock::now() - started;
  std::printf("all keys have an owner %.2f s after the start; load for %lld s\n", startup.count(),
              static_cast<long long>(options.duration.count()));
  owner_change_counter owner_changes(target);
  owner_changes.record("start");
  boost::asio::io_context context;
  bench::load_generator load(context, load_of(target, options));
  run_with_script(target, load, context, script_of(target, owner_changes), options.duration);
  owner_changes.record("restart");
  return report(target, load.result(), owner_changes);
}

}  // namespace

int run(const demo_options& options) {
  std::vector<deployment_plan> plans = {imhof_plan(), llyfrnod_plan()};
  if (options.deployment != "both") {
    std::erase_if(plans, [&](const auto& plan) { return plan.name != options.deployment; });
  }
  if (plans.empty()) {
    std::printf("no deployment is called %s; use imhof, llyfrnod or both\n",
                options.deployment.c_str());
    return 2;
  }
  bool all_kept = true;
  for (const auto& plan : plans) all_kept = run_deployment(plan, options) && all_kept;
  std::printf("\n%s\n", all_kept ? "every promise was kept" : "a promise was broken, see above");
  return all_kept ? 0 : 1;
}

}  // namespace masticshunt::demo
