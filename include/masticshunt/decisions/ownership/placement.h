/// @file
/// Plans which member of a group is to own which range.
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
  double slots = 1;           ///< As the upstream declared.
  double observed_slots = 0;  ///< The gate's limit; bounds what was declared. Zero: unknown.
  bool draining = false;
  bool alive = true;
  std::optional<time_point> cold_since;  ///< Set from the upstream's start on.
};

/// A key that takes a known load.
struct key_load {
  key_hash hash = 0;
  double load = 0;  ///< Mean slots in use.
};

/// A range with its load.
struct placement_range {
  hash_range range;
  agent_id owner;                   ///< Empty name: nobody.
  double load = 0;                  ///< Mean slots in use, as the owner's gate has seen.
  std::vector<key_load> hot_keys;   ///< Hottest first.
  std::string region;               ///< The region wished for; empty for none.
  std::optional<time_point> moved;  ///< When its owner last changed.
};

/// Why a range moves.
enum class move_reason { unowned, drain, balance };

/// Returns "unowned", "drain" or "balance".
std::string_view to_string(move_reason reason);

/// A change of owner.
struct planned_move {
  hash_range range;
  agent_id from;  ///< Empty name: nobody.
  agent_id to;
  move_reason reason = move_reason::balance;
  double cost = 0;  ///< Slot-seconds that the move takes away; see `placement_settings`.
};

/// A range to be cut in two; the second one starts at `at` and keeps the owner.
struct planned_split {
  hash_range range;
  key_hash at = 0;
};

/// Two adjacent ranges of one owner to be joined.
struct planned_merge {
  hash_range left;
  hash_range right;
};

/// What is to change now. Moves come in the order in which they are to start.
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
  double valley_to_mean_start = 0.5;    ///< A member below this is filled up.
  std::uint32_t balance_moves_max = 8;  ///< Planned moves of one plan that are not urgent.
  std::uint32_t drain_moves_max = 32;
  std::uint32_t splits_max = 8;
  std::uint32_t merges_max = 8;
  double split_share = 0.25;   ///< A range above this share of a member's fair load is cut.
  double merge_share = 0.02;   ///< Two ranges that are together below it are joined.
  double isolate_share = 0.3;  ///< A key above this share of a range that is cut stands alone.
  std::uint32_t ranges_per_member = 16;
  duration slow_start = std::chrono::seconds{60};
  double slow_start_floor = 0.1;  ///< Share of its slots that a cold member starts with.
  duration move_cooldown = std::chrono::seconds{10};  ///< A moved range stays at least so long.
  double move_cost_fixed = 0.02;                      ///< Slot-seconds of a hand-over without load.
  duration move_pause = std::chrono::milliseconds{200};  ///< Load times this is the rest of it.
  double move_cost_keys = 2;  ///< Slot-seconds of cold caches for a range of mean width.
  duration horizon = std::chrono::seconds{60};  ///< How long the gain of a move counts.
};

/// Returns the share of its slots that `member` can use now: the lesser of what was declared and
/// what was observed, ramped up while it is cold; zero if it drains or is not alive.
double usable_slots(const placement_member& member, const placement_settings& settings,
                    time_point now);

/// Returns the changes to make now. The same input gives the same plan.
///
/// Ranges without a living owner come first, then those of draining members, then balancing: a
/// range leaves a member above the bound only if the gain over the horizon exceeds the cost of
/// the move. `ranges` must be sorted by `range.first`.
placement_plan plan_placement(const std::vector<placement_member>& members,
                              const std::vector<placement_range>& ranges,
                              const placement_settings& settings, time_point now);

}  // namespace masticshunt::ownership
