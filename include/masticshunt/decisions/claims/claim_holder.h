/// @file
/// The owner's side of claims: its lease on keys, and the grants to its local upstream.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticshunt/decisions/claims/answer_history.h"
#include "masticshunt/decisions/claims/claim_map.h"
#include "masticshunt/decisions/claims/heartbeat_keys.h"
#include "masticshunt/decisions/claims/map_update.h"

namespace masticshunt::claims {

/// How an upstream takes the keys that it is granted.
enum class grant_transport {
  call,      ///< By calls of the agent: `grant_keys` and `release_keys`.
  heartbeat  ///< With the answers to its heartbeats: `answer_heartbeat`.
};

/// Identifies a call to the upstream.
using grant_call = std::uint64_t;

/// @name Actions of the holder.
/// @{

/// Read this agent's lease record; answer with `lease_seen`.
struct read_lease {};
/// Create this agent's lease record; answer with `lease_seen`.
struct create_lease {};
/// Write the lease record if it still has `revision`; answer with `lease_seen`.
struct renew_lease {
  std::uint64_t revision = 0;
};
/// Send the report to the leader; answer with `leader_answered`.
struct send_report {
  endpoint leader;
  owner_report report;
};
/// Grant keys to `upstream`, and to no other incarnation, for `hold`; answer with `grant_ended`.
struct grant_keys {
  grant_call call = 0;
  upstream_incarnation upstream;
  key_range keys;
  std::uint64_t fence = 0;
  duration hold{};
  std::string handover;
};
/// Ask `upstream` to release keys; answer with `release_ended`.
struct release_keys {
  grant_call call = 0;
  upstream_incarnation upstream;
  key_range keys;
  std::uint64_t fence = 0;
};
/// A log line for operators.
struct holder_log_event {
  std::string text;
};
using holder_action = std::variant<read_lease, create_lease, renew_lease, send_report, grant_keys,
                                   release_keys, holder_log_event>;
using holder_actions = std::vector<holder_action>;
/// @}

/// The store's answer to a call about the lease record.
struct lease_answer {
  bool answered = false;                      ///< False: the outcome of the call is unknown.
  bool written = false;                       ///< The create or the renewal took effect.
  std::optional<std::uint64_t> registration;  ///< In the record; nothing: no record exists.
  std::uint64_t revision = 0;
};

/// How a grant ended.
enum class grant_result {
  granted,
  refused,          ///< Nothing was granted.
  newer_fence,      ///< The upstream stores a higher fence for one of the keys.
  no_answer,        ///< It may have been applied, or may still be.
  connection_lost,  ///< As `no_answer`, and the next call may reach another incarnation.
  unreachable       ///< Nothing was sent; the next call may reach another incarnation.
};

/// Whether a request may go to the upstream now.
enum class hold_state {
  held,      ///< The upstream holds the key.
  pending,   ///< The key is being granted, or released without a new owner so far.
  not_owned  ///< Another agent owns the key, or no map has arrived.
};

/// Decides which keys the local upstream of an agent may hold, and until when.
///
/// The lease comes from the leader's replies, or from renewing the lease record while the leader
/// does not reply; each runs from when it was requested. No grant outlasts the lease, so once the
/// lease has ended, the upstream is known to hold no keys.
/// Registration and lease end with the store's era. Until the lease would have ended, the ranges
/// held are kept, and reported to the leader of the new era, which takes them over.
/// Grants travel by `grant_transport`; leases, fences and releases follow the same rules with both.
/// Life cycle: one per process; call `tick` every `tick_interval` and pass in every answer.
/// Thread safety: none.
class claim_holder {
 public:
  /// `incarnation` identifies this process. An earlier process on this VM may have reported ranges
  /// as released, so nothing is granted before a leader has granted a lease to this process.
  claim_holder(std::string service, std::string agent, endpoint address, std::uint64_t incarnation,
               claim_timing timing, time_point now,
               grant_transport transport = grant_transport::call);

