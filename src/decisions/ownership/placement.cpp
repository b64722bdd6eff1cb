#include "masticshunt/decisions/ownership/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <ranges>
#include <string_view>
#include <utility>

namespace masticshunt::ownership {

namespace {

constexpr double observed_slots_floor = 0.25;
constexpr double region_mismatch_penalty = 0.5;
constexpr double domain_excess_weight = 0.5;
constexpr std::size_t no_member = std::numeric_limits<std::size_t>::max();

double seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

/// A member during planning.
struct working_member {
  const placement_member* member = nullptr;
  double slots = 0;
  double load = 0;

  [[nodiscard]] double relative() const { return slots > 0 ? load / slots : 0; }
  [[nodiscard]] double relative_with(double more) const { return (load + more) / slots; }
};

/// A range during planning.
struct working_range {
  const placement_range* range = nullptr;
  double load = 0;  ///< Includes the base load, so that idle ranges count too.
  std::size_t owner = no_member;
};

/// Computes one plan.
class planner {
 public:
  planner(const std::vector<placement_member>& members, const std::vector<placement_range>& ranges,
          const placement_settings& settings, time_point now)
      : settings_(settings), now_(now) {
    add_members(members);
    add_ranges(ranges);
  }

  placement_plan make() {
    if (total_slots_ <= 0) return {};
    place_ranges(move_reason::unowned, std::numeric_limits<std::uint32_t>::max());
    place_ranges(move_reason::drain, settings_.drain_moves_max);
    balance();
    split();
    merge();
    return std::move(plan_);
  }

 private:
  void add_members(const std::vector<placement_member>& members) {
    members_.reserve(members.size());
    for (const auto& member : members) {
      const double slots = usable_slots(member, settings_, now_);
      indices_[member.id] = members_.size();
      members_.push_back({&member, slots, 0});
      total_slots_ += slots;
      domain_slots_[member.failure_domain] += slots;
    }
  }

  void add_ranges(const std::vector<placement_range>& ranges) {
    double load = 0;
    for (const auto& range : ranges) load += range.load;
    // An idle range counts as a hundredth of a mean one; without any load, all count the same.
    const double mean = ranges.empty() ? 0 : load / static_cast<double>(ranges.size());
    const double base = mean > 0 ? mean / 100 : 1;
    ranges_.reserve(ranges.size());
    for (const auto& range : ranges) {
      const auto owner = indices_.find(range.owner);
      const auto index = owner == indices_.end() ? no_member : owner->second;
      ranges_.push_back({&range, range.load + base, index});
      total_load_ += range.load + base;
      if (index == no_member) continue;
      members_[index].load += range.load + base;
      domain_load_[members_[index].member->failure_domain] += range.load + base;
    }
  }

  [[nodiscard]] double mean_relative() const { return total_load_ / total_slots_; }
  [[nodiscard]] double fair_load() const {
    const auto serving = std::ranges::count_if(members_, [](const auto& m) { return m.slots > 0; });
    return total_load_ / static_cast<double>(serving);
  }

  [[nodiscard]] std::optional<move_reason> must_move(const working_range& range) const {
    if (range.owner == no_member || !members_[range.owner].member->alive) {
      return move_reason::unowned;
    }
    if (members_[range.owner].member->draining) return move_reason::drain;
    return std::nullopt;
  }

  /// Returns the placement penalty of `range` on `candidate`; lower is better.
  [[nodiscard]] double score(const working_range& range, const working_member& candidate) const {
    const double mean = mean_relative();
    const auto& domain = candidate.member->failure_domain;
    const double domain_relative =
        (domain_load_.at(domain) + range.load) / domain_slots_.at(domain);
    const double domain_excess = std::max(0.0, domain_relative / mean - 1);
    const bool region_mismatch =
        !range.range->region.empty() && range.range->region != candidate.member->region;
    return candidate.relative_with(range.load) / mean + domain_excess_weight * domain_excess +
           (region_mismatch ? region_mismatch_penalty : 0);
  }

  [[nodiscard]] std::size_t best_member(const working_range& range) {
    std::size_t best = no_member;
    double best_score = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < members_.size(); ++index) {
      const auto& candidate = members_[index];
      if (candidate.slots <= 0 || index == range.owner) continue;
      domain_load_.try_emplace(candidate.member->failure_domain, 0);
      const double found = score(range, candidate);
      if (found < best_score) {
        best = index;
        best_score = found;
      }
    }
    return best;
  }

  /// Returns the width of the range as a multiple of the mean width.
  [[nodiscard]] double relative_width(const working_range& range) const {
    const auto& [first, last] = range.range->range;
    return (static_cast<double>(last - first) + 1) / 0x1p64 * static_cast<double>(ranges_.size());
  }

