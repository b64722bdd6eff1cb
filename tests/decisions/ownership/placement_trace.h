/// @file
/// A Zipf-distributed load with changing hot keys on a group of members, and the placement
/// strategies compared on it.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "masticshunt/decisions/ownership/placement.h"

namespace masticshunt::testing {

using namespace masticshunt::ownership;

/// Keys by hash, with their load: Zipf(1.0) over `keys` keys, of which the hottest are single
/// points and the rest is distributed uniformly over the hash space.
class zipf_keys {
 public:
  /// `cap` limits the load of each key.
  zipf_keys(double keys, std::size_t points, double load, double cap, std::uint64_t seed)
      : random_(seed) {
    double harmonic = 0;
    for (std::size_t rank = 1; rank <= points; ++rank) harmonic += 1.0 / static_cast<double>(rank);
    const double tail = std::log(keys / static_cast<double>(points));
    for (std::size_t rank = 1; rank <= points; ++rank) {
      const double share = 1 / (static_cast<double>(rank) * (harmonic + tail));
      points_.push_back({random_(), std::min(load * share, cap)});
    }
    tail_load_ = load * tail / (harmonic + tail);
    index();
  }

  /// Reassigns the `count` hottest ranks to other keys.
  void replace_hottest(std::size_t count) {
    for (std::size_t rank = 0; rank < count; ++rank) points_[rank].hash = random_();
    index();
  }

  [[nodiscard]] double load_of(const hash_range& range) const {
    const auto [first, last] = points_in(range);
    const double width = static_cast<double>(range.last - range.first) / 0x1p64;
    return sums_[last] - sums_[first] + width * tail_load_;
  }

  [[nodiscard]] std::vector<key_load> hottest_of(const hash_range& range, std::size_t count) const {
    const auto [first, last] = points_in(range);
    std::vector<key_load> keys(sorted_.begin() + static_cast<long>(first),
                               sorted_.begin() + static_cast<long>(last));
    std::ranges::sort(keys, std::ranges::greater{}, &key_load::load);
    keys.resize(std::min(count, keys.size()));
    return keys;
  }

  [[nodiscard]] const std::vector<key_load>& by_hash() const { return sorted_; }
  [[nodiscard]] double tail_load() const { return tail_load_; }
  [[nodiscard]] double hottest_load() const { return points_.front().load; }

 private:
  [[nodiscard]] std::pair<std::size_t, std::size_t> points_in(const hash_range& range) const {
    const auto first = std::ranges::lower_bound(sorted_, range.first, {}, &key_load::hash);
    const auto last = std::ranges::upper_bound(sorted_, range.last, {}, &key_load::hash);
    return {first - sorted_.begin(), last - sorted_.begin()};
  }

  void index() {
    sorted_ = points_;
    std::ranges::sort(sorted_, {}, &key_load::hash);
    sums_.assign(1, 0);
    for (const auto& key : sorted_) sums_.push_back(sums_.back() + key.load);
  }

  std::mt19937_64 random_;
  std::vector<key_load> points_;  ///< By rank.
  std::vector<key_load> sorted_;  ///< By hash.
  std::vector<double> sums_;
  double tail_load_ = 0;
};

/// Results of one round of a strategy.
struct round_result {
  double peak_to_mean = 0;
  double moved_share = 0;  ///< Share of the key space that changed owner.
  std::size_t moves = 0;
};

/// Returns members in six failure domains of three regions, with 12 slots each.
inline std::vector<placement_member> members_of(std::size_t count) {
  std::vector<placement_member> members;
  for (std::size_t index = 0; index < count; ++index) {
    placement_member member;
    member.id = {"a" + std::to_string(index), 1};
    member.region = "r" + std::to_string(index % 3);
    member.failure_domain = "d" + std::to_string(index % 6);
    member.slots = 12;
    members.push_back(member);
  }
  return members;
}

inline double width_of(const hash_range& range) {
  return (static_cast<double>(range.last - range.first) + 1) / 0x1p64;
}

/// Returns the greatest load per slot divided by the mean. `loads` is keyed by the member's name.
inline double peak_to_mean(const std::vector<placement_member>& members,
                           const std::map<std::string, double>& loads) {
  double slots = 0;
  double load = 0;
  double peak = 0;
  for (const auto& member : members) {
    if (!member.alive || member.draining) continue;
    const auto own = loads.find(member.id.name);
    const double member_load = own == loads.end() ? 0 : own->second;
    slots += member.slots;
    load += member_load;
    peak = std::max(peak, member_load / member.slots);
  }
  return load > 0 ? peak / (load / slots) : 0;
}

/// Applies the planner round by round, like a coordinator.
class planned_group {
 public:
  planned_group(std::vector<placement_member> initial_members, placement_settings settings)
      : members(std::move(initial_members)), settings_(settings) {
    const auto count = members.size() * settings.ranges_per_member;
    const key_hash width = ~key_hash{0} / count;
    for (std::size_t index = 0; index < count; ++index) {
      const key_hash first = index * width + (index == 0 ? 0 : 1);
      const key_hash last = index + 1 == count ? ~key_hash{0} : (index + 1) * width;
      ranges.push_back({{first, last}, {}, 0, {}, "", std::nullopt});
    }
  }

