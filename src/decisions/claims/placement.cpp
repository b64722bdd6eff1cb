/// Assignment of free ranges, and load balancing between owners.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "masticshunt/decisions/claims/leader.h"

namespace masticshunt::claims {

namespace {

// A share is the load of an owner divided by its slots.
constexpr duration settle_time = std::chrono::milliseconds{1'200};
constexpr duration balance_interval = std::chrono::milliseconds{350};
constexpr double busy_from = 0.55;       // share from which load is moved away
constexpr double gap_from = 0.22;        // difference of shares that justifies a move
constexpr double idle_below = 0.05;      // share of a slow owner that does not justify a move
constexpr double slowness_weight = 0.4;  // added to the share of an owner of twice the service time
constexpr double speed_matters_below = 0.75;  // mean share from which slowness adds nothing
constexpr double smallest_move = 0.05;        // as a share of the owner's slots
constexpr double overshoot = 1.25;            // a move may exceed the load to move by this factor
constexpr double overloaded_from = 1.0;       // share from which an indivisible range may move
constexpr double indivisible_from = 0.5;  // share of its owner's slots: too large for rebalancing
constexpr double faster_ratio_max = 0.8;  // the target's service time divided by the source's
constexpr std::size_t moves_at_once = 12;
constexpr std::size_t claims_max = 200;          // limit with few owners
constexpr std::size_t claims_max_of_owner = 8;   // limit per owner with many owners
constexpr std::size_t ranges_of_owner_max = 64;  // its upstream is told all of them in one message
constexpr std::size_t fragment_moves_from = 40;  // claims from which cold fragments are moved
constexpr std::size_t fragment_moves_at_once = 4;
constexpr double cold_below = 0.05;  // as a share of the target's slots
constexpr std::uint32_t fragment_keys_max = 1'024;
constexpr std::size_t merge_from = 18;  // claims from which adjacent claims are merged
/// Approximate time over which owners average their load.
constexpr duration load_averaging_time = std::chrono::milliseconds{870};
constexpr duration shares_log_interval = std::chrono::seconds{1};
constexpr duration merge_age = std::chrono::seconds{3};
constexpr duration fragment_moves_interval = std::chrono::milliseconds{700};
// Load assumed for all keys together, in slots, before any is measured; measured load adds to it.
constexpr double assumed_load = 0.5;

/// Returns the load on `keys` that their owner reported, in slots.
double reported_load(const owner_report& report, const key_range& keys) {
  double sum = 0;
  for (const key_load& load : report.loads)
    if (keys.contains(load.keys)) sum += load.slots;
  return sum;
}

double share_of_keys(const key_range& keys) {
  return static_cast<double>(keys.size()) / (static_cast<double>(last_shard_key) + 1);
}

}  // namespace

double leader::load_of(const key_range& keys) const {
  double sum = assumed_load * share_of_keys(keys);
  for (const auto& [agent, owner] : owners_) {
    for (const key_load& load : owner.report.loads) {
      if (!load.keys.overlaps(keys)) continue;
      const double common =
          std::min(load.keys.last, keys.last) + 1.0 - std::max(load.keys.first, keys.first);
      sum += load.slots * common / load.keys.size();
    }
  }
  return sum;
}

std::map<std::string, double> leader::load_shares(const std::vector<claim>& claims,
                                                  time_point now) const {
  std::map<std::string, double> result;
  for (const auto& [agent, owner] : owners_)
    if (eligible(agent, now)) result[agent] = 0;
  for (const claim& claimed : claims) {
    const auto found = result.find(claimed.holder.agent);
    if (found != result.end())
      found->second += load_of(claimed.keys) / std::max(1U, owners_.at(found->first).report.slots);
  }
  return result;
}

void leader::assign(claim& range, const std::string& agent, claim_map& next) const {
  const owner_report& report = owners_.at(agent).report;
  range.holder = report.holder;
  range.upstream = report.upstream;
  range.fence = next.next_fence++;
}

std::optional<std::string> leader::planned_target(const key_range& keys) const {
  const auto found = std::ranges::find_if(
      planned_moves_, [&](const planned_move& each) { return each.range.keys.contains(keys); });
  if (found == planned_moves_.end() || found->to.empty()) return std::nullopt;
  return found->to;
}

void leader::assign_free(claim_map& next, time_point now) {
  const auto is_free = [this, now](const claim& each) {
    return each.holder.agent.empty() && (!each.unsettled() || now >= earlier_eras_end_);
  };
  if (std::ranges::none_of(next.claims, is_free)) return;
  auto shares = load_shares(next.claims, now);
  if (shares.empty()) return;
  const bool all_free = std::ranges::all_of(next.claims, is_free);
  if (all_free && now - leader_since_ < settle_time) return;
  // A free range of at least 1.5 even shares of the keys is split among several owners.
  const double even = 1.0 / static_cast<double>(shares.size());
  for (std::size_t i = 0; i < next.claims.size(); ++i) {
    const claim& range = next.claims[i];
    if (!is_free(range) || share_of_keys(range.keys) < 1.5 * even) continue;
    const auto part =
        static_cast<shard_key>(std::ceil(even * (static_cast<double>(last_shard_key) + 1)));
    split_at(next.claims, {range.keys.first, range.keys.first + part - 1});
  }
  std::map<std::string, double> keys_held;
  for (const claim& each : next.claims) keys_held[each.holder.agent] += share_of_keys(each.keys);
  for (claim& free_range : next.claims) {
    if (!is_free(free_range)) continue;
    const claim* before = map_.find(free_range.keys.first);
    std::optional<std::string> to = planned_target(free_range.keys);
    if (!to && before != nullptr && shares.contains(before->holder.agent) &&
        std::ranges::none_of(planned_moves_, [&](const planned_move& move) {
          return move.range.keys.overlaps(free_range.keys) && move.from == before->holder.agent;
        }))
      to = before->holder.agent;
    if (!to || !shares.contains(*to)) {
      to = std::ranges::min_element(shares, {}, [&](const auto& entry) {
             return entry.second + keys_held[entry.first];
           })->first;
    }
    assign(free_range, *to, next);
    shares[*to] += load_of(free_range.keys) / std::max(1U, owners_.at(*to).report.slots);
    keys_held[*to] += share_of_keys(free_range.keys);
    log_events_.push_back("assigned keys=" + std::to_string(free_range.keys.first) + "-" +
                          std::to_string(free_range.keys.last) + " agent=" + *to +
                          " fence=" + std::to_string(free_range.fence) +
                          " warm=" + (free_range.handover.empty() ? "no" : "yes"));
  }
}

void leader::merge_neighbours(claim_map& next, time_point now) const {
  if (next.claims.size() < merge_from) return;
  const auto settled = [&](const claim& claimed) {
    const auto since = fence_since_.find(claimed.fence);
    const bool moving = std::ranges::any_of(planned_moves_, [&](const planned_move& each) {
      return each.range.fence == claimed.fence;
    });
    return since != fence_since_.end() && now - since->second > merge_age && !moving &&
           !claimed.unsettled() && eligible(claimed.holder.agent, now);
  };
  std::vector<claim> merged;
  bool run_merged = false;
  for (claim& claimed : next.claims) {
    const bool joins = !merged.empty() && merged.back().holder == claimed.holder &&
                       merged.back().upstream == claimed.upstream && settled(claimed) &&
                       (run_merged || settled(merged.back()));
    if (!joins) {
      merged.push_back(std::move(claimed));
      run_merged = false;
      continue;
    }
    if (!run_merged) merged.back().fence = next.next_fence++;
    merged.back().keys.last = claimed.keys.last;
    merged.back().handover.clear();
    run_merged = true;
  }
  next.claims = std::move(merged);
}

void leader::plan_drains(time_point now) {
  const auto shares = load_shares(map_.claims, now);
  for (const claim& claimed : map_.claims) {
    const auto found = owners_.find(claimed.holder.agent);
    if (found == owners_.end() || found->second.report.accepting) continue;
    if (found->second.report.upstream.id.empty() || shares.empty()) continue;
    if (claimed.unsettled()) continue;
    if (!found->second.report.relocating && !moves(claimed)) plan_release(claimed, now);
  }
}

void leader::plan_release(const claim& claimed, time_point now) {
  planned_moves_.push_back({{claimed.keys, claimed.fence, {}}, claimed.holder.agent, {}, now});
  log_events_.push_back("drain keys=" + std::to_string(claimed.keys.first) + "-" +
                        std::to_string(claimed.keys.last) + " agent=" + claimed.holder.agent);
}

bool leader::moves(const claim& claimed) const {
  return std::ranges::any_of(
      planned_moves_, [&](const planned_move& each) { return each.range.fence == claimed.fence; });
}

void leader::plan_relocations(time_point now) {
  const auto receivers = static_cast<std::size_t>(std::ranges::count_if(
      owners_, [&](const auto& owner) { return eligible(owner.first, now); }));
  if (receivers == 0) return;
  std::vector<std::pair<double, const claim*>> waiting;
  std::size_t under_way = 0;
  for (const claim& claimed : map_.claims) {
    const auto found = owners_.find(claimed.holder.agent);
    if (found == owners_.end() || !found->second.report.relocating) continue;
    if (claimed.unsettled()) continue;
    if (moves(claimed))
      ++under_way;
    else
      waiting.emplace_back(reported_load(found->second.report, claimed.keys), &claimed);
  }
  const std::size_t at_once = std::max(moves_at_once, receivers / 2);
  if (waiting.empty() || under_way >= at_once) return;
  const auto count = std::min(waiting.size(), at_once - under_way);
  std::ranges::partial_sort(waiting, waiting.begin() + static_cast<std::ptrdiff_t>(count),
                            std::ranges::greater{}, &std::pair<double, const claim*>::first);
  for (std::size_t i = 0; i < count; ++i) plan_release(*waiting[i].second, now);
}

std::size_t leader::moves_in_progress() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      planned_moves_, [](const planned_move& each) { return !each.to.empty(); }));
}

