#include "fleet/internal/agent_gauges.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace {

using read_figure = double (*)(const gauge_sources& from);

/// One figure of an agent.
struct figure {
  const char* family;
  const char* help;
  read_figure read;
};

double count(auto number) {
  return static_cast<double>(number);
}

constexpr std::array figures{
    figure{"masticshunt_state_version", "Version of the desired state in force",
           [](const gauge_sources& from) { return count(from.known.routes().version()); }},
    figure{"masticshunt_agents_known", "Registrations known",
           [](const gauge_sources& from) { return count(from.known.directory.all().size()); }},
    figure{"masticshunt_gate_running", "Requests at the upstream",
           [](const gauge_sources& from) { return count(from.gate.load().running); }},
    figure{"masticshunt_gate_waiting", "Requests waiting at the gate",
           [](const gauge_sources& from) { return count(from.gate.load().waiting); }},
    figure{"masticshunt_gate_slots", "Requests that the upstream runs at once",
           [](const gauge_sources& from) { return count(from.gate.load().slots); }},
    figure{"masticshunt_upstream_connections_opened_total", "Connections opened to the upstream",
           [](const gauge_sources& from) { return count(from.gate.connections_opened()); }},
    figure{"masticshunt_sent_after_leaving_total",
           "Broken promise: requests sent after the upstream's drain time",
           [](const gauge_sources& from) { return count(from.gate.counts().sent_after_drain); }},
    figure{"masticshunt_started_late_total",
           "Broken promise: requests started after their deadline",
           [](const gauge_sources& from) { return count(from.gate.started_late()); }},
    figure{"masticshunt_ranges_held", "Ranges of keys that the upstream holds",
           [](const gauge_sources& from) {
             return from.claims.holder() == nullptr ? 0.0
                                                    : count(from.claims.holder()->range_count());
           }},
    figure{"masticshunt_hold_right_seconds", "For how long the upstream may hold keys from now on",
           [](const gauge_sources& from) {
             if (from.claims.holder() == nullptr) return 0.0;
             const auto left = from.claims.holder()->lease_end() - boot_now();
             return std::max(0.0, std::chrono::duration<double>(left).count());
           }},
    figure{"masticshunt_leads", "1 while this agent may change owners of keys",
           [](const gauge_sources& from) { return from.claims.leads(boot_now()) ? 1.0 : 0.0; }},
    figure{"masticshunt_store_reached", "1 while the store answers",
           [](const gauge_sources& from) { return from.store.reached() ? 1.0 : 0.0; }},
    figure{"masticshunt_store_calls_total", "Calls to the store",
           [](const gauge_sources& from) { return count(from.store.counts().calls); }},
    figure{"masticshunt_store_refused_total", "Calls that the store refused",
           [](const gauge_sources& from) { return count(from.store.counts().refused); }},
    figure{"masticshunt_store_unanswered_total", "Calls without an answer of the store",
           [](const gauge_sources& from) { return count(from.store.counts().unanswered); }},
    figure{"masticshunt_log_lines_lost_total", "Lines that standard output did not take",
           [](const gauge_sources& from) { return count(from.log.lost()); }},
};

}  // namespace

void add_agent_gauges(support::metrics_registry& metrics, const gauge_sources& from) {
  for (const figure& each : figures)
    metrics.make_gauge({each.family, each.help, {}},
                       [from, read = each.read] { return read(from); });
  constexpr std::array kinds{std::pair{support::line_class::process, "process"},
                             std::pair{support::line_class::failure, "failure"},
                             std::pair{support::line_class::success, "success"}};
  for (const auto& [kind, name] : kinds)
    metrics.make_gauge({"masticshunt_log_lines_held_back_total",
                        "Lines over the log's budget, by class",
                        {{"class", name}}},
                       [&log = from.log, kind = kind] { return count(log.held_back(kind)); });
}

}  // namespace masticshunt::fleet