  round_result round(const zipf_keys& keys, time_point now) {
    observe(keys);
    round_result result;
    const auto plan = plan_placement(members, ranges, settings_, now);
    for (const auto& move : plan.moves) {
      auto& range = *std::ranges::find(ranges, move.range, &placement_range::range);
      range.owner = move.to;
      range.moved = now;
      if (!move.from.name.empty()) result.moved_share += width_of(move.range);
      ++result.moves;
    }
    apply_cuts(plan);
    observe(keys);
    std::map<std::string, double> loads;
    for (const auto& range : ranges) loads[range.owner.name] += range.load;
    result.peak_to_mean = peak_to_mean(members, loads);
    return result;
  }

  [[nodiscard]] double owned_share(const std::string& name) const {
    double share = 0;
    for (const auto& range : ranges) share += range.owner.name == name ? width_of(range.range) : 0;
    return share;
  }

  std::vector<placement_member> members;
  std::vector<placement_range> ranges;

 private:
  void observe(const zipf_keys& keys) {
    for (auto& range : ranges) {
      range.load = keys.load_of(range.range);
      range.hot_keys = keys.hottest_of(range.range, 4);
    }
  }

  void apply_cuts(const placement_plan& plan) {
    for (const auto& split : plan.splits) {
      auto left = std::ranges::find(ranges, split.range, &placement_range::range);
      auto right = *left;
      left->range.last = split.at - 1;
      right.range.first = split.at;
      ranges.insert(left + 1, right);
    }
    for (const auto& merge : plan.merges) {
      auto left = std::ranges::find(ranges, merge.left, &placement_range::range);
      left->range.last = merge.right.last;
      ranges.erase(left + 1);
    }
  }

  placement_settings settings_;
};

/// A consistent-hash ring with 150 points per member.
class ring_group {
 public:
  explicit ring_group(std::vector<placement_member> initial_members)
      : members(std::move(initial_members)) {}

  round_result round(const zipf_keys& keys, time_point) {
    constexpr int points_per_member = 150;
    std::map<key_hash, std::string> ring;
    for (const auto& member : members) {
      if (!member.alive || member.draining) continue;
      for (int point = 0; point < points_per_member; ++point) {
        ring[hash_of_key(member.id.name + "#" + std::to_string(point))] = member.id.name;
      }
    }
    round_result result;
    std::map<std::string, double> loads;
    key_hash first = 0;
    std::vector<std::pair<hash_range, std::string>> ranges;
    for (const auto& [last, name] : ring) {
      ranges.push_back({{first, last}, name});
      first = last + 1;
    }
    ranges.push_back({{first, ~key_hash{0}}, ring.begin()->second});
    for (const auto& [range, name] : ranges) loads[name] += keys.load_of(range);
    result.moved_share = moved_since(ranges);
    result.peak_to_mean = peak_to_mean(members, loads);
    previous_ = std::move(ranges);
    return result;
  }

  [[nodiscard]] double owned_share(const std::string& name) const {
    double share = 0;
    for (const auto& [range, owner] : previous_) share += owner == name ? width_of(range) : 0;
    return share;
  }

  std::vector<placement_member> members;

 private:
  [[nodiscard]] double moved_since(
      const std::vector<std::pair<hash_range, std::string>>& ranges) const {
    double share = 0;
    for (std::size_t now = 0, before = 0; now < ranges.size() && before < previous_.size();) {
      const auto first = std::max(ranges[now].first.first, previous_[before].first.first);
      const auto last = std::min(ranges[now].first.last, previous_[before].first.last);
      if (ranges[now].second != previous_[before].second) share += width_of({first, last});
      if (ranges[now].first.last == last) ++now;
      if (previous_[before].first.last == last) ++before;
    }
    return share;
  }

  std::vector<std::pair<hash_range, std::string>> previous_;
};

/// Ranges of equal width, reassigned each round to the least loaded member, hottest range first,
/// without regard to the cost of moves.
class least_loaded_group {
 public:
  explicit least_loaded_group(std::vector<placement_member> initial_members)
      : members(std::move(initial_members)) {}