void leader::log_shares(const std::map<std::string, double>& shares, time_point now) {
  if (now < next_shares_log_) return;
  next_shares_log_ = now + shares_log_interval;
  std::string text = "load claims=" + std::to_string(map_.claims.size()) +
                     " moving=" + std::to_string(planned_moves_.size());
  for (const auto& [agent, share] : shares) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        owners_.at(agent).report.service_time);
    text += ' ' + agent + '=' + std::to_string(static_cast<int>(share * 100)) + "%/" +
            std::to_string(ms.count()) + "ms";
  }
  log_events_.push_back(std::move(text));
}

double leader::service_time_ratio(const std::string& from, const std::string& to) const {
  const duration from_time = owners_.at(from).report.service_time;
  const duration to_time = owners_.at(to).report.service_time;
  return from_time > duration{} && to_time > duration{}
             ? std::chrono::duration<double>(to_time) / std::chrono::duration<double>(from_time)
             : 1.0;
}

void leader::shift_load(std::map<std::string, double>& shares, const std::string& from,
                        const std::string& to, double slots) const {
  shares[from] -= slots / std::max(1U, owners_.at(from).report.slots);
  shares[to] += slots * service_time_ratio(from, to) / std::max(1U, owners_.at(to).report.slots);
}

bool leader::has_room_for_range(const std::string& agent) const {
  const auto owned = std::ranges::count_if(
      map_.claims, [&](const claim& each) { return each.holder.agent == agent; });
  return static_cast<std::size_t>(owned) < ranges_of_owner_max;
}

