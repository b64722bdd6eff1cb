#include "fleet/internal/fleet_view.h"

#include <algorithm>

namespace masticshunt::fleet {

namespace {

constexpr std::size_t hints_max = 64;
/// From this number of hints on, fetching the complete map is cheaper.
constexpr std::size_t map_fetch_threshold = 24;

}  // namespace

bool fleet_view::update_state(routing::desired_state state, std::string text) {
  if (state.version <= routes_.version()) return false;
  routes_ = routing::route_table(std::move(state));
  state_text_ = std::move(text);
  return true;
}

bool fleet_view::update_map(const claims::claim_map& map) {
  cached_map& cached = maps_[map.service];
  if (map.revision <= cached.map.revision) return false;
  if (cached.map.revision > 0 && era_of(map.revision) > era_of(cached.map.revision))
    cached.earlier = std::move(cached.map);
  if (std::ranges::none_of(map.claims, &claims::claim::unsettled)) cached.earlier.reset();
  cached.map = map;
  std::erase_if(cached.hints, [&](const auto& each) { return each.second <= map.revision; });
  return true;
}

bool fleet_view::add_owner_hint(const std::string& service, const claims::claim& claim,
                                store_revision revision) {
  cached_map& cached = maps_[service];
  if (revision <= cached.map.revision || cached.hints.size() >= hints_max) return false;
  std::erase_if(cached.hints, [&](const auto& each) {
    return each.first.keys.overlaps(claim.keys) && each.first.fence < claim.fence;
  });
  cached.hints.emplace_back(claim, revision);
  return cached.hints.size() < map_fetch_threshold;
}

const claims::claim* fleet_view::cached_map::find(claims::shard_key key) const {
  const claims::claim* newest = map.find(key);
  const bool has_owner = newest != nullptr && !newest->holder.agent.empty();
  return has_owner || newest == nullptr || !newest->unsettled() || !earlier ? newest
                                                                            : earlier->find(key);
}

const claims::claim_map* fleet_view::find_map(const std::string& service) const {
  const auto found = maps_.find(service);
  return found == maps_.end() || found->second.map.revision == 0 ? nullptr : &found->second.map;
}

std::optional<key_owner> fleet_view::owner_of(const std::string& service,
                                              claims::shard_key key) const {
  const auto found = maps_.find(service);
  if (found == maps_.end()) return std::nullopt;
  const cached_map& cached = found->second;
  const auto hint = std::ranges::find_if(
      cached.hints, [key](const auto& each) { return each.first.keys.contains(key); });
  if (hint != cached.hints.end() && !hint->first.holder.agent.empty())
    return key_owner{hint->first.holder.agent, hint->second};
  const claims::claim* claim_of_key = cached.find(key);
  if (claim_of_key == nullptr || claim_of_key->holder.agent.empty()) return std::nullopt;
  return key_owner{claim_of_key->holder.agent, cached.map.revision};
}

store_revision fleet_view::map_revision(const std::string& service) const {
  const auto found = maps_.find(service);
  return found == maps_.end() ? 0 : found->second.map.revision;
}

}  // namespace masticshunt::fleet
