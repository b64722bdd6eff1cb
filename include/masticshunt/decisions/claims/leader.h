/// @file
/// The agent of a service that assigns keys to owners; at most one at a time.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "masticshunt/decisions/claims/carried_claims.h"
#include "masticshunt/decisions/claims/claim_holder.h"
#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::claims {

/// @name Actions of the leader.
/// @{

/// Read the service's map; answer with `map_read`.
struct read_map {};
/// Write the map if it still has `expected_revision` (0: if there is none); answer with
/// `map_written`.
struct write_map {
  claim_map map;
  std::uint64_t expected_revision = 0;
};
/// Read an owner's lease record; answer with `owner_lease_read`.
struct read_owner_lease {
  std::string agent;
};
/// Delete an owner's lease record if it still has `revision`; answer with `owner_lease_deleted`.
struct delete_owner_lease {
  std::string agent;
  std::uint64_t revision = 0;
};
/// Send the map to owners whose keys changed.
struct push_map {
  struct recipient {
    endpoint address;
    std::uint64_t since = 0;  ///< Revision of its map; zero: it needs the complete map.
  };
  std::vector<recipient> recipients;
};
/// A log line for operators.
struct leader_log_event {
  std::string text;
};
using leader_action = std::variant<read_map, write_map, read_owner_lease, delete_owner_lease,
                                   push_map, leader_log_event>;
using leader_actions = std::vector<leader_action>;
/// @}

/// The outcome of a conditional write or deletion.
enum class write_result {
  applied,
  conflict,   ///< The condition does not hold.
  refused,    ///< The store rejected the call; nothing changed.
  no_answer,  ///< It may have taken effect, or may still do so.
};

/// Maintains the shard map of a service as its lease grantor: assigns ranges, balances load, and
/// renews the leases of reporting owners.
///
/// A range changes its owner only if the owner released it, if the incarnation of the owner's
/// upstream has ended, or if the owner's lease record was deleted after it had not changed for as
/// long as a renewal is valid: no renewal can then still be in force. The leadership changes in
/// the same way: a candidate overwrites a map revision that has not changed for `leader_lease`. It
/// may write sooner once a majority of the owners has rejected the leader; the other owners may
/// still get replies from that leader, and keep their keys until its lease has ended.
///
/// A map counts only in the era of the store in which it was written. When the store comes back
/// from an older copy, the leader that runs on writes its map anew, at once; without it a candidate
/// begins with an empty one. Owners hold on to their keys meanwhile and the leader takes over what
/// they report; all other keys wait until no lease of an earlier era can be in force. Fences of a
/// later era are above those of all earlier ones, so nothing depends on what the copy says.
/// Life cycle: every agent has one for each keyed service; call `tick`, and pass in every answer.
/// Thread safety: none.
class leader {
 public:
  leader(std::string service, std::string agent, endpoint address, std::uint64_t incarnation,
         claim_timing timing, time_point now);

  /// The store is in `era`: what it said in earlier ones no longer counts. Leases of earlier eras
  /// end by `earlier_leases_end`.
  void begin_era(store_era era, time_point earlier_leases_end, time_point now);
  [[nodiscard]] store_era era() const { return era_; }
  /// Returns true if this agent led last as far as it knows, so that it is to lead again.
  [[nodiscard]] bool led_last() const { return carries_claims() || map_.leader == agent_; }
  /// Returns the actions that are due at `now`: reads, writes, deletions and pushes.
  leader_actions tick(time_point now);
  /// Returns the reply to an owner's report.
  leader_reply report_received(const owner_report& report, time_point now);
  /// Sets this agent's rank among the candidates for the leadership; nothing: not a candidate.
  void set_candidate(std::optional<std::size_t> rank) { candidate_rank_ = rank; }
  /// A read of the map ended; `answered` is false without an answer, `map` is empty if none exists.
  void map_read(bool answered, const std::optional<claim_map>& map, time_point now);
  /// The write sent at `sent` ended. `revision` is the new revision if it was applied.
  void map_written(write_result result, std::uint64_t revision, time_point sent, time_point now);
  /// The store answered a read of an owner's lease record.
  void owner_lease_read(const std::string& agent, const lease_answer& answer, time_point now);
  /// The deletion of an owner's lease record ended.
  void owner_lease_deleted(const std::string& agent, write_result result, time_point now);
  /// Applies a map from another source if it is newer and this agent does not lead.
  void map_seen(const claim_map& map, time_point now);
  /// Resigns the leadership, before the process ends.
  void resign() { resigning_ = true; }