bool leader::movable(const key_load& range_load, const std::string& from) const {
  const claim* claimed = map_.find(range_load.keys.first);
  return range_load.slots > 0 && claimed != nullptr && claimed->holder.agent == from &&
         !claimed->unsettled() && claimed->keys.contains(range_load.keys) &&
         std::ranges::none_of(planned_moves_, [&](const planned_move& each) {
           return each.range.keys.overlaps(range_load.keys);
         });
}

void leader::plan_move(const key_load& range_load, const std::string& from, const std::string& to,
                       std::map<std::string, double>& shares, time_point now) {
  const double gap = shares[from] - shares[to];
  planned_moves_.push_back({{range_load.keys, map_.find(range_load.keys.first)->fence, {}},
                            from,
                            to,
                            now,
                            range_load.slots});
  log_events_.push_back("move keys=" + std::to_string(range_load.keys.first) + "-" +
                        std::to_string(range_load.keys.last) + " from=" + from + " to=" + to +
                        " slots=" + std::to_string(range_load.slots) +
                        " gap=" + std::to_string(gap));
  shift_load(shares, from, to, range_load.slots);
}

bool leader::plan_hot_range_move(const std::string& from, std::map<std::string, double>& shares,
                                 time_point now) {
  const owner_report& report = owners_.at(from).report;
  if (shares.at(from) < overloaded_from || report.loads.empty()) return false;
  const key_load& hottest = *std::ranges::max_element(report.loads, {}, &key_load::slots);
  if (hottest.slots < indivisible_from * report.slots || !movable(hottest, from)) return false;
  const auto fastest = std::ranges::min_element(
      shares, {}, [&](const auto& entry) { return service_time_ratio(from, entry.first); });
  // If the fastest owner already has such a range, the two ranges would only swap owners.
  const auto& target_loads = owners_.at(fastest->first).report.loads;
  const bool occupied = std::ranges::any_of(target_loads, [&](const key_load& each) {
    return each.slots >= indivisible_from * owners_.at(fastest->first).report.slots;
  });
  if (service_time_ratio(from, fastest->first) > faster_ratio_max || occupied ||
      !has_room_for_range(fastest->first))
    return false;
  plan_move(hottest, from, fastest->first, shares, now);
  return true;
}

