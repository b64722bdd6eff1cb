/// Where free ranges go, and which ranges move so that the owners' load evens out.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "masticshunt/decisions/claims/leader.h"

namespace masticshunt::claims {

namespace {

constexpr duration settle_time = std::chrono::milliseconds{1'200};
constexpr duration balance_interval = std::chrono::milliseconds{350};
constexpr double busy_from = 0.55;  // share of the slots from which load is moved away
constexpr double gap_from = 0.22;   // difference of shares worth a move
constexpr double overshoot = 1.25;  // a move may exceed the wanted load by this factor
constexpr std::size_t moves_at_once = 12;
constexpr std::size_t claims_max = 120;
constexpr std::size_t merge_from = 18;  // claims from which neighbours are merged
constexpr duration shares_note_interval = std::chrono::seconds{1};
constexpr duration merge_age = std::chrono::seconds{3};
// Load assumed of all keys together, in slots, while nothing has been observed.
constexpr double assumed_load = 0.5;

double share_of_keys(const key_range& keys) {
  return static_cast<double>(keys.size()) / (static_cast<double>(last_shard_key) + 1);
}

}  // namespace

double leader::load_of(const key_range& keys) const {
  double sum = assumed_load * share_of_keys(keys);
  for (const auto& [agent, one] : owners_) {
    for (const key_load& each : one.report.loads) {
      if (!each.keys.overlaps(keys)) continue;
      const double common =
          std::min(each.keys.last, keys.last) + 1.0 - std::max(each.keys.first, keys.first);
      sum += each.slots * common / each.keys.size();
    }
  }
  return sum;
}

std::map<std::string, double> leader::loads(const std::vector<claim>& claims,
                                            time_point now) const {
  std::map<std::string, double> result;
  for (const auto& [agent, one] : owners_)
    if (eligible(agent, now)) result[agent] = 0;
  for (const claim& each : claims) {
    const auto found = result.find(each.holder.agent);
    if (found != result.end())
      found->second += load_of(each.keys) / std::max(1U, owners_.at(found->first).report.slots);
  }
  return result;
}

void leader::give(claim& one, const std::string& agent, claim_map& next) const {
  const owner_report& report = owners_.at(agent).report;
  one.holder = report.holder;
  one.upstream = report.upstream;
  one.fence = next.next_fence++;
}

std::optional<std::string> leader::planned_for(const key_range& keys) const {
  const auto found = std::ranges::find_if(
      demands_, [&](const demand& each) { return each.what.keys.contains(keys); });
  if (found == demands_.end() || found->to.empty()) return std::nullopt;
  return found->to;
}

void leader::assign_free(claim_map& next, time_point now) {
  const auto is_free = [](const claim& each) { return each.holder.agent.empty(); };
  if (std::ranges::none_of(next.claims, is_free)) return;
  auto shares = loads(next.claims, now);
  if (shares.empty()) return;
  const bool first = std::ranges::all_of(next.claims, is_free);
  if (first && now - leader_since_ < settle_time) return;
  // A free range that is larger than an even part is cut, so that several owners can share it.
  const double even = 1.0 / static_cast<double>(shares.size());
  for (std::size_t i = 0; i < next.claims.size(); ++i) {
    const claim& each = next.claims[i];
    if (!is_free(each) || share_of_keys(each.keys) < 1.5 * even) continue;
    const auto part =
        static_cast<shard_key>(std::ceil(even * (static_cast<double>(last_shard_key) + 1)));
    split_at(next.claims, {each.keys.first, each.keys.first + part - 1});
  }
  std::map<std::string, double> keys_held;
  for (const claim& each : next.claims) keys_held[each.holder.agent] += share_of_keys(each.keys);
  for (claim& each : next.claims) {
    if (!is_free(each)) continue;
    const claim* before = map_.find(each.keys.first);
    std::optional<std::string> to = planned_for(each.keys);
    if (!to && before != nullptr && shares.contains(before->holder.agent) &&
        std::ranges::none_of(demands_, [&](const demand& wanted) {
          return wanted.what.keys.overlaps(each.keys) && wanted.from == before->holder.agent;
        }))
      to = before->holder.agent;
    if (!to || !shares.contains(*to)) {
      to = std::ranges::min_element(shares, {}, [&](const auto& entry) {
             return entry.second + keys_held[entry.first];
           })->first;
    }
    give(each, *to, next);
    shares[*to] += load_of(each.keys) / std::max(1U, owners_.at(*to).report.slots);
    keys_held[*to] += share_of_keys(each.keys);
    notes_.push_back("assigned keys=" + std::to_string(each.keys.first) + "-" +
                     std::to_string(each.keys.last) + " agent=" + *to +
                     " fence=" + std::to_string(each.fence) +
                     " warm=" + (each.handover.empty() ? "no" : "yes"));
  }
}

void leader::merge_neighbours(claim_map& next, time_point now) const {
  if (next.claims.size() < merge_from) return;
  const auto settled = [&](const claim& each) {
    const auto since = fence_since_.find(each.fence);
    const bool wanted = std::ranges::any_of(
        demands_, [&](const demand& one) { return one.what.fence == each.fence; });
    return since != fence_since_.end() && now - since->second > merge_age && !wanted &&
           eligible(each.holder.agent, now);
  };
  std::vector<claim> merged;
  bool run_changed = false;
  for (claim& each : next.claims) {
    const bool joins = !merged.empty() && merged.back().holder == each.holder &&
                       merged.back().upstream == each.upstream && settled(each) &&
                       (run_changed || settled(merged.back()));
    if (!joins) {
      merged.push_back(std::move(each));
      run_changed = false;
      continue;
    }
    if (!run_changed) merged.back().fence = next.next_fence++;
    merged.back().keys.last = each.keys.last;
    merged.back().handover.clear();
    run_changed = true;
  }
  next.claims = std::move(merged);
}

void leader::demand_drains(time_point now) {
  const auto shares = loads(map_.claims, now);
  for (const claim& each : map_.claims) {
    const auto found = owners_.find(each.holder.agent);
    if (found == owners_.end() || found->second.report.accepting) continue;
    if (found->second.report.upstream.id.empty() || shares.empty()) continue;
    const bool known = std::ranges::any_of(
        demands_, [&](const demand& one) { return one.what.fence == each.fence; });
    if (known) continue;
    demands_.push_back({{each.keys, each.fence, {}}, each.holder.agent, {}, now});
    notes_.push_back("drain keys=" + std::to_string(each.keys.first) + "-" +
                     std::to_string(each.keys.last) + " agent=" + each.holder.agent);
  }
}

void leader::demand_balance(time_point now) {
  if (now < next_balance_ || now - leader_since_ < settle_time) return;
  next_balance_ = now + balance_interval;
  if (!demands_.empty() || map_.claims.size() > claims_max) return;
  auto shares = loads(map_.claims, now);
  if (shares.size() < 2) return;
  if (now >= next_shares_note_) {
    next_shares_note_ = now + shares_note_interval;
    std::string text = "load claims=" + std::to_string(map_.claims.size());
    for (const auto& [agent, share] : shares) {
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          owners_.at(agent).report.service_time);
      text += ' ' + agent + '=' + std::to_string(static_cast<int>(share * 100)) + "%/" +
              std::to_string(ms.count()) + "ms";
    }
    notes_.push_back(std::move(text));
  }
  for (std::size_t moves = 0; moves < moves_at_once; ++moves) {
    const auto [least, most] =
        std::ranges::minmax_element(shares, {}, [](const auto& entry) { return entry.second; });
    const double gap = most->second - least->second;
    if (most->second < busy_from || gap < gap_from) return;
    const owner_report& from = owners_.at(most->first).report;
    const owner_report& to = owners_.at(least->first).report;
    const double slower = from.service_time > duration{} && to.service_time > duration{}
                              ? std::chrono::duration<double>(to.service_time) /
                                    std::chrono::duration<double>(from.service_time)
                              : 1.0;
    const double wanted = gap * from.slots / (1 + slower);
    // The densest stretch that fits moves: it carries the most load for the fewest keys.
    const key_load* best = nullptr;
    for (const key_load& each : from.loads) {
      if (each.slots > overshoot * wanted || each.slots <= 0) continue;
      const bool taken = std::ranges::any_of(
          demands_, [&](const demand& one) { return one.what.keys.overlaps(each.keys); });
      const claim* named = map_.find(each.keys.first);
      if (taken || named == nullptr || named->holder.agent != most->first ||
          !named->keys.contains(each.keys))
        continue;
      if (best == nullptr || each.slots / each.keys.size() > best->slots / best->keys.size())
        best = &each;
    }
    if (best == nullptr) return;
    demands_.push_back(
        {{best->keys, map_.find(best->keys.first)->fence, {}}, most->first, least->first, now});
    notes_.push_back("move keys=" + std::to_string(best->keys.first) + "-" +
                     std::to_string(best->keys.last) + " from=" + most->first +
                     " to=" + least->first + " slots=" + std::to_string(best->slots) +
                     " gap=" + std::to_string(gap));
    most->second -= best->slots / std::max(1U, from.slots);
    least->second += best->slots * slower / std::max(1U, to.slots);
  }
}

}  // namespace masticshunt::claims