  /// Returns true while this agent holds the leadership.
  [[nodiscard]] bool leads(time_point now) const {
    return holds_ && !resigning_ && !write_conflict_ && now < leader_until_;
  }
  /// Returns the newest stored map that was read, written or received; its revision is zero if
  /// there is none.
  [[nodiscard]] const claim_map& map() const { return map_; }
  /// Returns the changes that lead from `revision` to `map`.
  [[nodiscard]] map_update changes_since(store_revision revision) const {
    return history_.changes_since(map_, revision);
  }

 private:
  /// An owner's statement that it accepts no more replies of a leader.
  struct rejection {
    std::uint64_t leader_incarnation = 0;
    time_point reported_at{};
    time_point lease_end{};  ///< The owner's lease by that leader's replies ends by then.
  };
  struct owner_state {
    owner_report report;
    std::uint64_t agent_incarnation = 0;  ///< Of the reporting process.
    time_point last_report{};
    std::optional<rejection> rejected;     ///< By its last report.
    time_point lease_until{};              ///< According to the replies sent to it.
    time_point map_sent{};                 ///< Last sent with a reply.
    std::uint64_t ended_registration = 0;  ///< It and all earlier registrations have ended.
    bool suspected = false;
    bool lease_call_in_flight = false;
    bool deleting = false;     ///< A deletion was sent and may still take effect.
    bool record_gone = false;  ///< Its lease record is; the lease by replies may last on.
    std::optional<std::uint64_t> lease_revision;
    /// Revision that a deletion was sent for; a record that still has it was not renewed since.
    std::optional<std::uint64_t> deletion_revision;
    time_point lease_seen{};
  };
  struct planned_move {
    released_range range;
    std::string from;
    std::string to;  ///< Empty: the least loaded owner.
    time_point since;
    double slots = 0;  ///< Load of the range at the present owner.
  };

  void lead(time_point now, leader_actions& out);
  void seek_leadership(time_point now, leader_actions& out);
  /// Returns what the last report of `agent`, in `owners`, says against the leader `incarnation`;
  /// null if it accepts the replies of that leader, or may do so.
  [[nodiscard]] static const rejection* rejection_of(
      const std::map<std::string, owner_state>& owners, const std::string& agent,
      std::uint64_t incarnation);
  [[nodiscard]] bool rejected_by_majority(time_point now) const;
  /// Returns when the leases end that the present leader and those before it granted, if this agent
  /// succeeds it at `now`. `ended_itself`: it resigned, or was an earlier process of this agent.
  [[nodiscard]] time_point lease_end_of_predecessors(bool ended_itself, time_point now) const;
  void become_leader(const claim_map& written, time_point now);
  /// Returns what the leader of the era that ends knows; nothing if another may have succeeded it.
  [[nodiscard]] std::optional<carried_claims> carried_over(time_point now) const;
  /// Notes whom the owner followed in the era before, which may show that no other agent led.
  void note_earlier_leader(const owner_report& report);
  /// Takes the ranges over into this era that their owners hold under leases of earlier ones.
  void take_over_earlier_ranges(claim_map& next) const;
  [[nodiscard]] bool led_alone() const { return carried_ && carried_->led_alone(); }
  /// Returns true while no map of this era is known and this agent led in the one before.
  [[nodiscard]] bool carries_claims() const { return carried_ && map_.revision == 0; }
  /// Returns true if the owner has registered in this era, and the registration has not ended.
  [[nodiscard]] bool registered(const owner_state& owner) const;
  void suspect_owners(time_point now, leader_actions& out);
  /// Returns the newest registration of `agent` that owns a range; zero if none does.
  [[nodiscard]] store_revision newest_registration(const std::string& agent) const;
  void end_ownership(const std::string& agent, const std::string& why, time_point now);
  void propose(claim_map next, time_point now, leader_actions& out);
  void adopt(const claim_map& map, time_point now);
  [[nodiscard]] claim_map next_map(time_point now);
  /// Makes the ranges free that their owners have released, or whose owners have ended.
  void free_claims(claim_map& next, time_point now) const;
  void assign_free(claim_map& next, time_point now);
  void merge_neighbours(claim_map& next, time_point now) const;
  void plan_drains(time_point now);
  /// Plans to move keys of owners that relocate: the most loaded first, only so many at a time that
  /// the other owners take them.
  void plan_relocations(time_point now);
  /// Plans to move all of `claimed` to the owners with the least load.
  void plan_release(const claim& claimed, time_point now);
  [[nodiscard]] bool moves(const claim& claimed) const;
  void plan_rebalancing(time_point now);
  /// Plans to move narrow ranges with little load to the owner of an adjacent range, so that they
  /// can be merged.
  void plan_fragment_moves(time_point now);
  /// Plans to move a hot range, one that takes much of the capacity of `from`, to the fastest owner
  /// if that owner serves it faster. Returns false if there is no such move.
  bool plan_hot_range_move(const std::string& from, std::map<std::string, double>& shares,
                           time_point now);
  /// Plans to move the densest range that fits, to even out the `gap` between `from` and `to`, in
  /// shares of their slots. Returns false if no range fits.
  bool plan_dense_range_move(const std::string& from, const std::string& to, double gap,
                             std::map<std::string, double>& shares, time_point now);
  void plan_move(const key_load& range_load, const std::string& from, const std::string& to,
                 std::map<std::string, double>& shares, time_point now);
  void shift_load(std::map<std::string, double>& shares, const std::string& from,
                  const std::string& to, double slots) const;
  [[nodiscard]] std::size_t moves_in_progress() const;
  void log_shares(const std::map<std::string, double>& shares, time_point now);
  /// Returns true if `agent` owns few enough ranges to take another one.
  [[nodiscard]] bool has_room_for_range(const std::string& agent) const;
  [[nodiscard]] bool movable(const key_load& range_load, const std::string& from) const;
  /// Returns the sampling error of a `share` that was measured on a few requests.
  [[nodiscard]] double sampling_error(const std::string& agent, double share) const;
  /// Returns the penalty of each owner for being slow; zero once the load needs all owners.
  [[nodiscard]] std::map<std::string, double> slowness_weights(
      const std::map<std::string, double>& shares) const;
  /// Returns the service time of `to` divided by that of `from`; 1 if either is unknown.
  [[nodiscard]] double service_time_ratio(const std::string& from, const std::string& to) const;
  [[nodiscard]] bool eligible(const std::string& agent, time_point now) const;
  [[nodiscard]] bool ownership_ended(const claim& claimed, time_point now) const;
  [[nodiscard]] std::map<std::string, double> load_shares(const std::vector<claim>& claims,
                                                          time_point now) const;
  [[nodiscard]] double load_of(const key_range& keys) const;
  void add_owners_to_push(const std::vector<claim>& from, const std::vector<claim>& to);
  [[nodiscard]] push_map push_to(const std::set<std::string>& agents, time_point now) const;
  /// Returns the revision from which `owner` can be sent changes; zero if it needs the whole map.
  [[nodiscard]] static std::uint64_t known_to(const owner_report& owner);
  void assign(claim& range, const std::string& agent, claim_map& next) const;
  [[nodiscard]] std::optional<std::string> planned_target(const key_range& keys) const;