bool leader::plan_dense_range_move(const std::string& from, const std::string& to, double gap,
                                   std::map<std::string, double>& shares, time_point now) {
  const owner_report& report = owners_.at(from).report;
  const double load_to_move = gap * report.slots / (1 + service_time_ratio(from, to));
  // The densest range that fits carries the most load for the fewest keys.
  const key_load* best = nullptr;
  for (const key_load& load : report.loads) {
    const bool fits =
        load.slots <= overshoot * load_to_move && load.slots >= smallest_move * report.slots;
    if (!fits || !movable(load, from)) continue;
    if (best == nullptr || load.slots / load.keys.size() > best->slots / best->keys.size())
      best = &load;
  }
  if (best == nullptr) return false;
  plan_move(*best, from, to, shares, now);
  return true;
}

void leader::plan_rebalancing(time_point now) {
  if (now < next_rebalancing_ || now - leader_since_ < settle_time) return;
  next_rebalancing_ = now + balance_interval;
  auto shares = load_shares(map_.claims, now);
  const auto most_claims = std::max(claims_max, claims_max_of_owner * shares.size());
  if (moves_in_progress() >= moves_at_once || map_.claims.size() > most_claims) return;
  if (shares.size() < 2) return;
  log_shares(shares, now);
  // Planned moves count as done, so that an owner that releases late blocks no other move.
  for (const planned_move& move : planned_moves_)
    if (shares.contains(move.from) && shares.contains(move.to))
      shift_load(shares, move.from, move.to, move.slots);
  const auto slowness = slowness_weights(shares);
  while (moves_in_progress() < moves_at_once) {
    std::map<std::string, double> pressures = shares;
    for (auto& [agent, pressure] : pressures) pressure += slowness.at(agent);
    const auto [least, most] =
        std::ranges::minmax_element(pressures, {}, [](const auto& entry) { return entry.second; });
    const double share = shares.at(most->first);
    const bool worth_a_move =
        share >= busy_from || (slowness.at(most->first) > 0 && share >= idle_below);
    if (!worth_a_move ||
        most->second - least->second < gap_from + sampling_error(most->first, share))
      return;
    if (plan_hot_range_move(most->first, shares, now)) continue;
    if (!has_room_for_range(least->first)) return;
    if (!plan_dense_range_move(most->first, least->first, most->second - least->second, shares,
                               now))
      return;
  }
}

