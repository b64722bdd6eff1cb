#include "fleet/internal/agent_gauges.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace {

using read_value = double (*)(const gauge_sources& sources);

/// A gauge and the function that reads its value.
struct gauge_definition {
  const char* family;
  const char* help;
  read_value read;
};

double count(auto number) {
  return static_cast<double>(number);
}

constexpr std::array gauge_definitions{
    gauge_definition{
        "masticshunt_state_version", "Version of the desired state in force",
        [](const gauge_sources& sources) { return count(sources.view.routes().version()); }},
    gauge_definition{"masticshunt_state_unconfirmed_seconds",
                     "Time since the store last confirmed that the desired state is the newest",
                     [](const gauge_sources& sources) {
                       const auto age = sources.view.state_age(boot_now()).value_or(duration{});
                       return std::chrono::duration<double>(age).count();
                     }},
    gauge_definition{
        "masticshunt_agents_known", "Registrations known",
        [](const gauge_sources& sources) { return count(sources.view.directory.all().size()); }},
    gauge_definition{
        "masticshunt_gate_running", "Requests at the upstream",
        [](const gauge_sources& sources) { return count(sources.gate.load().running); }},
    gauge_definition{
        "masticshunt_gate_waiting", "Requests waiting at the gate",
        [](const gauge_sources& sources) { return count(sources.gate.load().waiting); }},
    gauge_definition{"masticshunt_gate_slots", "Requests that the upstream runs at once",
                     [](const gauge_sources& sources) { return count(sources.gate.load().slots); }},
    gauge_definition{
        "masticshunt_upstream_limit",
        "Requests a second that the upstream says it takes; -1 without a limit",
        [](const gauge_sources& sources) { return sources.gate.request_limit().value_or(-1); }},
    gauge_definition{
        "masticshunt_refused_limited_total", "Requests refused because of the upstream's limit",
        [](const gauge_sources& sources) { return count(sources.gate.refused_limited()); }},
    gauge_definition{"masticshunt_upstream_cold", "1 while the upstream counts as cold",
                     [](const gauge_sources& sources) { return sources.gate.cold() ? 1.0 : 0.0; }},
    gauge_definition{"masticshunt_evacuated_zones",
                     "Zones whose upstreams operators want to get no requests",
                     [](const gauge_sources& sources) {
                       return count(sources.view.evacuations.zones().size());
                     }},
    gauge_definition{"masticshunt_refused_evacuated_total",
                     "Requests refused because the upstream's zone is evacuated",
                     [](const gauge_sources& sources) {
                       return count(sources.gate.counts().refused_evacuated);
                     }},
    gauge_definition{
        "masticshunt_refused_region_total", "Requests refused because of the upstream's region",
        [](const gauge_sources& sources) { return count(sources.gate.counts().refused_region); }},
    gauge_definition{
        "masticshunt_upstream_connections_opened_total", "Connections opened to the upstream",
        [](const gauge_sources& sources) { return count(sources.gate.connections_opened()); }},
    gauge_definition{
        "masticshunt_sent_after_leaving_total",
        "Broken promise: requests sent after the upstream's drain time",
        [](const gauge_sources& sources) { return count(sources.gate.counts().sent_after_drain); }},
    gauge_definition{
        "masticshunt_started_late_total", "Broken promise: requests started after their deadline",
        [](const gauge_sources& sources) { return count(sources.gate.started_late()); }},
    gauge_definition{"masticshunt_ranges_held", "Ranges of keys that the upstream holds",
                     [](const gauge_sources& sources) {
                       return sources.claims.holder() == nullptr
                                  ? 0.0
                                  : count(sources.claims.holder()->range_count());
                     }},
    gauge_definition{"masticshunt_hold_right_seconds",
                     "For how long the upstream may hold keys from now on",
                     [](const gauge_sources& sources) {
                       if (sources.claims.holder() == nullptr) return 0.0;
                       const auto remaining = sources.claims.holder()->lease_end() - boot_now();
                       return std::max(0.0, std::chrono::duration<double>(remaining).count());
                     }},
    gauge_definition{
        "masticshunt_leads", "1 while this agent may change owners of keys",
        [](const gauge_sources& sources) { return sources.claims.leads(boot_now()) ? 1.0 : 0.0; }},
    gauge_definition{
        "masticshunt_store_reached", "1 while the store answers",
        [](const gauge_sources& sources) { return sources.store.reached() ? 1.0 : 0.0; }},
    gauge_definition{"masticshunt_store_era", "Era of the store: rises when it lost what it had",
                     [](const gauge_sources& sources) { return count(sources.store.era()); }},
    gauge_definition{
        "masticshunt_store_calls_total", "Calls to the store",
        [](const gauge_sources& sources) { return count(sources.store.counts().calls); }},
    gauge_definition{
        "masticshunt_store_refused_total", "Calls that the store refused",
        [](const gauge_sources& sources) { return count(sources.store.counts().refused); }},
    gauge_definition{
        "masticshunt_store_unanswered_total", "Calls without an answer of the store",
        [](const gauge_sources& sources) { return count(sources.store.counts().unanswered); }},
    gauge_definition{"masticshunt_heap_used_bytes", "Bytes that the process has allocated",
                     [](const gauge_sources& /*sources*/) {
                       const auto heap = ::mallinfo2();
                       return count(heap.uordblks + heap.hblkhd);
                     }},
    gauge_definition{
        "masticshunt_heap_kept_bytes", "Freed bytes that the allocator keeps",
        [](const gauge_sources& /*sources*/) { return count(::mallinfo2().fordblks); }},
    gauge_definition{"masticshunt_log_lines_lost_total", "Lines that standard output did not take",
                     [](const gauge_sources& sources) { return count(sources.log.lost()); }},
};

}  // namespace

void add_agent_gauges(support::metrics_registry& metrics, const gauge_sources& sources) {
  for (const gauge_definition& gauge : gauge_definitions)
    metrics.make_gauge({gauge.family, gauge.help, {}},
                       [sources, read = gauge.read] { return read(sources); });
  constexpr std::array shares{std::pair{requests::memory_share::callers, "callers"},
                              std::pair{requests::memory_share::peers, "peers"}};
  for (const auto& [share, name] : shares) {
    metrics.make_gauge(
        {"masticshunt_memory_held_bytes",
         "Bytes that are held for others, by share of the budget",
         {{"share", name}}},
        [&budget = sources.budget, share = share] { return count(budget.held(share)); });
    metrics.make_gauge(
        {"masticshunt_memory_limit_bytes", "The budget of each share", {{"share", name}}},
        [&budget = sources.budget, share = share] { return count(budget.limit(share)); });
  }
  constexpr std::array kinds{std::pair{support::line_class::process, "process"},
                             std::pair{support::line_class::failure, "failure"},
                             std::pair{support::line_class::success, "success"}};
  for (const auto& [kind, name] : kinds)
    metrics.make_gauge({"masticshunt_log_lines_held_back_total",
                        "Lines over the log's budget, by class",
                        {{"class", name}}},
                       [&log = sources.log, kind = kind] { return count(log.held_back(kind)); });
}

}  // namespace masticshunt::fleet