  [[nodiscard]] double cost_of(const working_range& range) const {
    return settings_.move_cost_fixed + range.range->load * seconds(settings_.move_pause) +
           settings_.move_cost_keys * relative_width(range);
  }

  void move(working_range& range, std::size_t to, move_reason reason) {
    planned_move planned{range.range->range, {}, members_[to].member->id, reason, cost_of(range)};
    if (range.owner != no_member) {
      planned.from = members_[range.owner].member->id;
      members_[range.owner].load -= range.load;
      domain_load_[members_[range.owner].member->failure_domain] -= range.load;
    }
    members_[to].load += range.load;
    domain_load_[members_[to].member->failure_domain] += range.load;
    range.owner = to;
    plan_.moves.push_back(std::move(planned));
  }

  void place_ranges(move_reason reason, std::uint32_t moves_max) {
    std::vector<working_range*> waiting;
    for (auto& range : ranges_) {
      if (must_move(range) == reason) waiting.push_back(&range);
    }
    std::ranges::stable_sort(waiting, std::ranges::greater{}, &working_range::load);
    for (auto* range : waiting | std::views::take(moves_max)) {
      const auto to = best_member(*range);
      if (to != no_member) move(*range, to, reason);
    }
  }

  [[nodiscard]] bool may_move(const working_range& range) const {
    return !range.range->moved || now_ - *range.range->moved >= settings_.move_cooldown;
  }

  /// Returns the gain of moving `range` to `to` over the horizon, in slot-seconds: the reduction of
  /// the load above the mean.
  [[nodiscard]] double gain_of(const working_range& range, std::size_t to) const {
    const double mean = reachable_mean_;
    const auto above = [mean](const working_member& member, double change) {
      return std::max(0.0, member.load + change - member.slots * mean);
    };
    const auto& from = members_[range.owner];
    const double before = above(from, 0) + above(members_[to], 0);
    const double after = above(from, -range.load) + above(members_[to], range.load);
    return (before - after) * seconds(settings_.horizon);
  }

  /// Moves the range of `peak` with the best net gain for its cost. Ranges whose target would
  /// become as loaded as `peak` are excluded. Returns false if there is no range to move.
  bool unload(std::size_t peak) {
    working_range* best = nullptr;
    std::size_t best_to = no_member;
    double best_net = 0;
    for (auto& range : ranges_) {
      if (range.owner != peak || !may_move(range)) continue;
      const auto to = best_member(range);
      if (to == no_member) continue;
      if (members_[to].relative_with(range.load) >= members_[peak].relative()) continue;
      const double gain = gain_of(range, to);
      const double cost = cost_of(range);
      const double net = (gain - cost) / (1 + cost);
      if (net > best_net) {
        best = &range;
        best_to = to;
        best_net = net;
      }
    }
    if (best == nullptr) return false;
    move(*best, best_to, move_reason::balance);
    return true;
  }

  [[nodiscard]] std::vector<const working_range*> hottest_first() const {
    std::vector<const working_range*> order;
    order.reserve(ranges_.size());
    for (const auto& range : ranges_) order.push_back(&range);
    std::ranges::stable_sort(order, std::ranges::greater{}, &working_range::load);
    return order;
  }

  /// Returns the mean load per slot of the remaining members once each range that alone exceeds the
  /// bound has its owner to itself.
  [[nodiscard]] double reachable_mean() const {
    double mean = mean_relative();
    double load = total_load_;
    double slots = total_slots_;
    std::vector<bool> excluded(members_.size(), false);
    const auto hottest = hottest_first();
    for (const auto* range : hottest) {
      if (range->owner == no_member || excluded[range->owner]) continue;
      const double own_slots = members_[range->owner].slots;
      if (range->load <= own_slots * mean * settings_.peak_to_mean_start) break;
      if (slots - own_slots <= 0) break;
      excluded[range->owner] = true;
      load -= range->load;
      slots -= own_slots;
      mean = load / slots;
    }
    return mean;
  }

