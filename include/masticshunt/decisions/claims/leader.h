/// @file
/// The one agent of a service that may change who owns which keys.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

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
/// Read an owner's lease object; answer with `owner_lease_read`.
struct read_owner_lease {
  std::string agent;
};
/// Delete an owner's lease object if it still has `revision`; answer with `owner_lease_deleted`.
struct delete_owner_lease {
  std::string agent;
  std::uint64_t revision = 0;
};
/// Send the map to owners that it concerns.
struct push_map {
  std::vector<endpoint> owners;
};
/// Something an operator may want to know.
struct leader_log_event {
  std::string text;
};
using leader_action = std::variant<read_map, write_map, read_owner_lease, delete_owner_lease,
                                   push_map, leader_log_event>;
using leader_actions = std::vector<leader_action>;
/// @}

/// What became of a conditional write or deletion.
enum class write_result {
  applied,
  conflict,   ///< The condition does not hold.
  refused,    ///< The store did nothing.
  no_answer,  ///< It may have taken effect, or may yet.
};

/// Changes owners on evidence, balances their load, and renews the right of living owners.
///
/// An owner changes only if it gave the range back itself, if its upstream's life is over, or if
/// its lease object, unchanged for as long as a renewal gives a right, could be deleted: then no
/// renewal can have given it a right since. The leadership itself changes in the same way: a
/// candidate writes the map over a revision that stood unchanged for `leader_lease`. It may write
/// sooner once most owners have rejected the leader; owners that have not may still get replies
/// from it, and keep their keys until its right is over.
/// Life cycle: every agent has one for each keyed service; feed `tick` and all answers.
/// Thread safety: none.
class leader {
 public:
  leader(std::string service, std::string agent, endpoint address, std::uint64_t incarnation,
         claim_timing timing, time_point now);

  /// Lets time act.
  leader_actions tick(time_point now);
  /// Answers an owner.
  leader_reply report_received(const owner_report& report, time_point now);
  /// Sets this agent's place among the candidates for the leadership; nothing: it is none.
  void set_candidate(std::optional<std::size_t> place) { place_ = place; }
  /// The store answered a read of the map (`answered`), or did not. `map` is empty if none exists.
  void map_read(bool answered, const std::optional<claim_map>& map, time_point now);
  /// The store answered the write sent at `sent`. `revision` is the new one if it was taken.
  void map_written(write_result result, std::uint64_t revision, time_point sent, time_point now);
  /// The store answered a read of an owner's lease object.
  void owner_lease_read(const std::string& agent, const lease_answer& answer, time_point now);
  /// The store answered a deletion of an owner's lease object.
  void owner_lease_deleted(const std::string& agent, write_result result, time_point now);
  /// Takes in a map seen elsewhere.
  void map_seen(const claim_map& map, time_point now);
  /// Gives the leadership back: the process is to end.
  void resign() { leaving_ = true; }

  /// Returns true while this agent holds the leadership.
  [[nodiscard]] bool leads(time_point now) const {
    return holds_ && !leaving_ && !overtaken_ && now < leader_until_;
  }
  /// Returns the newest map known to be in the store; its revision is zero if none is known.
  [[nodiscard]] const claim_map& map() const { return map_; }

 private:
  struct owner {
    owner_report report;
    std::uint64_t agent_incarnation = 0;  ///< Of the process that reports.
    time_point last_report{};
    time_point rejected{};     ///< When it last said that it rejects the present leader.
    time_point lease_until{};  ///< By the replies it was sent.
    time_point map_sent{};     ///< With a reply.
    std::uint64_t ended = 0;   ///< Registrations up to this one are over.
    bool suspected = false;
    bool lease_call = false;
    bool deleting = false;  ///< A deletion was sent and may still take effect.
    std::optional<std::uint64_t> lease_revision;
    time_point lease_seen{};
  };
  struct demand {
    released_range what;
    std::string from;
    std::string to;  ///< Empty: whoever has room.
    time_point since;
    double slots = 0;  ///< The load that moves along, at the present owner.
  };