double leader::sampling_error(const std::string& agent, double share) const {
  const owner_report& report = owners_.at(agent).report;
  const double requests = share * std::max(1U, report.slots) *
                          std::chrono::duration<double>(load_averaging_time) /
                          std::max<duration>(report.service_time, std::chrono::milliseconds{1});
  return requests < 1 ? share : share / std::sqrt(requests);
}

std::map<std::string, double> leader::slowness_weights(
    const std::map<std::string, double>& shares) const {
  const double mean =
      std::accumulate(shares.begin(), shares.end(), 0.0,
                      [](double sum, const auto& entry) { return sum + entry.second; }) /
      static_cast<double>(shares.size());
  const double spare_capacity = std::clamp(1 - mean / speed_matters_below, 0.0, 1.0);
  const auto fastest = std::ranges::min_element(shares, {}, [&](const auto& entry) {
    const duration took = owners_.at(entry.first).report.service_time;
    return took > duration{} ? took : duration::max();
  });
  std::map<std::string, double> weights;
  for (const auto& [agent, share] : shares)
    weights[agent] = slowness_weight * spare_capacity *
                     std::clamp(service_time_ratio(fastest->first, agent) - 1, 0.0, 1.0);
  return weights;
}

void leader::plan_fragment_moves(time_point now) {
  if (now < next_fragment_moves_ || map_.claims.size() < fragment_moves_from) return;
  next_fragment_moves_ = now + fragment_moves_interval;
  const auto settled = [&](const claim& claimed) {
    const auto since = fence_since_.find(claimed.fence);
    return since != fence_since_.end() && now - since->second > merge_age && !claimed.unsettled() &&
           eligible(claimed.holder.agent, now);
  };
  const auto shares = load_shares(map_.claims, now);
  const auto has_capacity = [&](const std::string& agent) {
    const auto found = shares.find(agent);
    return found != shares.end() && found->second < busy_from;
  };
  std::size_t planned = 0;
  for (std::size_t i = 1; i + 1 < map_.claims.size() && planned < fragment_moves_at_once; ++i) {
    const claim& range = map_.claims[i];
    const claim& lower = map_.claims[i - 1];
    const claim& upper = map_.claims[i + 1];
    const claim& neighbour = lower.keys.size() > upper.keys.size() ? lower : upper;
    const bool fragment = range.keys.size() <= fragment_keys_max &&
                          range.keys.size() < neighbour.keys.size() &&
                          range.holder.agent != neighbour.holder.agent;
    const bool cold =
        has_capacity(neighbour.holder.agent) &&
        load_of(range.keys) < cold_below * owners_.at(neighbour.holder.agent).report.slots;
    const bool moving = std::ranges::any_of(planned_moves_, [&](const planned_move& each) {
      return each.range.keys.overlaps(range.keys) || each.range.keys.overlaps(neighbour.keys);
    });
    if (!fragment || !cold || moving || !settled(range) || !settled(neighbour)) continue;
    planned_moves_.push_back(
        {{range.keys, range.fence, {}}, range.holder.agent, neighbour.holder.agent, now});
    log_events_.push_back("tidy keys=" + std::to_string(range.keys.first) + "-" +
                          std::to_string(range.keys.last) + " from=" + range.holder.agent +
                          " to=" + neighbour.holder.agent);
    ++planned;
  }
}

}  // namespace masticshunt::claims