  round_result round(const zipf_keys& keys, time_point) {
    const auto count = members.size() * 16;
    const key_hash width = ~key_hash{0} / count;
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t index = 0; index < count; ++index) {
      const key_hash first = index * width + (index == 0 ? 0 : 1);
      order.push_back({keys.load_of({first, (index + 1) * width}), index});
    }
    std::ranges::sort(order, std::ranges::greater{});
    std::map<std::string, double> loads;
    for (const auto& member : members) {
      if (member.alive && !member.draining) loads[member.id.name] = 0;
    }
    round_result result;
    owners_.resize(count);
    for (const auto& [load, index] : order) {
      const auto least =
          std::ranges::min_element(loads, {}, [](const auto& m) { return m.second; });
      least->second += load;
      if (!owners_[index].empty() && owners_[index] != least->first) {
        result.moved_share += 1.0 / static_cast<double>(count);
        ++result.moves;
      }
      owners_[index] = least->first;
    }
    result.peak_to_mean = peak_to_mean(members, loads);
    return result;
  }

  [[nodiscard]] double owned_share(const std::string& name) const {
    return static_cast<double>(std::ranges::count(owners_, name)) /
           static_cast<double>(owners_.size());
  }

  std::vector<placement_member> members;

 private:
  std::vector<std::string> owners_;
};

/// Results of a strategy over a whole trace.
struct trace_result {
  double mean_peak_to_mean = 0;    ///< Over all rounds after the first 10.
  double steady_peak_to_mean = 0;  ///< Maximum of the last 3 rounds before each event.
  double moved_share = 0;          ///< Sum over the trace, as a multiple of the key space.
};

inline constexpr double busy_share = 0.6;

/// Returns the load of a group of `count` members of 12 slots with utilisation `busy_share`; no key
/// has more than nine tenths of a member's share.
inline zipf_keys load_of_group(std::size_t count, std::uint64_t seed) {
  const double fair_load = 12 * busy_share;
  return {19e9, 20'000, static_cast<double>(count) * fair_load, fair_load * 0.9, seed};
}

/// Runs `group` for 120 rounds of 10 s: the 10 hottest keys change every 20 rounds; a member is
/// lost after 50 rounds and returns cold after 90.
template <class Group>
trace_result run_trace(Group group, std::uint64_t seed) {
  constexpr int rounds = 120;
  constexpr int settled_after = 10;
  constexpr int loss_round = 50;
  constexpr int return_round = 90;
  auto keys = load_of_group(group.members.size(), seed);
  trace_result result;
  time_point now{std::chrono::hours{1}};
  for (int round = 0; round < rounds; ++round, now += std::chrono::seconds{10}) {
    if (round % 20 == 0) keys.replace_hottest(10);
    if (round == loss_round) group.members[0].alive = false;
    if (round == return_round) {
      group.members[0].alive = true;
      group.members[0].id.incarnation = 2;
      group.members[0].cold_since = now;
    }
    const auto result_of_round = group.round(keys, now);
    if (round == 0) continue;
    result.moved_share += result_of_round.moved_share;
    if (round >= settled_after) {
      result.mean_peak_to_mean += result_of_round.peak_to_mean / (rounds - settled_after);
    }
    const bool before_event = round % 20 >= 17 || (round >= 47 && round < loss_round);
    if (before_event) {
      result.steady_peak_to_mean =
          std::max(result.steady_peak_to_mean, result_of_round.peak_to_mean);
    }
  }
  return result;
}

/// Keys moved after the loss of a member, as a multiple of the keys it owned.
struct loss_result {
  double total = 0;  ///< Over all losses.
  double p50 = 0;
  double max = 0;
};

/// Runs `group` for 20 rounds to a steady state; then, each time from that state, removes one
/// member and counts the moves of 5 rounds.
template <class Group>
loss_result lose_each_member(Group group, std::uint64_t seed) {
  const auto keys = load_of_group(group.members.size(), seed);
  time_point now{std::chrono::hours{1}};
  for (int round = 0; round < 20; ++round, now += std::chrono::seconds{10}) group.round(keys, now);
  std::vector<double> ratios;
  double moved_sum = 0;
  double lost_sum = 0;
  for (std::size_t lost = 0; lost < group.members.size(); ++lost) {
    auto after = group;
    const double owned = after.owned_share(after.members[lost].id.name);
    after.members[lost].alive = false;
    double moved = 0;
    for (int round = 0; round < 5; ++round) {
      moved += after.round(keys, now + round * std::chrono::seconds{10}).moved_share;
    }
    if (owned > 0) ratios.push_back(moved / owned);
    moved_sum += moved;
    lost_sum += owned;
  }
  std::ranges::sort(ratios);
  return {moved_sum / lost_sum, ratios[ratios.size() / 2], ratios.back()};
}

}  // namespace masticshunt::testing
