/// Where free ranges go, and which ranges move so that the owners' load evens out.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "masticshunt/decisions/claims/leader.h"

namespace masticshunt::claims {

namespace {

constexpr duration settle_time = std::chrono::milliseconds{1'200};
constexpr duration balance_interval = std::chrono::milliseconds{350};
constexpr double busy_from = 0.55;   // share of the slots from which load is moved away
constexpr double gap_from = 0.22;    // difference of shares worth a move
constexpr double idle_below = 0.05;  // share of a slow owner that is not worth a move
constexpr double slowness_weight =
    0.4;                                // share that an owner of twice the service time counts more
constexpr double relaxed_below = 0.75;  // mean share from which speed does not count any more
constexpr double smallest_move = 0.05;  // of the owner's slots
constexpr double overshoot = 1.25;      // a move may exceed the wanted load by this factor
constexpr double overloaded_from = 1.0;      // share from which an indivisible stretch may move
constexpr double indivisible_from = 0.5;     // of its owner's slots: too large for evening out
constexpr double faster_worth_a_move = 0.8;  // service time there, as a share of that here
constexpr std::size_t moves_at_once = 12;
constexpr std::size_t claims_max = 200;         // of few owners
constexpr std::size_t claims_max_of_owner = 8;  // of many owners, each
constexpr std::size_t tidy_from = 40;           // claims from which cold fragments are given back
constexpr std::size_t tidied_at_once = 4;
constexpr double cold_below = 0.05;  // of the slots of the owner that takes it
constexpr std::uint32_t fragment_keys_max = 1'024;
constexpr std::size_t merge_from = 18;  // claims from which neighbours are merged
/// The time that an owner's load is averaged over, about.
constexpr duration observed_for = std::chrono::milliseconds{870};
constexpr duration shares_note_interval = std::chrono::seconds{1};
constexpr duration merge_age = std::chrono::seconds{3};
constexpr duration tidy_interval = std::chrono::milliseconds{700};
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

std::size_t leader::moves_under_way() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(demands_, [](const demand& each) { return !each.to.empty(); }));
}

void leader::note_shares(const std::map<std::string, double>& shares, time_point now) {
  if (now < next_shares_note_) return;
  next_shares_note_ = now + shares_note_interval;
  std::string text = "load claims=" + std::to_string(map_.claims.size()) +
                     " moving=" + std::to_string(demands_.size());
  for (const auto& [agent, share] : shares) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        owners_.at(agent).report.service_time);
    text += ' ' + agent + '=' + std::to_string(static_cast<int>(share * 100)) + "%/" +
            std::to_string(ms.count()) + "ms";
  }
  notes_.push_back(std::move(text));
}

double leader::slower_by(const std::string& from, const std::string& to) const {
  const duration here = owners_.at(from).report.service_time;
  const duration there = owners_.at(to).report.service_time;
  return here > duration{} && there > duration{}
             ? std::chrono::duration<double>(there) / std::chrono::duration<double>(here)
             : 1.0;
}

void leader::shift_load(std::map<std::string, double>& shares, const std::string& from,
                        const std::string& to, double slots) const {
  shares[from] -= slots / std::max(1U, owners_.at(from).report.slots);
  shares[to] += slots * slower_by(from, to) / std::max(1U, owners_.at(to).report.slots);
}

bool leader::movable(const key_load& stretch, const std::string& from) const {
  const claim* named = map_.find(stretch.keys.first);
  return stretch.slots > 0 && named != nullptr && named->holder.agent == from &&
         named->keys.contains(stretch.keys) &&
         std::ranges::none_of(
             demands_, [&](const demand& one) { return one.what.keys.overlaps(stretch.keys); });
}

void leader::demand_move(const key_load& stretch, const std::string& from, const std::string& to,
                         std::map<std::string, double>& shares, time_point now) {
  const double gap = shares[from] - shares[to];
  demands_.push_back(
      {{stretch.keys, map_.find(stretch.keys.first)->fence, {}}, from, to, now, stretch.slots});
  notes_.push_back("move keys=" + std::to_string(stretch.keys.first) + "-" +
                   std::to_string(stretch.keys.last) + " from=" + from + " to=" + to +
                   " slots=" + std::to_string(stretch.slots) + " gap=" + std::to_string(gap));
  shift_load(shares, from, to, stretch.slots);
}

bool leader::demand_hottest(const std::string& from, std::map<std::string, double>& shares,
                            time_point now) {
  const owner_report& here = owners_.at(from).report;
  if (shares.at(from) < overloaded_from || here.loads.empty()) return false;
  const key_load& hottest = *std::ranges::max_element(here.loads, {}, &key_load::slots);
  if (hottest.slots < indivisible_from * here.slots || !movable(hottest, from)) return false;
  const auto fastest = std::ranges::min_element(
      shares, {}, [&](const auto& entry) { return slower_by(from, entry.first); });
  // A stretch of the same kind at the fastest owner would only change places with this one.
  const auto& loads_there = owners_.at(fastest->first).report.loads;
  const bool occupied = std::ranges::any_of(loads_there, [&](const key_load& each) {
    return each.slots >= indivisible_from * owners_.at(fastest->first).report.slots;
  });
  if (slower_by(from, fastest->first) > faster_worth_a_move || occupied) return false;
  demand_move(hottest, from, fastest->first, shares, now);
  return true;
}