  std::string service_;
  std::string agent_;
  endpoint address_;
  std::uint64_t incarnation_;
  claim_timing timing_;
  time_point started_at_;
  std::optional<std::size_t> candidate_rank_;
  bool resigning_ = false;

  store_era era_ = 0;
  time_point era_began_{};         ///< When this agent learned of the era.
  time_point earlier_eras_end_{};  ///< No lease of an earlier era lasts longer.
  std::optional<carried_claims> carried_;

  claim_map map_;
  claim_history history_;
  bool map_existence_known_ = false;  ///< The store answered whether a map exists.
  time_point revision_since_{};
  time_point next_read_{};
  bool read_in_flight_ = false;

  bool holds_ = false;
  bool incarnation_has_led_ = false;  ///< The next term needs another incarnation.
  bool write_conflict_ = false;       ///< The last write met another revision, not read back yet.
  store_revision incarnation_revision_ = 0;  ///< Of the first map with the current incarnation.
  bool rejected_by_owner_ = false;           ///< An owner rejects the current incarnation.
  time_point earlier_lease_end_{};           ///< Of all previous leaders.
  std::uint64_t earlier_incarnation_ = 0;    ///< Of the previous leader.
  time_point leader_since_{};
  time_point leader_until_{};
  time_point last_write_{};
  std::optional<claim_map> pending_;
  bool write_in_flight_ = false;
  bool write_outcome_unknown_ = false;
  /// When the first write after the last confirmed one was sent.
  std::optional<time_point> unconfirmed_write_since_;
  std::size_t unconfirmed_writes_ = 0;  ///< Sent since then, unless the store refused the only one.
  time_point next_write_{};
  std::set<std::string> push_to_;  ///< Owners whose keys changed since the last push.

  time_point last_tick_{};
  std::map<std::string, owner_state> owners_;
  std::vector<planned_move> planned_moves_;
  std::map<std::uint64_t, time_point> fence_since_;
  time_point next_rebalancing_{};
  time_point next_fragment_moves_{};
  time_point next_shares_log_{};
  std::vector<std::string> log_events_;
};

}  // namespace masticshunt::claims