  /// Returns the actions that are due at `now`: grants, releases, calls about the lease record,
  /// reports and log events.
  holder_actions tick(time_point now);
  /// Sets the state of the local upstream, whose last heartbeat arrived at `last_heartbeat`.
  /// `incarnation` is empty if the upstream is not present; `ready` is false while it drains.
  void update_upstream(std::optional<upstream_incarnation> incarnation, bool ready,
                       std::uint32_t slots, time_point last_heartbeat, time_point now);
  /// Sets whether the upstream must own no keys because of where it stands, for the next reports.
  void set_relocating(bool relocating);
  /// The upstream's address refused a connection at `at`: the incarnation that listened there has
  /// ended, and the next one may have the same id. Nothing is granted before its next heartbeat.
  void connection_refused(time_point at);
  /// This agent is about to restart while its upstream keeps running: grants last longer.
  void prepare_restart(time_point now);
  /// Sets the agents that may become the next leader, in order of preference.
  void set_candidates(std::vector<endpoint> candidates) { candidates_ = std::move(candidates); }
  /// Sets the load that the next report contains.
  void set_load(std::vector<key_load> loads, duration service_time);
  /// Sets how many requests the upstream can run at once at present, for the next report.
  void set_slots(std::uint32_t slots) { slots_ = slots; }
  /// The store is in `era`: what it said in earlier ones no longer counts.
  void begin_era(store_era era, time_point now);
  [[nodiscard]] store_era era() const { return era_; }
  /// Applies a map from any source if it is newer than the current one.
  void map_seen(const claim_map& map, time_point now);
  /// The store answered a call about the lease record that was sent at `sent`.
  void lease_seen(const lease_answer& answer, time_point sent, time_point now);
  /// The leader replied to a report sent at `sent`; `reply` is empty if it did not.
  void leader_answered(const std::optional<leader_reply>& reply, time_point sent, time_point now);
  /// The grant `call` ended with `result`.
  void grant_ended(grant_call call, grant_result result, time_point now);
  /// A release ended; `handover` is empty if the upstream did not answer.
  void release_ended(grant_call call, const std::optional<std::string>& handover, time_point now);
  /// The upstream refused a request because it does not hold `key`: the key is granted again at
  /// once.
  void refused_by_upstream(shard_key key, time_point now);

  /// @name Grants in the answers to heartbeats
  /// @{

  /// Applies the keys that the upstream reported in its newest heartbeat.
  void heartbeat_received(const reported_keys& reported, connection_id connection, time_point now);
  /// Returns true if the heartbeat that arrived at `arrived` is to be answered now: keys are to be
  /// granted, renewed or released, or it has waited for `claim_timing::heartbeat_answer_wait`.
  [[nodiscard]] bool heartbeat_answer_due(time_point arrived, time_point now) const;
  /// Returns the keys for the answer, sent at once, to the heartbeat that arrived at `arrived`.
  /// Returns nothing if the answer must name no keys, so that the upstream keeps those that it
  /// holds until they run out.
  std::optional<heartbeat_answer> answer_heartbeat(connection_id connection, time_point arrived,
                                                   time_point now);
  /// @}

  /// Returns whether a request for `key` may go to the upstream.
  [[nodiscard]] hold_state state_of(shard_key key, time_point now) const;
  /// Returns when this agent's lease ends; its upstream must hold no keys after that.
  [[nodiscard]] time_point lease_end() const { return std::max(lease_by_reply_, lease_by_record_); }
  /// Returns the newest map received; its revision is zero if there is none.
  [[nodiscard]] const claim_map& map() const { return map_; }
  /// Returns the current registration, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> registration() const { return registration_; }
  /// Returns the number of ranges held.
  [[nodiscard]] std::size_t range_count() const { return ranges_.size(); }
  /// Returns true once no key is held and no grant can still be in force.
  [[nodiscard]] bool empty(time_point now) const;