bool leader::demand_densest(const std::string& from, const std::string& to, double gap,
                            std::map<std::string, double>& shares, time_point now) {
  const owner_report& here = owners_.at(from).report;
  const double wanted = gap * here.slots / (1 + slower_by(from, to));
  // The densest stretch that fits moves: it carries the most load for the fewest keys.
  const key_load* best = nullptr;
  for (const key_load& each : here.loads) {
    const bool fits = each.slots <= overshoot * wanted && each.slots >= smallest_move * here.slots;
    if (!fits || !movable(each, from)) continue;
    if (best == nullptr || each.slots / each.keys.size() > best->slots / best->keys.size())
      best = &each;
  }
  if (best == nullptr) return false;
  demand_move(*best, from, to, shares, now);
  return true;
}

void leader::demand_balance(time_point now) {
  if (now < next_balance_ || now - leader_since_ < settle_time) return;
  next_balance_ = now + balance_interval;
  auto shares = loads(map_.claims, now);
  const auto most_claims = std::max(claims_max, claims_max_of_owner * shares.size());
  if (moves_under_way() >= moves_at_once || map_.claims.size() > most_claims) return;
  if (shares.size() < 2) return;
  note_shares(shares, now);
  // What is on its way counts as moved; an owner that answers late holds up nobody else.
  for (const demand& each : demands_)
    if (shares.contains(each.from) && shares.contains(each.to))
      shift_load(shares, each.from, each.to, each.slots);
  const auto slowness = slowness_weights(shares);
  while (moves_under_way() < moves_at_once) {
    std::map<std::string, double> pressures = shares;
    for (auto& [agent, pressure] : pressures) pressure += slowness.at(agent);
    const auto [least, most] =
        std::ranges::minmax_element(pressures, {}, [](const auto& entry) { return entry.second; });
    const double share = shares.at(most->first);
    const bool worth_a_move =
        share >= busy_from || (slowness.at(most->first) > 0 && share >= idle_below);
    if (!worth_a_move || most->second - least->second < gap_from + noise_of(most->first, share))
      return;
    if (demand_hottest(most->first, shares, now)) continue;
    if (!demand_densest(most->first, least->first, most->second - least->second, shares, now))
      return;
  }
}

double leader::noise_of(const std::string& agent, double share) const {
  const owner_report& report = owners_.at(agent).report;
  const double requests = share * std::max(1U, report.slots) *
                          std::chrono::duration<double>(observed_for) /
                          std::max<duration>(report.service_time, std::chrono::milliseconds{1});
  return requests < 1 ? share : share / std::sqrt(requests);
}

std::map<std::string, double> leader::slowness_weights(
    const std::map<std::string, double>& shares) const {
  const double mean =
      std::accumulate(shares.begin(), shares.end(), 0.0,
                      [](double sum, const auto& entry) { return sum + entry.second; }) /
      static_cast<double>(shares.size());
  const double relaxed = std::clamp(1 - mean / relaxed_below, 0.0, 1.0);
  const auto fastest = std::ranges::min_element(shares, {}, [&](const auto& entry) {
    const duration took = owners_.at(entry.first).report.service_time;
    return took > duration{} ? took : duration::max();
  });
  std::map<std::string, double> weights;
  for (const auto& [agent, share] : shares)
    weights[agent] =
        slowness_weight * relaxed * std::clamp(slower_by(fastest->first, agent) - 1, 0.0, 1.0);
  return weights;
}

void leader::demand_tidying(time_point now) {
  if (now < next_tidying_ || map_.claims.size() < tidy_from) return;
  next_tidying_ = now + tidy_interval;
  const auto settled = [&](const claim& each) {
    const auto since = fence_since_.find(each.fence);
    return since != fence_since_.end() && now - since->second > merge_age &&
           eligible(each.holder.agent, now);
  };
  const auto shares = loads(map_.claims, now);
  const auto has_room = [&](const std::string& agent) {
    const auto found = shares.find(agent);
    return found != shares.end() && found->second < busy_from;
  };
  std::size_t tidied = 0;
  for (std::size_t i = 1; i + 1 < map_.claims.size() && tidied < tidied_at_once; ++i) {
    const claim& one = map_.claims[i];
    const claim& left = map_.claims[i - 1];
    const claim& right = map_.claims[i + 1];
    const claim& into = left.keys.size() > right.keys.size() ? left : right;
    const bool fragment = one.keys.size() <= fragment_keys_max &&
                          one.keys.size() < into.keys.size() &&
                          one.holder.agent != into.holder.agent;
    const bool cold = has_room(into.holder.agent) &&
                      load_of(one.keys) < cold_below * owners_.at(into.holder.agent).report.slots;
    const bool moving = std::ranges::any_of(demands_, [&](const demand& each) {
      return each.what.keys.overlaps(one.keys) || each.what.keys.overlaps(into.keys);
    });
    if (!fragment || !cold || moving || !settled(one) || !settled(into)) continue;
    demands_.push_back({{one.keys, one.fence, {}}, one.holder.agent, into.holder.agent, now});
    notes_.push_back("tidy keys=" + std::to_string(one.keys.first) + "-" +
                     std::to_string(one.keys.last) + " from=" + one.holder.agent +
                     " to=" + into.holder.agent);
    ++tidied;
  }
}

}  // namespace masticshunt::claims
