/// @file
/// The two-year size, worked out from the inputs and the measured slopes.
#pragma once

#include "capacity_inputs.h"
#include "capacity_measure.h"

namespace masticshunt::capacity {

inline constexpr double small_message_bytes = 130;  ///< Compact renewal or reply, with headers.
inline constexpr double mebibyte = 1024 * 1024;

/// Returns the verdict on `value` against the most that is allowed.
inline std::string margin(double value, double most) {
  if (std::isnan(value)) return "not measured";
  if (value <= most) return "meets: " + shown(100 * (1 - value / most)) + "% to spare";
  return "**misses**: " + shown(value / most) + " times too much";
}

/// Figures that several tables share.
struct worked_out {
  worked_out(const capacity_inputs& in, const measured_slopes& by) {
    const double group = in.members_per_group;
    changes = in.changes_per_second() + in.page_writes_per_second();
    spread_bytes = by.idle_bytes_per_second + by.bytes_per_change * changes;
    spread_core = 2 * by.messages_per_change * changes *
                  (by.spread_message_us + by.channel_message_us / 2) / 1e6;
    page_bytes = by.page_bytes_by_members.at(group);
    routing_bytes = by.routing_bytes_by_range.at(in.ranges());
    pages_bytes = page_bytes * in.groups();
    records_bytes = in.records * (in.record_bytes + by.held_bytes_per_object);
    coordinator_bytes = by.coordinator_bytes_by_members.at(group);
    coordinator_received = by.coordinator_received_by_members.at(group);
    channel_us = by.channel_message_us / 2;  // One end of it.
    coordinator_core = by.coordinator_core_by_members.at(group) +
                       by.coordinator_messages_by_members.at(group) * channel_us / 1e6;
    owner_core = by.owner_core_share + by.owner_messages_per_second * channel_us / 1e6;
    page_core = in.page_writes_per_second() * by.page_decode_us_by_members.at(group) / 1e6;
    requests = in.requests_per_second / in.nodes;
    state_bytes = routing_bytes + pages_bytes + records_bytes + by.gate_bytes +
                  65'536 * by.ledger_bytes_per_identity + by.hot_keys_bytes;
    everywhere_ms = by.everywhere_ms_by_log_agents.at(std::log(in.nodes));
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
  double everywhere_ms = 0;
};

inline void write_targets(const report& out, const capacity_inputs& in, const measured_slopes& by,
                          const worked_out& at) {
  table rows{"targets", {"target", "what the slopes give", "margin", "mechanism", "kind"}, {}};
  const auto row = [&](const std::string& target, const std::string& value,
                       const std::string& verdict, const std::string& mechanism,
                       const std::string& kind) {
    rows.rows.push_back({target, value, verdict, mechanism, kind});
  };
  const double control = in.control_bytes_per_second;
  const double owner_bytes = at.spread_bytes + by.owner_bytes_per_second;
  const double owner_core = at.spread_core + at.page_core + at.owner_core;
  row("control of an ordinary node: 14,000 bytes/s sent", shown(owner_bytes),
      margin(owner_bytes, control), "one renewal for all ranges; spread by notices and patches",
      "worked out from measured slopes");
  row("control of a standby: 14,000 bytes/s sent",
      shown(at.spread_bytes + by.standby_bytes_per_second),
      margin(at.spread_bytes + by.standby_bytes_per_second, control), "support each 400 ms",
      "worked out from measured slopes");
  row("control of a coordinator: 14,000 bytes/s sent", shown(at.coordinator_bytes),
      margin(at.coordinator_bytes, control),
      "a renewal names the page, not its ranges; see below what would meet it", "measured");
  row("control of an ordinary node: 1.2% of a core", shown(100 * owner_core) + "%",
      margin(owner_core, in.core_share), "as above", "worked out from measured slopes");
  row("control of a coordinator: 1.2% of a core", shown(100 * at.coordinator_core) + "%",
      margin(at.coordinator_core, in.core_share), "none yet: see below",
      "worked out: measured decisions, codec and channel");
  row("memory of control: 256 MB", shown(at.state_bytes / mebibyte) + " MiB",
      margin(at.state_bytes, in.memory_bytes),
      "32 bytes a range; one page value a group; one object a record",
      "worked out from measured slopes");
  row("a change everywhere: 8 s", shown(at.everywhere_ms / 1e3) + " s",
      margin(at.everywhere_ms / 1e3, in.everywhere_seconds),
      "notices over an undirected graph of 4 chosen peers",
      "worked out: slope over the logarithm of agents, at 20,000");
  row("served again: 3 s after a loss", shown(by.unavailable_ms / 1e3) + " s",
      margin(by.unavailable_ms / 1e3, in.served_again_seconds), "lease of 2 s, one page write",
      "measured: worst of 3 losses, group of 100");
  row("lookup of an owner: 200 ns at 320,000 ranges", shown(by.lookup_ns) + " ns",
      margin(by.lookup_ns, 200), "search from the place among even ranges", "measured");
  const double writes = in.changes_per_second() + in.page_writes_per_second();
  row("store: 200 writes/s", shown(writes), margin(writes, in.store_writes_per_second),
      "a page write a change of owners, a record write a change", "worked out");
  const double watches = in.groups() * in.changes_per_second();
  row("store: 1,000 reads/s", shown(watches) + " (one watch a coordinator, woken by each change)",
      margin(watches, in.store_reads_per_second), "watches by coordinators only", "worked out");
  out.write(rows);
}

inline void write_coordinator_remedies(const report& out, const capacity_inputs& in,
                                       const measured_slopes& by, const worked_out& at) {
  table rows{
      "coordinator_remedies", {"change", "sent by each renewer, bytes/s", "margin", "kind"}, {}};
  const auto row = [&](const std::string& change, double value, const std::string& kind) {
    rows.rows.push_back({change, shown(value), margin(value, in.control_bytes_per_second), kind});
  };
  row("as it stands", at.coordinator_bytes, "measured");
  const double shared =
      (at.coordinator_bytes - by.standby_bytes_per_second) / in.renewers_per_group;
  row("owners divided among the 3 renewers", shared + by.standby_bytes_per_second, "worked out");
  row("the same, and groups of 50 instead of 100", shared / 2 + by.standby_bytes_per_second,
      "worked out");
  out.write(rows);
}

inline void write_roles(const report& out, const capacity_inputs& in, const measured_slopes& by,
                        const worked_out& at) {
  table rows{"roles",
             {"role", "nodes in it", "state", "messages/s and bytes/s, ordinary day",
              "worst listed event", "processor a message", "store", "connections"},
             {}};
  rows.rows.push_back({"entry and router", shown(in.nodes),
                       shown(at.routing_bytes / in.ranges()) +
                           " bytes a range with its share of "
                           "descriptions, " +
                           shown(at.routing_bytes / mebibyte) + " MiB",
                       shown(at.requests) + " requests/s",
                       "failure domain: the requests of 500 nodes go to the rest, +2.6%",
                       shown(by.lookup_ns) + " ns a lookup (measured)", "none",
                       "to each owner that its callers need, kept open; not counted as control"});
  rows.rows.push_back({"gate", shown(in.nodes),
                       shown(by.gate_bytes) + " bytes; ledger " +
                           shown(by.ledger_bytes_per_identity) + " bytes an identity; hot keys " +
                           shown(by.hot_keys_bytes) + " bytes",
                       shown(at.requests) + " requests/s", "flood: refusals cost one decision each",
                       shown(by.gate_ns) + " ns gate, " + shown(by.ledger_ns) + " ns ledger, " +
                           shown(by.hot_keys_ns) + " ns hot keys (measured)",
                       "none", "the upstream's, 120"});
  rows.rows.push_back(
      {"owner", shown(in.nodes), "its 16 ranges",
       shown(by.owner_messages_per_second) + " messages/s, " + shown(by.owner_bytes_per_second) +
           " bytes/s (measured)",
       "coordinator lost: the same to a standby",
       shown(by.owner_core_share / by.owner_messages_per_second * 1e6) + " µs (measured)",
       "none while its renewers are there", "3"});
  rows.rows.push_back(
      {"coordinator", shown(in.groups()), shown(at.page_bytes) + " bytes of page",
       shown(by.coordinator_messages_by_members.at(in.members_per_group)) + " messages/s, " +
           shown(at.coordinator_bytes) + " bytes/s sent, " + shown(at.coordinator_received) +
           " received (measured)",
       "failure domain: 25 members lost, one plan and one or two page writes",
       shown(by.coordinator_core_by_members.at(in.members_per_group) /
             by.coordinator_messages_by_members.at(in.members_per_group) * 1e6) +
           " µs; plan " + shown(by.plan_us_by_members.at(in.members_per_group)) + " µs (measured)",
       shown(in.page_writes_per_second() / in.groups()) + " writes/s, one waiting watch",
       shown(in.members_per_group)});
  rows.rows.push_back({"standby", shown(in.groups() * (in.renewers_per_group - 1)), "the same page",
                       shown(by.standby_bytes_per_second) + " bytes/s sent (measured)",
                       "coordinator lost: becomes one",
                       shown(100 * by.standby_core_share) + "% of a core in all (measured)",
                       "none while the other renewers are there", "2 and the group's"});
  rows.rows.push_back(
      {"store reader", shown(in.groups()), "the revision read",
       shown(in.changes_per_second()) + " answers/s",
       "store back after an hour: one list, " + shown(in.changes_per_day / 24) + " changes",
       "not measured", "one waiting watch, " + shown(in.changes_per_second()) + " reads/s",
       "1 to the store"});
  rows.rows.push_back(
      {"relay in spreading", shown(16 * in.regions),
       shown(by.held_bytes_per_object) + " bytes a record beside its name and value",
       shown(by.messages_per_change * at.changes) + " messages/s, " + shown(at.spread_bytes) +
           " bytes/s; all relays " + shown(by.remote_bytes_per_change * at.changes) +
           " bytes/s between regions",
       "bounded at " + shown(in.spread_bytes_per_second) + " bytes/s and a burst of " +
           shown(in.spread_burst_bytes),
       shown(by.spread_message_us) + " µs (measured)", "none", "6 chosen, up to 12 accepted"});
  rows.rows.push_back({"operator's command", "a few", "none", "one call",
                       "two operators: one conditional write wins",
                       shown(by.store_call_us) + " µs a call, both ends (measured)", "1 or 2 calls",
                       "1"});
  out.write(rows);
}

inline void write_request_path(const report& out, const capacity_inputs& in) {
  table rows{"request_path", {"path", "Imhof, ms", "of 8 ms", "Llyfrnod, ms", "of 8 ms"}, {}};
  const auto row = [&](const std::string& path, double clients, double domains, double crossings) {
    const auto ms = [&](double client, double domain) {
      return 2 * (clients * client + domains * domain + crossings * in.region_one_way_ms);
    };
    const double imhof = ms(in.client_one_way_ms_imhof, in.domain_one_way_ms_imhof);
    const double llyfrnod = ms(in.client_one_way_ms_llyfrnod, in.domain_one_way_ms_llyfrnod);
    rows.rows.push_back({path, shown(imhof), margin(imhof, in.p99_ms), shown(llyfrnod),
                         margin(llyfrnod, in.p99_ms)});
  };
  row("caller to the owner's own agent", 1, 0, 0);
  row("caller to an agent, owner in another failure domain", 1, 1, 0);
  row("inside the fleet only: agent to owner in another failure domain", 0, 1, 0);
  row("caller to an agent, owner in another region", 1, 0, 1);
  out.write(rows);
  const double exchange = in.request_bytes + in.answer_bytes;
  const double crossing = in.link_bits_per_second / 8 / exchange;
  table links{"links", {"quantity", "figure"}, {}};
  links.rows.push_back(
      {"requests/s that 4 Gbit/s carry, at " + shown(exchange) + " bytes a request and answer",
       shown(crossing)});
  links.rows.push_back({"share of a region's requests that may cross, at the most",
                        shown(100 * crossing / (in.requests_per_second / in.regions)) + "%"});
  out.write(links);
}

inline void write_events(const report& out, const capacity_inputs& in, const measured_slopes& by,
                         const worked_out& at) {
  table rows{"events", {"event", "step", "figure", "kind"}, {}};
  const auto row = [&](const std::string& event, const std::string& step, const std::string& figure,
                       const std::string& kind) {
    rows.rows.push_back({event, step, figure, kind});
  };
  const double lost = in.nodes / in.failure_domains;
  const double groups = in.groups() / in.regions;
  const std::string domain = "loss of a failure domain, store slow (1 s a call)";
  row(domain, "nodes and ranges without owner",
      shown(lost) + "; " + shown(lost * in.ranges_per_member), "worked out");
  row(domain, "pages to change: the groups of one region", shown(groups), "worked out");
  row(domain, "leases run out; new owners planned",
      "2 s; " + shown(by.plan_us_by_members.at(in.members_per_group)) + " µs a plan", "measured");
  row(domain, "page writes, all at once",
      shown(groups) + " calls of " + shown(at.page_bytes) + " bytes; 1 s", "worked out");
  row(domain, "served again", shown(by.domain_unavailable_ms / 1e3 + 1) + " s (target 3 s)",
      "worked out: measured loss of a quarter of a group of 48, and 1 s for the slow write");
  row(domain, "every router has the 20 pages",
      shown(by.domain_loss_seconds) + " s after the writes, 200 agents", "measured");
  const std::string release = "every agent restarted within an hour";
  const double restarts = in.nodes / 3'600;
  row(release, "page writes/s",
      margin(restarts * in.page_writes_per_restart, in.store_writes_per_second) + ", " +
          shown(restarts * in.page_writes_per_restart) + "/s",
      "worked out");
  const double page_changes = restarts * in.page_writes_per_restart;
  row(release, "spread, bytes/s a node",
      shown(page_changes * by.bytes_per_change) + "; " +
          margin(page_changes * by.bytes_per_change, in.spread_bytes_per_second) +
          "; pages lag while the bucket is empty",
      "worked out");
  row(release, "decoding of pages, % of a core",
      shown(100 * page_changes * by.page_decode_us_by_members.at(in.members_per_group) / 1e6),
      "worked out");
  row(release, "each joiner takes " + shown(in.groups()) + " pages and the records",
      shown((at.pages_bytes + in.records * in.record_bytes) / mebibyte) +
          " MiB from its peers, whose bursts hold " + shown(in.spread_burst_bytes / mebibyte) +
          " MiB each",
      "worked out");
  const std::string outage = "store back after an hour";
  row(outage, "changes of configuration that waited", shown(in.changes_per_day / 24), "worked out");
  row(outage, "written at " + shown(in.store_writes_per_second) + "/s",
      shown(in.changes_per_day / 24 / in.store_writes_per_second) + " s", "worked out");
  row(outage, "spread to everybody at " + shown(in.spread_bytes_per_second) + " bytes/s a node",
      shown(std::max(0.0, in.changes_per_day / 24 * by.bytes_per_change - in.spread_burst_bytes) /
            in.spread_bytes_per_second) +
          " s",
      "worked out");
  row(outage, "a region that was cut off catches up",
      shown(by.region_return_seconds) + " s, 100 agents", "measured");
  row(outage, "an agent that starts from nothing catches up",
      shown(by.joiner_seconds) + " s with 20 pages and 2,000 records, 200 agents", "measured");
  out.write(rows);
}

inline void write_target_tables(const report& out, const capacity_inputs& in,
                                const measured_slopes& by) {
  const worked_out at(in, by);
  write_targets(out, in, by, at);
  write_coordinator_remedies(out, in, by, at);
  write_roles(out, in, by, at);
  write_request_path(out, in);
  write_events(out, in, by, at);
}

}  // namespace masticshunt::capacity
