#include <algorithm>
#include <functional>

#include "bench/internal/scenario.h"
#include "bench/internal/scripted_load.h"

namespace masticshunt::bench {

namespace {

using std::chrono::milliseconds;

/// The offered load of each rank in the baseline, as a share of the capacity.
constexpr double urgent_share = 0.15;
constexpr double normal_share = 0.15;
constexpr double bulk_share = 0.20;

constexpr double flood_factor = 10;
/// Raises the baseline, half of the capacity, to ten times the capacity.
constexpr double overload_factor = 20;

constexpr std::uint64_t booking_bytes = 256;
constexpr std::uint64_t upload_bytes = 4'096;
constexpr milliseconds urgent_deadline{2'000};
constexpr milliseconds normal_deadline{3'000};
constexpr milliseconds bulk_deadline{5'000};
/// Few enough that every key is requested several times a second.
constexpr std::uint32_t retrying_load_keys = 200;
constexpr double stalled_rate = 2;
constexpr milliseconds stall_time{1'000};
constexpr milliseconds settle_round{500};
constexpr milliseconds settle_limit{10'000};

// Targets of the issue "Every request, under any load".
constexpr double urgent_p99_ratio_max = 1.2;
constexpr double served_share_min = 0.95;
constexpr double goodput_share_min = 0.95;
constexpr double stalled_p99_ratio_max = 1.1;
// Requirement: a key is served again within 3 s of a loss.
constexpr double unavailable_seconds_max = 3;

request_kind kind_of(const std::string& service, const std::string& rank, const std::string& method,
                     double rate, std::uint64_t body_bytes, milliseconds deadline) {
  request_kind kind;
  kind.service = service;
  kind.rank = rank;
  kind.method = method;
  kind.rate = rate;
  kind.body_bytes = body_bytes;
  kind.deadline = deadline;
  return kind;
}

load_settings baseline_load(const scenario_context& context, std::string_view name) {
  const std::string& service = context.target.plan().services.at(0).name;
  load_settings load;
  load.name = name;
  load.agents = context.target.caller_endpoints();
  load.schedule.kinds = {
      kind_of(service, "urgent", "GET", context.capacity * urgent_share, 0, urgent_deadline),
      kind_of(service, "normal", "POST", context.capacity * normal_share, booking_bytes,
              normal_deadline),
      kind_of(service, "bulk", "PUT", context.capacity * bulk_share, upload_bytes, bulk_deadline)};
  load.schedule.popularity = {10'000, 0.5, context.options.duration / 3};
  load.schedule.duration = context.options.duration;
  load.schedule.seed = context.options.seed;
  load.warm_up = context.options.duration / 5;
  return load;
}

/// Returns a load whose callers retry after every failure, so that retries of non-idempotent
/// requests reach the idempotency ledger and other agents.
load_settings retrying_load(const scenario_context& context, std::string_view name) {
  load_settings load = baseline_load(context, name);
  load.retry.attempts_max = 4;
  load.retry.after_may_have_run = true;
  load.schedule.popularity.keys = retrying_load_keys;
  load.warm_up = milliseconds(0);
  return load;
}

double p99_ms(const load_result& result, std::string_view label) {
  return std::chrono::duration<double, std::milli>(result.result_for(label).latency.quantile(0.99))
      .count();
}

figure p99_ratio(const scenario_context& context, const load_result& result, std::string_view label,
                 std::optional<double> at_most) {
  const double before = p99_ms(context.baseline, label);
  return {std::string(label) + " p99 / its quiet p99",
          p99_ms(result, label) / before,
          "x",
          at_most,
          {}};
}

figure unavailable(const load_result& result, std::optional<double> at_most) {
  return {"longest time a requested key was not served",
          std::chrono::duration<double>(result.longest_unavailable()).count(),
          "s",
          at_most,
          {}};
}

/// Returns the goodput of `label` as a share of min(demand, floor).
figure floor_share(const scenario_context& context, const load_result& result,
                   std::string_view label) {
  const auto& ranks = context.target.plan().services.at(0).ranks;
  const auto rank = std::ranges::find(ranks, label, &configuration::rank_record::name);
  const double floor = rank == ranks.end() ? 0 : rank->floor;
  const double expected = std::min(result.demand(label), floor * context.capacity);
  return {std::string(label) + " served / min(its demand, its floor)",
          result.goodput(label) / expected,
          "x",
          {},
          served_share_min};
}

/// Sends short loads until every request of one load is served.
figure settle(const scenario_context& context) {
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed = [&] { return std::chrono::steady_clock::now() - start; };
  while (elapsed() < settle_limit) {
    load_settings load = baseline_load(context, "settle-" + std::to_string(context.settle_loads++));
    load.schedule.duration = settle_round;
    load.warm_up = milliseconds(0);
    const auto result = run_load(load);
    const bool served = std::ranges::all_of(
        result.log, [](const auto& each) { return each.outcome() == attempt_outcome::served; });
    if (served) break;
  }
  return {"time until a round of requests was served whole",
          std::chrono::duration<double>(elapsed()).count(),
          "s",
          {},
          {}};
}

/// Returns the index of the node whose upstream serves the most requests, so that a fault there
/// affects the load.
std::size_t busiest_node(const scenario_context& context) {
  const auto runs = [&] {
    std::vector<std::uint64_t> counts;
    for (const auto& node : context.target.nodes()) {
      counts.push_back(node.upstream_process->counts().runs);
    }
    return counts;
  };
  const auto before = runs();
  settle(context);
  auto added = runs();
  std::ranges::transform(added, before, added.begin(), std::minus{});
  return static_cast<std::size_t>(std::ranges::max_element(added) - added.begin());
}

scenario_report run_baseline(scenario_context& context) {
  const figure settled = settle(context);
  scenario_report report;
  report.result = run_load(baseline_load(context, "quiet"));
  context.baseline = report.result;
  const double seconds = std::chrono::duration<double>(report.result.measured).count();
  double offered = 0;
  for (const auto& label : report.result.labels) offered += static_cast<double>(label.offered);
  report.figures = {settled,
                    {"served / offered", report.result.goodput() * seconds / offered, "x", {}, {}}};
  return report;
}

scenario_report run_flood_least(scenario_context& context) {
  load_settings load = baseline_load(context, "flood-least");
  load.schedule.floods = {{"bulk", flood_factor, milliseconds(0), context.options.duration}};
  scenario_report report{run_load(load), {}};
  report.figures = {p99_ratio(context, report.result, "urgent", urgent_p99_ratio_max),
                    p99_ratio(context, report.result, "normal", {}),
                    floor_share(context, report.result, "urgent"),
                    floor_share(context, report.result, "normal"),
                    {"served / capacity", report.result.goodput() / context.capacity, "x", {}, {}}};
  return report;
}

scenario_report run_flood_most(scenario_context& context) {
  load_settings load = baseline_load(context, "flood-most");
  load.schedule.floods = {{"urgent", flood_factor, milliseconds(0), context.options.duration}};
  scenario_report report{run_load(load), {}};
  report.figures = {floor_share(context, report.result, "normal"),
                    floor_share(context, report.result, "bulk"),
                    {"served / capacity", report.result.goodput() / context.capacity, "x", {}, {}}};
  return report;
}

scenario_report run_overload(scenario_context& context) {
  load_settings load = baseline_load(context, "overload");
  for (const auto& kind : load.schedule.kinds) {
    load.schedule.floods.push_back(
        {kind.rank, overload_factor, milliseconds(0), context.options.duration});
  }
  scenario_report report{run_load(load), {}};
  report.figures = {{"served / capacity at 10x the capacity",
                     report.result.goodput() / context.capacity,
                     "x",
                     {},
                     goodput_share_min}};
  return report;
}

template <class Change>
void change_faults(demo::node& node, Change change) {
  auto faults = node.upstream_process->faults();
  change(faults);
  node.upstream_process->set_faults(faults);
}

scenario_report run_stalled_key(scenario_context& context) {
  load_settings load = baseline_load(context, "stalled-key");
  request_kind stalled =
      kind_of(load.schedule.kinds[0].service, "urgent", "GET", stalled_rate, 0, bulk_deadline);
  stalled.report_as = "stalled key";
  stalled.key = "stalled";
  load.schedule.kinds.push_back(stalled);
  for (auto& node : context.target.nodes()) {
    change_faults(node, [](auto& faults) {
      faults.stalled_key = "stalled";
      faults.stall = stall_time;
    });
  }
  scenario_report report{run_load(load), {}};
  for (auto& node : context.target.nodes()) {
    change_faults(node, [](auto& faults) { faults.stalled_key.clear(); });
  }
  report.figures = {p99_ratio(context, report.result, "urgent", stalled_p99_ratio_max)};
  return report;
}

scenario_report run_node_loss(scenario_context& context) {
  const std::size_t victim = busiest_node(context);
  const std::vector<timed_step> script = {
      {context.options.duration / 4, [&] { context.target.crash_node(victim); }}};
  scenario_report report{run_load(retrying_load(context, "lost"), script), {}};
  report.figures = {unavailable(report.result, unavailable_seconds_max)};
  failure reason;
  context.target.restart(victim, reason);
  context.target.wait_until_routable(settle_limit);
  return report;
}

scenario_report run_frozen_upstream(scenario_context& context) {
  auto& victim = context.target.nodes().at(busiest_node(context));
  const auto set_frozen = [&](bool frozen) {
    change_faults(victim, [&](auto& faults) { faults.frozen = frozen; });
  };
  const std::vector<timed_step> script = {
      {context.options.duration / 4, [&] { set_frozen(true); }},
      {context.options.duration * 3 / 4, [&] { set_frozen(false); }}};
  scenario_report report{run_load(retrying_load(context, "frozen"), script), {}};
  set_frozen(false);
  report.figures = {unavailable(report.result, {})};
  context.target.wait_until_routable(settle_limit);
  return report;
}

scenario_report run_hung_connections(scenario_context& context) {
  auto& victim = context.target.nodes().at(busiest_node(context));
  const std::vector<timed_step> script = {
      {context.options.duration / 4, [&] { victim.upstream_process->hang_open_connections(); }}};
  scenario_report report{run_load(retrying_load(context, "silent"), script), {}};
  report.figures = {unavailable(report.result, {})};
  return report;
}

scenario_report run_false_health(scenario_context& context) {
  auto& victim = context.target.nodes().at(busiest_node(context));
  change_faults(victim, [](auto& faults) {
    faults.claimed_healthy = false;
    faults.claimed_busy = 1'000;
  });
  scenario_report report{run_load(baseline_load(context, "lying")), {}};
  change_faults(victim, [](auto& faults) {
    faults.claimed_healthy.reset();
    faults.claimed_busy.reset();
  });
  report.figures = {{"served / served when quiet",
                     report.result.goodput() / context.baseline.goodput(),
                     "x",
                     {},
                     served_share_min}};
  return report;
}

}  // namespace

const std::vector<scenario>& load_scenarios() {
  static const std::vector<scenario> table = {
      {"quiet", "half of the capacity, no faults", &run_baseline},
      {"flood-least", "10x flood of the least urgent rank", &run_flood_least},
      {"flood-most", "10x flood of the most urgent rank", &run_flood_most},
      {"overload", "ten times the capacity, all ranks", &run_overload},
      {"stalled-key", "one key whose requests take a second longer", &run_stalled_key},
      {"lying", "one upstream reports that it is ill and busy", &run_false_health},
      {"silent", "open connections to one upstream go silent", &run_hung_connections},
      {"frozen", "one upstream freezes and comes back", &run_frozen_upstream},
      {"lost", "one VM with its agent and upstream is lost", &run_node_loss}};
  return table;
}

}  // namespace masticshunt::bench
