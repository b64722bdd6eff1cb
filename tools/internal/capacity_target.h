/// @file
/// The load and state at the target size in two years, derived from the inputs and measurements.
#pragma once

#include "capacity_inputs.h"
#include "capacity_measure.h"

namespace masticshunt::capacity {

inline constexpr double small_message_bytes = 130;  ///< Compact renewal or reply, with headers.
inline constexpr double mebibyte = 1024 * 1024;

/// Returns whether `value` is within the limit `limit`, and by which margin.
inline std::string margin(double value, double limit) {
  if (std::isnan(value)) return "not measured";
  if (value <= limit) return "meets: " + format_number(100 * (1 - value / limit)) + "% to spare";
  return "**misses**: " + format_number(value / limit) + " times too much";
}

/// Figures that several tables share.
struct derived_figures {
  derived_figures(const capacity_inputs& inputs, const measured_slopes& slopes) {
    const double group = inputs.members_per_group;
    changes = inputs.changes_per_second() + inputs.page_writes_per_second();
    spread_bytes = slopes.idle_bytes_per_second + slopes.bytes_per_change * changes;
    spread_core = 2 * slopes.messages_per_change * changes *
                  (slopes.spread_message_us + slopes.channel_message_us / 2) / 1e6;
    page_bytes = slopes.page_bytes_by_members.at(group);
    routing_bytes = slopes.routing_bytes_by_range.at(inputs.ranges());
    pages_bytes = page_bytes * inputs.groups();
    records_bytes = inputs.records * (inputs.record_bytes + slopes.held_bytes_per_object);
    coordinator_bytes = slopes.coordinator_bytes_by_members.at(group);
    coordinator_received = slopes.coordinator_received_by_members.at(group);
    channel_us = slopes.channel_message_us / 2;  // One end of the channel.
    coordinator_core = slopes.coordinator_core_by_members.at(group) +
                       slopes.coordinator_messages_by_members.at(group) * channel_us / 1e6;
    owner_core = slopes.owner_core_share + slopes.owner_messages_per_second * channel_us / 1e6;
    page_core = inputs.page_writes_per_second() * slopes.page_decode_us_by_members.at(group) / 1e6;
    requests = inputs.requests_per_second / inputs.nodes;
    state_bytes = routing_bytes + pages_bytes + records_bytes + slopes.gate_bytes +
                  65'536 * slopes.ledger_bytes_per_identity + slopes.hot_keys_bytes;
    convergence_ms = slopes.convergence_ms_by_log_agents.at(std::log(inputs.nodes));
  }

