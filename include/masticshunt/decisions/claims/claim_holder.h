/// @file
/// An owner's side of claims: its right to hold keys, and the grants to the upstream beside it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::claims {

/// Names one call to the upstream.
using grant_call = std::uint64_t;

/// @name Actions of the holder.
/// @{

/// Read this agent's lease object; answer with `lease_seen`.
struct read_lease {};
/// Create this agent's lease object; answer with `lease_seen`.
struct create_lease {};
/// Write the lease object if it still has `revision`; answer with `lease_seen`.
struct renew_lease {
  std::uint64_t revision = 0;
};
/// Send the report to the leader; answer with `leader_answered`.
struct send_report {
  endpoint leader;
  owner_report report;
};
/// Grant keys to the upstream for `hold`; answer with `grant_ended`.
struct grant_keys {
  grant_call call = 0;
  key_range keys;
  std::uint64_t fence = 0;
  duration hold{};
  std::string handover;
};
/// Take keys back from the upstream; answer with `release_ended`.
struct release_keys {
  grant_call call = 0;
  key_range keys;
  std::uint64_t fence = 0;
};
/// Something an operator may want to know.
struct holder_log_event {
  std::string text;
};
using holder_action = std::variant<read_lease, create_lease, renew_lease, send_report, grant_keys,
                                   release_keys, holder_log_event>;
using holder_actions = std::vector<holder_action>;
/// @}

/// What the store said of the lease object.
struct lease_answer {
  bool answered = false;                      ///< False: no answer, the call may have taken effect.
  bool written = false;                       ///< The create or the renewal took effect.
  std::optional<std::uint64_t> registration;  ///< Of the object as it is; nothing: it is gone.
  std::uint64_t revision = 0;
};

/// How a grant ended.
enum class grant_result {
  granted,
  refused,          ///< Nothing was granted.
  newer_fence,      ///< The upstream knows a higher fence on one of the keys.
  no_answer,        ///< It may be applied, also later.
  connection_lost,  ///< The same, and the connection ended: another life may be there next.
  unreachable       ///< Nothing was sent; another life may be at the address next.
};

/// Whether a request may go to the upstream now.
enum class hold_state {
  held,      ///< The upstream holds the key.
  pending,   ///< The key is being granted, or released to somebody not yet named.
  not_owned  ///< Nothing here says that the key is ours.
};

/// Decides when the upstream beside an agent may hold which keys.
///
/// The right to hold comes from the leader's replies, or from renewing the lease object while the
/// leader is silent; each counts from when it was asked for. No grant outlasts the right. So
/// whoever knows that the right has ended knows that the upstream holds nothing more.
/// Life cycle: one for the process; feed `tick` every `tick_interval` and every answer.
/// Thread safety: none.
class claim_holder {
 public:
  /// `incarnation` is the process's own; an earlier process on this VM may have given its word on
  /// ranges, so nothing is granted before a leader has answered this one.
  claim_holder(std::string service, std::string agent, endpoint address, std::uint64_t incarnation,
               claim_timing timing, time_point now);

  /// Lets time act.
  holder_actions tick(time_point now);
  /// The upstream beside this agent told of itself last at `heard`, or ceased to (nothing).
  void update_upstream(std::optional<upstream_incarnation> incarnation, bool stays,
                       std::uint32_t slots, time_point heard, time_point now);
  /// This agent is about to restart while its upstream goes on: keys are granted for longer.
  void prepare_restart(time_point now);
  /// Sets the agents that may become the next leader, the first choice first.
  void set_candidates(std::vector<endpoint> candidates) { candidates_ = std::move(candidates); }
  /// Sets what the next report says of the load.
  void set_load(std::vector<key_load> loads, duration service_time);
  /// Takes in a map from anywhere; only a newer one counts.
  void map_seen(const claim_map& map, time_point now);
  /// The store answered a call about the lease object that was sent at `sent`.
  void lease_seen(const lease_answer& answer, time_point sent, time_point now);
  /// The leader answered a report sent at `sent`, or did not (nothing).
  void leader_answered(const std::optional<leader_reply>& reply, time_point sent, time_point now);
  /// The upstream answered a grant sent at `sent`.
  void grant_ended(grant_call call, grant_result result, time_point now);
  /// The upstream answered a release: `handover` is set if it did.
  void release_ended(grant_call call, const std::optional<std::string>& handover, time_point now);
  /// The upstream refused a request because it does not hold `key`: it is granted anew at once.
  void refused_by_upstream(shard_key key, time_point now);

