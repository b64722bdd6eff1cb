/// @file
/// Fixture for tests of the leader: a simulated store and owners.
#pragma once

#include <algorithm>

#include "expect.h"
#include "masticshunt/decisions/claims/leader.h"

namespace masticshunt::testing {

using namespace masticshunt::claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A leader with a store that holds one map, and owners that report on request.
struct leader_fixture {
  claim_timing timing;
  time_point now{seconds{100}};
  leader service_leader{"ledger", "vm-9", "10.0.0.9:7600", 500, timing, now};
  claim_map stored;
  std::uint64_t revision = 10;
  std::vector<read_owner_lease> lease_reads;
  std::vector<delete_owner_lease> lease_deletions;
  bool drops_answers = false;

  leader_fixture() { service_leader.set_candidate(0); }

  void run(duration span, duration step = milliseconds{50}) {
    for (const auto end = now + span; now < end; now += step) tick();
  }
  void tick() {
    for (const auto& action : service_leader.tick(now)) {
      if (std::holds_alternative<read_map>(action)) {
        service_leader.map_read(true, stored.revision == 0 ? std::nullopt : std::optional(stored),
                                now);
      } else if (const auto* write = std::get_if<write_map>(&action)) {
        const bool matches = write->expected_revision == stored.revision;
        if (matches) {
          stored = write->map;
          stored.revision = ++revision;
        }
        service_leader.map_written(drops_answers ? write_result::no_answer
                                   : matches     ? write_result::applied
                                                 : write_result::conflict,
                                   revision, now, now);
      } else if (const auto* read = std::get_if<read_owner_lease>(&action)) {
        lease_reads.push_back(*read);
      } else if (const auto* remove = std::get_if<delete_owner_lease>(&action)) {
        lease_deletions.push_back(*remove);
      }
    }
  }
  /// Stores a map written by `leader`, in which each of `owners` owns a range.
  void store_map_led_by(const std::string& leader, std::uint64_t incarnation,
                        const std::vector<std::string>& owners) {
    constexpr shard_key range_size = 100;
    stored = empty_map("ledger");
    stored.revision = ++revision;
    stored.leader = leader;
    stored.leader_incarnation = incarnation;
    for (std::size_t i = 0; i < owners.size(); ++i) {
      const auto first = static_cast<shard_key>(i * range_size);
      split_at(stored.claims, {first, first + range_size - 1});
      stored.claims[i].holder = {owners[i], 1};
      stored.claims[i].upstream = {"i-" + owners[i], 1'000};
      stored.claims[i].fence = i + 1;
    }
  }
  /// The owner `agent` reports that it accepts no more replies of the leader `incarnation`.
  void reject(const std::string& agent, std::uint64_t incarnation) {
    auto rejecting = report(agent);
    rejecting.rejected_incarnation = incarnation;
    service_leader.report_received(rejecting, now);
  }
  /// Suspects the silent owner `agent`; returns true if its lease record is deleted within `span`,
  /// while `others` report.
  bool ends_within(const std::string& agent, const std::vector<std::string>& others,
                   duration span) {
    run_with(others, timing.owner_suspicion_timeout + milliseconds{300});
    service_leader.owner_lease_read(agent, {.answered = true, .registration = 1, .revision = 77},
                                    now);
    run_with(others, span);
    return !lease_deletions.empty();
  }
  owner_report report(const std::string& agent, std::uint64_t registration = 1) const {
    return {.service = "ledger",
            .holder = {agent, registration},
            .address = "10.0.0.1:7600",
            .agent_incarnation = 1,
            .upstream = {"i-" + agent, 1'000},
            .accepting = true,
            .slots = 12,
            .service_time = milliseconds{100},
            .map_revision = stored.revision};
  }
  key_range owned_by(const std::string& agent) const {
    return std::ranges::find_if(stored.claims,
                                [&](const claim& each) { return each.holder.agent == agent; })
        ->keys;
  }
  /// Returns a report with `slots` of load, spread evenly over the first range of `agent`.
  owner_report report_with_load(const std::string& agent, double slots) const {
    constexpr shard_key parts = 8;
    auto result = report(agent);
    const auto owned = owned_by(agent);
    const shard_key length = owned.size() / parts;
    for (shard_key i = 0; i < parts; ++i)
      result.loads.push_back(
          {{owned.first + i * length, owned.first + (i + 1) * length - 1}, slots / parts});
    return result;
  }
  /// Runs for `span` while `agents` report.
  void run_with(const std::vector<std::string>& agents, duration span) {
    for (const auto end = now + span; now < end; now += milliseconds{100}) {
      for (const auto& each : agents) service_leader.report_received(report(each), now);
      tick();
    }
  }
  bool all_owned() const {
    return std::ranges::none_of(stored.claims,
                                [](const claim& each) { return each.holder.agent.empty(); });
  }
  bool owns_any(const std::string& agent) const {
    return std::ranges::any_of(stored.claims,
                               [&](const claim& each) { return each.holder.agent == agent; });
  }
  std::uint64_t highest_fence() const {
    return std::ranges::max_element(stored.claims, {}, &claim::fence)->fence;
  }
};

}  // namespace masticshunt::testing