  double changes = 0;
  double spread_bytes = 0;
  double spread_core = 0;
  double page_bytes = 0;
  double routing_bytes = 0;
  double pages_bytes = 0;
  double records_bytes = 0;
  double coordinator_bytes = 0;
  double coordinator_received = 0;
  double coordinator_core = 0;
  double owner_core = 0;
  double channel_us = 0;
  double page_core = 0;
  double requests = 0;
  double state_bytes = 0;
  double convergence_ms = 0;
};

inline void write_targets(const report& out, const capacity_inputs& inputs,
                          const measured_slopes& slopes, const derived_figures& derived) {
  table rows{"targets", {"target", "what the slopes give", "margin", "mechanism", "kind"}, {}};
  const auto row = [&](const std::string& target, const std::string& value,
                       const std::string& verdict, const std::string& mechanism,
                       const std::string& kind) {
    rows.rows.push_back({target, value, verdict, mechanism, kind});
  };
  const double control = inputs.control_bytes_per_second;
  const double owner_bytes = derived.spread_bytes + slopes.owner_bytes_per_second;
  const double owner_core = derived.spread_core + derived.page_core + derived.owner_core;
  row("control of an ordinary node: 14,000 bytes/s sent", format_number(owner_bytes),
      margin(owner_bytes, control), "one renewal for all ranges; spread by notices and patches",
      "worked out from measured slopes");
  row("control of a standby: 14,000 bytes/s sent",
      format_number(derived.spread_bytes + slopes.standby_bytes_per_second),
      margin(derived.spread_bytes + slopes.standby_bytes_per_second, control),
      "support each 400 ms", "worked out from measured slopes");
  row("control of a coordinator: 14,000 bytes/s sent", format_number(derived.coordinator_bytes),
      margin(derived.coordinator_bytes, control),
      "a renewal names the page, not its ranges; see below what would meet it", "measured");
  row("control of an ordinary node: 1.2% of a core", format_number(100 * owner_core) + "%",
      margin(owner_core, inputs.core_share), "as above", "worked out from measured slopes");
  row("control of a coordinator: 1.2% of a core",
      format_number(100 * derived.coordinator_core) + "%",
      margin(derived.coordinator_core, inputs.core_share), "none yet: see below",
      "worked out: measured decisions, codec and channel");
  row("memory of control: 256 MB", format_number(derived.state_bytes / mebibyte) + " MiB",
      margin(derived.state_bytes, inputs.memory_bytes),
      "32 bytes a range; one page value a group; one object a record",
      "worked out from measured slopes");
  row("a change everywhere: 8 s", format_number(derived.convergence_ms / 1e3) + " s",
      margin(derived.convergence_ms / 1e3, inputs.everywhere_seconds),
      "notices over an undirected graph of 4 chosen peers",
      "worked out: slope over the logarithm of agents, at 20,000");
  row("served again: 3 s after a loss", format_number(slopes.unavailable_ms / 1e3) + " s",
      margin(slopes.unavailable_ms / 1e3, inputs.served_again_seconds),
      "lease of 2 s, one page write", "measured: worst of 3 losses, group of 100");
  row("lookup of an owner: 200 ns at 320,000 ranges", format_number(slopes.lookup_ns) + " ns",
      margin(slopes.lookup_ns, 200), "search from the place among even ranges", "measured");
  const double writes = inputs.changes_per_second() + inputs.page_writes_per_second();
  row("store: 200 writes/s", format_number(writes), margin(writes, inputs.store_writes_per_second),
      "a page write a change of owners, a record write a change", "worked out");
  const double watches = inputs.groups() * inputs.changes_per_second();
  row("store: 1,000 reads/s",
      format_number(watches) + " (one watch a coordinator, woken by each change)",
      margin(watches, inputs.store_reads_per_second), "watches by coordinators only", "worked out");
  out.write(rows);
}

inline void write_coordinator_remedies(const report& out, const capacity_inputs& inputs,
                                       const measured_slopes& slopes,
                                       const derived_figures& derived) {
  table rows{
      "coordinator_remedies", {"change", "sent by each renewer, bytes/s", "margin", "kind"}, {}};
  const auto row = [&](const std::string& change, double value, const std::string& kind) {
    rows.rows.push_back(
        {change, format_number(value), margin(value, inputs.control_bytes_per_second), kind});
  };
  row("as it stands", derived.coordinator_bytes, "measured");
  const double shared =
      (derived.coordinator_bytes - slopes.standby_bytes_per_second) / inputs.renewers_per_group;
  row("owners divided among the 3 renewers", shared + slopes.standby_bytes_per_second,
      "worked out");
  row("the same, and groups of 50 instead of 100", shared / 2 + slopes.standby_bytes_per_second,
      "worked out");
  out.write(rows);
}

inline void write_roles(const report& out, const capacity_inputs& inputs,
                        const measured_slopes& slopes, const derived_figures& derived) {
  table rows{"roles",
             {"role", "nodes in it", "state", "messages/s and bytes/s, ordinary day",
              "worst listed event", "processor a message", "store", "connections"},
             {}};
  rows.rows.push_back({"entry and router", format_number(inputs.nodes),
                       format_number(derived.routing_bytes / inputs.ranges()) +
                           " bytes a range with its share of "
                           "descriptions, " +
                           format_number(derived.routing_bytes / mebibyte) + " MiB",
                       format_number(derived.requests) + " requests/s",
                       "failure domain: the requests of 500 nodes go to the rest, +2.6%",
                       format_number(slopes.lookup_ns) + " ns a lookup (measured)", "none",
                       "to each owner that its callers need, kept open; not counted as control"});
  rows.rows.push_back(
      {"gate", format_number(inputs.nodes),
       format_number(slopes.gate_bytes) + " bytes; ledger " +
           format_number(slopes.ledger_bytes_per_identity) + " bytes an identity; hot keys " +
           format_number(slopes.hot_keys_bytes) + " bytes",
       format_number(derived.requests) + " requests/s", "flood: refusals cost one decision each",
       format_number(slopes.gate_ns) + " ns gate, " + format_number(slopes.ledger_ns) +
           " ns ledger, " + format_number(slopes.hot_keys_ns) + " ns hot keys (measured)",
       "none", "the upstream's, 120"});
  rows.rows.push_back(
      {"owner", format_number(inputs.nodes), "its 16 ranges",
       format_number(slopes.owner_messages_per_second) + " messages/s, " +
           format_number(slopes.owner_bytes_per_second) + " bytes/s (measured)",
       "coordinator lost: the same to a standby",
       format_number(slopes.owner_core_share / slopes.owner_messages_per_second * 1e6) +
           " µs (measured)",
       "none while its renewers are there", "3"});
  rows.rows.push_back(
      {"coordinator", format_number(inputs.groups()),
       format_number(derived.page_bytes) + " bytes of page",
       format_number(slopes.coordinator_messages_by_members.at(inputs.members_per_group)) +
           " messages/s, " + format_number(derived.coordinator_bytes) + " bytes/s sent, " +
           format_number(derived.coordinator_received) + " received (measured)",
       "failure domain: 25 members lost, one plan and one or two page writes",
       format_number(slopes.coordinator_core_by_members.at(inputs.members_per_group) /
                     slopes.coordinator_messages_by_members.at(inputs.members_per_group) * 1e6) +
           " µs; plan " + format_number(slopes.plan_us_by_members.at(inputs.members_per_group)) +
           " µs (measured)",
       format_number(inputs.page_writes_per_second() / inputs.groups()) +
           " writes/s, one waiting watch",
       format_number(inputs.members_per_group)});
  rows.rows.push_back(
      {"standby", format_number(inputs.groups() * (inputs.renewers_per_group - 1)), "the same page",
       format_number(slopes.standby_bytes_per_second) + " bytes/s sent (measured)",
       "coordinator lost: becomes one",
       format_number(100 * slopes.standby_core_share) + "% of a core in all (measured)",
       "none while the other renewers are there", "2 and the group's"});
  rows.rows.push_back(
      {"store reader", format_number(inputs.groups()), "the revision read",
       format_number(inputs.changes_per_second()) + " answers/s",
       "store back after an hour: one list, " + format_number(inputs.changes_per_day / 24) +
           " changes",
       "not measured",
       "one waiting watch, " + format_number(inputs.changes_per_second()) + " reads/s",
       "1 to the store"});
  rows.rows.push_back(
      {"relay in spreading", format_number(16 * inputs.regions),
       format_number(slopes.held_bytes_per_object) + " bytes a record beside its name and value",
       format_number(slopes.messages_per_change * derived.changes) + " messages/s, " +
           format_number(derived.spread_bytes) + " bytes/s; all relays " +
           format_number(slopes.remote_bytes_per_change * derived.changes) +
           " bytes/s between regions",
       "bounded at " + format_number(inputs.spread_bytes_per_second) + " bytes/s and a burst of " +
           format_number(inputs.spread_burst_bytes),
       format_number(slopes.spread_message_us) + " µs (measured)", "none",
       "6 chosen, up to 12 accepted"});
  rows.rows.push_back({"operator's command", "a few", "none", "one call",
                       "two operators: one conditional write wins",
                       format_number(slopes.store_call_us) + " µs a call, both ends (measured)",
                       "1 or 2 calls", "1"});
  out.write(rows);
}

inline void write_request_path(const report& out, const capacity_inputs& inputs) {
  table rows{"request_path", {"path", "Imhof, ms", "of 8 ms", "Llyfrnod, ms", "of 8 ms"}, {}};
  const auto row = [&](const std::string& path, double clients, double domains, double crossings) {
    const auto ms = [&](double client, double domain) {
      return 2 * (clients * client + domains * domain + crossings * inputs.region_one_way_ms);
    };
    const double imhof = ms(inputs.client_one_way_ms_imhof, inputs.domain_one_way_ms_imhof);
    const double llyfrnod =
        ms(inputs.client_one_way_ms_llyfrnod, inputs.domain_one_way_ms_llyfrnod);
    rows.rows.push_back({path, format_number(imhof), margin(imhof, inputs.p99_ms),
                         format_number(llyfrnod), margin(llyfrnod, inputs.p99_ms)});
  };
  row("caller to the owner's own agent", 1, 0, 0);
  row("caller to an agent, owner in another failure domain", 1, 1, 0);
  row("inside the fleet only: agent to owner in another failure domain", 0, 1, 0);
  row("caller to an agent, owner in another region", 1, 0, 1);
  out.write(rows);
  const double exchange = inputs.request_bytes + inputs.answer_bytes;
  const double crossing = inputs.link_bits_per_second / 8 / exchange;
  table links{"links", {"quantity", "figure"}, {}};
  links.rows.push_back({"requests/s that 4 Gbit/s carry, at " + format_number(exchange) +
                            " bytes a request and answer",
                        format_number(crossing)});
  links.rows.push_back(
      {"share of a region's requests that may cross, at the most",
       format_number(100 * crossing / (inputs.requests_per_second / inputs.regions)) + "%"});
  out.write(links);
}

inline void write_events(const report& out, const capacity_inputs& inputs,
                         const measured_slopes& slopes, const derived_figures& derived) {
  table rows{"events", {"event", "step", "figure", "kind"}, {}};
  const auto row = [&](const std::string& event, const std::string& step, const std::string& figure,
                       const std::string& kind) {
    rows.rows.push_back({event, step, figure, kind});
  };
  const double lost = inputs.nodes / inputs.failure_domains;
  const double groups = inputs.groups() / inputs.regions;
  const std::string domain = "loss of a failure domain, store slow (1 s a call)";
  row(domain, "nodes and ranges without owner",
      format_number(lost) + "; " + format_number(lost * inputs.ranges_per_member), "worked out");
  row(domain, "pages to change: the groups of one region", format_number(groups), "worked out");
  row(domain, "leases run out; new owners planned",
      "2 s; " + format_number(slopes.plan_us_by_members.at(inputs.members_per_group)) +
          " µs a plan",
      "measured");
  row(domain, "page writes, all at once",
      format_number(groups) + " calls of " + format_number(derived.page_bytes) + " bytes; 1 s",
      "worked out");
  row(domain, "served again",
      format_number(slopes.domain_unavailable_ms / 1e3 + 1) + " s (target 3 s)",
      "worked out: measured loss of a quarter of a group of 48, and 1 s for the slow write");
  row(domain, "every router has the 20 pages",
      format_number(slopes.domain_loss_seconds) + " s after the writes, 200 agents", "measured");
  const std::string release = "every agent restarted within an hour";
  const double restarts = inputs.nodes / 3'600;
  row(release, "page writes/s",
      margin(restarts * inputs.page_writes_per_restart, inputs.store_writes_per_second) + ", " +
          format_number(restarts * inputs.page_writes_per_restart) + "/s",
      "worked out");
  const double page_changes = restarts * inputs.page_writes_per_restart;
  row(release, "spread, bytes/s a node",
      format_number(page_changes * slopes.bytes_per_change) + "; " +
          margin(page_changes * slopes.bytes_per_change, inputs.spread_bytes_per_second) +
          "; pages lag while the bucket is empty",
      "worked out");
  row(release, "decoding of pages, % of a core",
      format_number(100 * page_changes *
                    slopes.page_decode_us_by_members.at(inputs.members_per_group) / 1e6),
      "worked out");
  row(release, "each joiner takes " + format_number(inputs.groups()) + " pages and the records",
      format_number((derived.pages_bytes + inputs.records * inputs.record_bytes) / mebibyte) +
          " MiB from its peers, whose bursts hold " +
          format_number(inputs.spread_burst_bytes / mebibyte) + " MiB each",
      "worked out");
  const std::string outage = "store back after an hour";
  row(outage, "changes of configuration that waited", format_number(inputs.changes_per_day / 24),
      "worked out");
  row(outage, "written at " + format_number(inputs.store_writes_per_second) + "/s",
      format_number(inputs.changes_per_day / 24 / inputs.store_writes_per_second) + " s",
      "worked out");
  row(outage,
      "spread to everybody at " + format_number(inputs.spread_bytes_per_second) + " bytes/s a node",
      format_number(std::max(0.0, inputs.changes_per_day / 24 * slopes.bytes_per_change -
                                      inputs.spread_burst_bytes) /
                    inputs.spread_bytes_per_second) +
          " s",
      "worked out");
  row(outage, "a region that was cut off catches up",
      format_number(slopes.region_return_seconds) + " s, 100 agents", "measured");
  row(outage, "an agent that starts from nothing catches up",
      format_number(slopes.joiner_seconds) + " s with 20 pages and 2,000 records, 200 agents",
      "measured");
  out.write(rows);
}

inline void write_target_tables(const report& out, const capacity_inputs& inputs,
                                const measured_slopes& slopes) {
  const derived_figures derived(inputs, slopes);
  write_targets(out, inputs, slopes, derived);
  write_coordinator_remedies(out, inputs, slopes, derived);
  write_roles(out, inputs, slopes, derived);
  write_request_path(out, inputs);
  write_events(out, inputs, slopes, derived);
}

}  // namespace masticshunt::capacity