  [[nodiscard]] std::vector<std::size_t> busiest_first() const {
    std::vector<std::size_t> order(members_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(order, std::ranges::greater{},
                             [&](std::size_t index) { return members_[index].relative(); });
    std::erase_if(order, [&](std::size_t index) { return members_[index].slots <= 0; });
    return order;
  }

  /// Moves one range away from the busiest member that has a suitable one. Returns false if there
  /// is none.
  bool unload_busiest(double bound) {
    for (const auto index : busiest_first()) {
      if (members_[index].relative() <= bound) return false;
      if (unload(index)) return true;
    }
    return false;
  }

  void balance() {
    reachable_mean_ = reachable_mean();
    const double mean = reachable_mean_;
    const auto order = busiest_first();
    const auto relative = [&](std::size_t position) {
      return members_[order[position]].relative();
    };
    const auto has_spare_range = [&](std::size_t index) {
      return std::ranges::count(ranges_, index, &working_range::owner) > 1;
    };
    const auto peak = std::ranges::find_if(order, has_spare_range);
    if (peak == order.end()) return;
    const bool has_peak = members_[*peak].relative() > mean * settings_.peak_to_mean_start;
    const bool has_valley = relative(order.size() - 1) < mean * settings_.valley_to_mean_start;
    if (!has_peak && !has_valley) return;
    const double bound = has_peak ? mean * settings_.peak_to_mean_target : mean;
    for (std::uint32_t moves = 0; moves < settings_.balance_moves_max; ++moves) {
      if (!unload_busiest(bound)) return;
    }
  }

  /// Returns the split point of a hot range, or nothing if its load is below the bound or it holds
  /// a single hash.
  [[nodiscard]] std::optional<key_hash> split_point(const working_range& range) const {
    const auto& [first, last] = range.range->range;
    if (first == last) return std::nullopt;
    if (range.load < fair_load() * settings_.split_share) return std::nullopt;
    const auto& keys = range.range->hot_keys;
    const bool has_dominant_key = !keys.empty() && range.range->range.contains(keys[0].hash) &&
                                  keys[0].load >= range.load * settings_.isolate_share;
    if (!has_dominant_key) return first + (last - first) / 2 + 1;
    return keys[0].hash == first ? first + 1 : keys[0].hash;
  }

  [[nodiscard]] std::size_t ranges_max() const {
    return members_.size() * settings_.ranges_per_member * 2;
  }

  void split() {
    const auto hottest = hottest_first();
    for (const auto* range : hottest) {
      const bool full = plan_.splits.size() >= settings_.splits_max ||
                        ranges_.size() + plan_.splits.size() >= ranges_max();
      if (full) return;
      if (is_moving(range->range->range)) continue;
      if (const auto at = split_point(*range)) plan_.splits.push_back({range->range->range, *at});
    }
  }

  [[nodiscard]] bool is_moving(const hash_range& range) const {
    return std::ranges::count(plan_.moves, range, &planned_move::range) != 0;
  }

  [[nodiscard]] bool can_merge(const working_range& left, const working_range& right) const {
    return left.owner == right.owner && left.owner != no_member &&
           left.range->range.last + 1 == right.range->range.first &&
           left.range->region == right.range->region &&
           left.load + right.load < fair_load() * settings_.merge_share && may_move(left) &&
           may_move(right) && !is_moving(left.range->range) && !is_moving(right.range->range);
  }

  void merge() {
    const auto ranges_target = members_.size() * settings_.ranges_per_member;
    std::size_t spare = ranges_.size() > ranges_target ? ranges_.size() - ranges_target : 0;
    spare = std::min<std::size_t>(spare, settings_.merges_max);
    for (std::size_t index = 0; index + 1 < ranges_.size() && spare > 0; ++index) {
      if (!can_merge(ranges_[index], ranges_[index + 1])) continue;
      plan_.merges.push_back({ranges_[index].range->range, ranges_[index + 1].range->range});
      ++index;  // Each range takes part in one merge at most.
      --spare;
    }
  }

  const placement_settings& settings_;
  time_point now_;
  std::vector<working_member> members_;
  std::vector<working_range> ranges_;
  std::map<agent_id, std::size_t> indices_;
  std::map<std::string, double> domain_slots_;
  std::map<std::string, double> domain_load_;
  double total_slots_ = 0;
  double total_load_ = 0;
  double reachable_mean_ = 0;
  placement_plan plan_;
};

}  // namespace

std::string_view to_string(move_reason reason) {
  constexpr std::string_view names[] = {"unowned", "drain", "balance"};
  return names[static_cast<std::size_t>(reason)];
}

double usable_slots(const placement_member& member, const placement_settings& settings,
                    time_point now) {
  if (member.draining || !member.alive) return 0;
  double slots = member.slots;
  if (member.observed_slots > 0) {
    slots = std::clamp(member.observed_slots, slots * observed_slots_floor, slots);
  }
  if (!member.cold_since) return slots;
  const double warm = seconds(now - *member.cold_since) / seconds(settings.slow_start);
  return slots * std::clamp(warm, settings.slow_start_floor, 1.0);
}

placement_plan plan_placement(const std::vector<placement_member>& members,
                              const std::vector<placement_range>& ranges,
                              const placement_settings& settings, time_point now) {
  return planner(members, ranges, settings, now).make();
}

}  // namespace masticshunt::ownership