  /// Returns whether a request for `key` may go to the upstream.
  [[nodiscard]] hold_state state_of(shard_key key, time_point now) const;
  /// Returns until when this agent may let its upstream hold keys.
  [[nodiscard]] time_point lease_end() const { return std::max(right_by_reply_, right_by_lease_); }
  /// Returns the newest map known; its revision is zero if there is none.
  [[nodiscard]] const claim_map& map() const { return map_; }
  /// Returns the present registration, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> registration() const { return registration_; }
  /// Returns how many ranges are held.
  [[nodiscard]] std::size_t range_count() const { return pieces_.size(); }
  /// Returns true once nothing is held and nothing is waited for.
  [[nodiscard]] bool empty(time_point now) const;

 private:
  enum class stage { held, releasing, waiting_out, released };
  struct piece {
    key_range keys;
    std::uint64_t fence = 0;
    std::string handover;
    stage at = stage::held;
    time_point usable_until{};      ///< By answered grants.
    time_point held_until{};        ///< By all grants, answered or not, with the clock's error.
    time_point unanswered_until{};  ///< The same, of grants without an answer.
    time_point next_grant{};
    grant_call call = 0;  ///< In flight; zero if none.
    bool confirmed = false;
    std::string left;  ///< What the upstream left when it released the range.
  };
  struct call_in_flight {
    time_point sent;
    duration hold{};
    key_range keys;
    std::uint64_t fence = 0;
  };
  void split_pieces(const key_range& keys);
  void reconcile(time_point now);
  void start_release(const key_range& keys, std::uint64_t fence, time_point now);
  void grant_due(time_point now, holder_actions& out);
  void release_due(time_point now, holder_actions& out);
  void lease_due(time_point now, holder_actions& out);
  void report_due(time_point now, holder_actions& out);
  void revoke(const std::string& why);
  [[nodiscard]] owner_report make_report(time_point now) const;

  std::string service_;
  std::string agent_;
  endpoint address_;
  std::uint64_t life_;
  claim_timing timing_;
  claim_map map_;
  std::optional<upstream_incarnation> upstream_;  ///< The newest life that was heard of.
  bool present_ = false;
  std::optional<time_point> doubted_since_;  ///< The address failed; who is there is not known.
  bool stays_ = false;
  bool restarting_ = false;
  std::uint32_t slots_ = 1;
  std::vector<key_load> loads_;
  duration service_time_{};

  std::optional<std::uint64_t> registration_;
  std::uint64_t lease_revision_ = 0;
  bool lease_known_ = false;  ///< The store said whether a lease object exists.
  bool lease_call_ = false;
  time_point next_lease_call_{};
  time_point register_after_{};  ///< Holds of an earlier registration may last until then.

  time_point right_by_reply_{};
  time_point right_by_lease_{};
  time_point last_reply_{};
  bool answered_ = false;  ///< A leader has given this process a right.
  bool report_in_flight_ = false;
  std::uint64_t rejected_life_ = 0;
  std::vector<endpoint> candidates_;
  std::size_t next_candidate_ = 0;
  bool report_now_ = false;
  time_point next_report_{};
  time_point began_;

  std::vector<piece> pieces_;
  std::map<grant_call, call_in_flight> calls_;
  grant_call next_call_ = 1;
  std::size_t grants_in_flight_ = 0;
  std::vector<std::string> notes_;  ///< Said with the next tick.
};

}  // namespace masticshunt::claims