  void lead(time_point now, leader_actions& out);
  void seek_leadership(time_point now, leader_actions& out);
  [[nodiscard]] bool rejected_by_most(time_point now) const;
  void become_leader(const claim_map& written, time_point now);
  void suspect_owners(time_point now, leader_actions& out);
  void propose(claim_map next, time_point now, leader_actions& out);
  void adopt(const claim_map& map, time_point now);
  [[nodiscard]] claim_map next_map(time_point now);
  void free_claims(claim_map& next, time_point now) const;
  void assign_free(claim_map& next, time_point now);
  void merge_neighbours(claim_map& next, time_point now) const;
  void demand_drains(time_point now);
  void demand_balance(time_point now);
  /// Gives narrow ranges that are cold by now to a neighbour's owner, so that they can be joined.
  void demand_tidying(time_point now);
  /// Moves a stretch that alone fills much of `from` to the fastest owner, if that serves it
  /// better.
  bool demand_hottest(const std::string& from, std::map<std::string, double>& shares,
                      time_point now);
  /// Moves load from `from` to `to` to even out a `gap` between them, in shares of the slots.
  bool demand_densest(const std::string& from, const std::string& to, double gap,
                      std::map<std::string, double>& shares, time_point now);
  void demand_move(const key_load& stretch, const std::string& from, const std::string& to,
                   std::map<std::string, double>& shares, time_point now);
  void shift_load(std::map<std::string, double>& shares, const std::string& from,
                  const std::string& to, double slots) const;
  [[nodiscard]] std::size_t moves_under_way() const;
  void note_shares(const std::map<std::string, double>& shares, time_point now);
  [[nodiscard]] bool movable(const key_load& stretch, const std::string& from) const;
  /// Returns the usual error of a `share` that is known from a few requests only.
  [[nodiscard]] double noise_of(const std::string& agent, double share) const;
  /// Returns what counts against each owner because it is slow; nothing once load needs them all.
  [[nodiscard]] std::map<std::string, double> slowness_weights(
      const std::map<std::string, double>& shares) const;
  /// Returns how many times the service time of `from` that of `to` is; 1 if one is not known.
  [[nodiscard]] double slower_by(const std::string& from, const std::string& to) const;
  [[nodiscard]] bool eligible(const std::string& agent, time_point now) const;
  [[nodiscard]] bool over(const claim& one) const;
  [[nodiscard]] std::map<std::string, double> loads(const std::vector<claim>& claims,
                                                    time_point now) const;
  [[nodiscard]] double load_of(const key_range& keys) const;
  void note_changed_owners(const std::vector<claim>& from, const std::vector<claim>& to);
  [[nodiscard]] std::vector<endpoint> addresses_of(const std::set<std::string>& agents,
                                                   time_point now) const;
  void give(claim& one, const std::string& agent, claim_map& next) const;
  [[nodiscard]] std::optional<std::string> planned_for(const key_range& keys) const;

  std::string service_;
  std::string agent_;
  endpoint address_;
  std::uint64_t life_;
  claim_timing timing_;
  time_point began_;
  std::optional<std::size_t> place_;
  bool leaving_ = false;

  claim_map map_;
  bool store_known_ = false;  ///< The store said whether a map exists.
  time_point revision_since_{};
  time_point next_read_{};
  bool read_in_flight_ = false;

  bool holds_ = false;
  bool overtaken_ = false;           ///< The store refused the last write; why is not known yet.
  std::uint64_t life_revision_ = 0;  ///< The first map that names the present life in the lead.
  bool rejected_ = false;            ///< An owner accepts no replies of this life in the lead.
  time_point earlier_leader_end_{};  ///< Of the leader before.
  time_point leader_since_{};
  time_point leader_until_{};
  time_point last_write_{};
  std::optional<claim_map> pending_;
  bool write_in_flight_ = false;
  bool in_doubt_ = false;
  std::optional<time_point> doubt_since_;  ///< The first write whose fate is not known.
  time_point next_write_{};
  std::set<std::string> push_to_;  ///< Owners whose keys changed since the last push.

  time_point last_tick_{};
  std::map<std::string, owner> owners_;
  std::vector<demand> demands_;
  std::map<std::uint64_t, time_point> fence_since_;
  time_point next_balance_{};
  time_point next_tidying_{};
  time_point next_shares_note_{};
  std::vector<std::string> notes_;
};

}  // namespace masticshunt::claims