 private:
  /// `expiring`: nothing is granted any more, but earlier grants may still be in force.
  enum class range_state { held, releasing, expiring, released };
  struct held_range {
    key_range keys;
    std::uint64_t fence = 0;
    /// Set while the range is held under a lease of an earlier era: the end of that lease.
    std::optional<time_point> earlier_lease;
    std::string handover;
    range_state state = range_state::held;
    time_point usable_until{};      ///< By answered grants.
    time_point held_until{};        ///< By all grants, answered or not, with the clock error.
    time_point unanswered_until{};  ///< As `held_until`, for unanswered grants only.
    time_point next_grant{};
    grant_call call = 0;  ///< In flight; zero if none.
    bool confirmed = false;
    answer_number last_answer = 0;     ///< The last answer that granted it; zero if none.
    std::uint64_t answered_fence = 0;  ///< The fence in that answer.
    std::uint32_t rejections = 0;      ///< Answers in a row that did not make the upstream hold it.
    std::string released_handover;     ///< State handed over when the upstream released the range.
  };
  struct call_in_flight {
    time_point sent;
    duration hold{};
    key_range keys;
    std::uint64_t fence = 0;
  };
  struct answer_size {
    std::size_t bytes = 0;
    std::size_t ranges_left_out = 0;  ///< They did not fit.
  };
  /// Adds a range to the answer, joined to the last one if it continues it. Returns false if it
  /// does not fit.
  static bool append_range(const held_range& range, heartbeat_answer& answer, answer_size& size);
  /// Returns when the lease ends under which `range` is held.
  [[nodiscard]] time_point lease_end_of(const held_range& range) const {
    return range.earlier_lease.value_or(lease_end());
  }
  /// Returns the earliest end of the leases under which ranges are held.
  [[nodiscard]] time_point earliest_lease_end() const;
  /// Returns true if the map is of the present era.
  [[nodiscard]] bool map_in_force() const { return era_of(map_.revision) == era_; }
  /// Returns true if `range`, of an earlier era, has neither been taken over nor assigned to
  /// others.
  [[nodiscard]] bool awaits_takeover(const held_range& range) const;
  /// Returns the leader's address or, if it may be another agent, one of the candidates.
  [[nodiscard]] endpoint next_report_target();
  void split_ranges(const key_range& keys);
  void reconcile(time_point now);
  void start_release(const key_range& keys, std::uint64_t fence, time_point now);
  void append_due_grants(time_point now, holder_actions& out);
  void append_due_releases(time_point now, holder_actions& out);
  void append_due_lease_call(time_point now, holder_actions& out);
  void append_due_report(time_point now, holder_actions& out);
  void heartbeat_shows_release(held_range& range, const reported_keys& reported,
                               answer_number last_read, time_point now);
  void heartbeat_shows_grant(held_range& range, const reported_keys& reported, time_point now);
  [[nodiscard]] duration hold_from(time_point arrived) const;
  void revoke(const std::string& why);
  [[nodiscard]] owner_report make_report(time_point now) const;

  std::string service_;
  std::string agent_;
  endpoint address_;
  std::uint64_t incarnation_;
  claim_timing timing_;
  store_era era_ = 0;
  time_point era_began_{};  ///< When this process learned of the era.
  /// Incarnation of the leader that was followed when an earlier era ended; zero: none.
  std::uint64_t earlier_leader_ = 0;
  claim_map map_;
  std::optional<upstream_incarnation> upstream_;  ///< The last incarnation seen.
  bool upstream_present_ = false;
  time_point last_heartbeat_{};
  std::optional<time_point> address_failed_at_;  ///< Since then, another incarnation may be there.
  bool upstream_ready_ = false;
  bool restarting_ = false;
  bool relocating_ = false;
  std::uint32_t slots_ = 1;
  std::vector<key_load> loads_;
  duration service_time_{};

  std::optional<std::uint64_t> registration_;
  std::uint64_t lease_revision_ = 0;
  bool lease_record_known_ = false;  ///< The store answered whether the record exists.
  bool lease_call_in_flight_ = false;
  time_point next_lease_call_{};
  time_point register_after_{};  ///< Grants of an earlier registration may last until then.

  time_point lease_by_reply_{};
  time_point lease_by_record_{};
  time_point last_reply_{};
  bool lease_granted_ = false;  ///< A leader has granted this process a lease.
  bool report_in_flight_ = false;
  std::uint64_t rejected_incarnation_ = 0;
  std::vector<endpoint> candidates_;
  std::size_t next_candidate_ = 0;
  bool report_requested_ = false;
  time_point next_report_{};
  time_point started_at_;

  std::vector<held_range> ranges_;
  grant_transport transport_;
  answer_history answers_;
  std::map<grant_call, call_in_flight> calls_;
  grant_call next_call_ = 1;
  std::size_t grants_in_flight_ = 0;
  std::vector<std::string> log_events_;  ///< Returned by the next tick.
};

}  // namespace masticshunt::claims
