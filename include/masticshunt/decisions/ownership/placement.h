/// @file
/// Plans the placement of a group's ranges on its members.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::ownership {

/// An agent whose upstream may own ranges of the group.
struct placement_member {
  agent_id id;
  std::string region;
  std::string failure_domain;
  double slots = 1;           ///< As declared by the upstream.
  double observed_slots = 0;  ///< Limit of the gate; caps `slots`. Zero if unknown.
  bool draining = false;
  bool alive = true;
  /// Start time of the upstream, from which its usable slots ramp up; empty if it is warm.
  std::optional<time_point> cold_since;
};

/// A key and its load.
struct key_load {
  key_hash hash = 0;
  double load = 0;  ///< Mean number of slots in use.
};

/// A range with its load.
struct placement_range {
  hash_range range;
  agent_id owner;                   ///< Empty name if unassigned.
  double load = 0;                  ///< Mean number of slots in use, measured at the owner's gate.
  std::vector<key_load> hot_keys;   ///< Hottest first.
  std::string region;               ///< Preferred region; empty for none.
  std::optional<time_point> moved;  ///< Time of the last owner change.
};

/// Reason of a move.
enum class move_reason { unowned, drain, balance };

/// Returns "unowned", "drain" or "balance".
std::string_view to_string(move_reason reason);

/// A change of owner.
struct planned_move {
  hash_range range;
  agent_id from;  ///< Empty name if unassigned.
  agent_id to;
  move_reason reason = move_reason::balance;
  double cost = 0;  ///< In slot-seconds; see `placement_settings`.
};

/// A range to split at `at`, the first hash of the second part. Both parts keep the owner.
struct planned_split {
  hash_range range;
  key_hash at = 0;
};

/// Two adjacent ranges of one owner to merge.
struct planned_merge {
  hash_range left;
  hash_range right;
};

/// Changes to make now. Moves are in the order in which to start them.
struct placement_plan {
  std::vector<planned_move> moves;
  std::vector<planned_split> splits;
  std::vector<planned_merge> merges;

  [[nodiscard]] bool empty() const { return moves.empty() && splits.empty() && merges.empty(); }
};

/// Settings of the planner.
struct placement_settings {
  double peak_to_mean_start = 1.15;     ///< Balancing starts above this.
  double peak_to_mean_target = 1.08;    ///< Balancing stops below this.
  double valley_to_mean_start = 0.5;    ///< Members below this receive ranges.
  std::uint32_t balance_moves_max = 8;  ///< Maximum number of balancing moves of one plan.
  std::uint32_t drain_moves_max = 32;
  std::uint32_t splits_max = 8;
  std::uint32_t merges_max = 8;
  double split_share = 0.25;   ///< A range above this share of a member's fair load is split.
  double merge_share = 0.02;   ///< Two ranges with a joint share below it are merged.
  double isolate_share = 0.3;  ///< A key above this share of a split range is isolated.
  std::uint32_t ranges_per_member = 16;
  duration slow_start = std::chrono::seconds{60};
  double slow_start_floor = 0.1;  ///< Share of its slots usable by a cold member at first.
  /// Balancing does not move a range again within this time.
  duration move_cooldown = std::chrono::seconds{10};
  double move_cost_fixed = 0.02;  ///< Slot-seconds of a move without load.
  /// Adds load times this pause to the cost.
  duration move_pause = std::chrono::milliseconds{200};
  double move_cost_keys = 2;  ///< Slot-seconds lost to cold caches for a range of mean width.
  /// Period over which the gain of a move is counted.
  duration horizon = std::chrono::seconds{60};
};

/// Returns the number of slots that `member` can use now: the lesser of declared and observed
/// slots, ramped up while it is cold; zero if it is draining or not alive.
double usable_slots(const placement_member& member, const placement_settings& settings,
                    time_point now);

/// Returns the changes to make now. The result is deterministic.
///
/// Ranges without a live owner are placed first, then those of draining members; balancing comes
/// last and moves a range away from a member above the bound only if the gain over the horizon
/// exceeds the cost of the move. `ranges` must be sorted by `range.first`.
placement_plan plan_placement(const std::vector<placement_member>& members,
                              const std::vector<placement_range>& ranges,
                              const placement_settings& settings, time_point now);

}  // namespace masticshunt::ownership
