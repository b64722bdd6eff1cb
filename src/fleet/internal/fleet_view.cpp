#include "fleet/internal/fleet_view.h"

#include <algorithm>

namespace masticshunt::fleet {

namespace {

constexpr std::size_t hints_max = 64;
constexpr std::size_t hints_kept = 24;  // from which a whole map is the better choice

}  // namespace

bool fleet_view::update_state(routing::desired_state state, std::string text) {
  if (state.version <= routes_.version()) return false;
  routes_ = routing::route_table(std::move(state));
  state_text_ = std::move(text);
  return true;
}

bool fleet_view::update_map(const claims::claim_map& map) {
  cached_map& known = maps_[map.service];
  if (map.revision <= known.map.revision) return false;
  known.map = map;
  std::erase_if(known.hints, [&](const auto& each) { return each.second <= map.revision; });
  return true;
}

bool fleet_view::add_owner_hint(const std::string& service, const claims::claim& claim,
                                std::uint64_t revision) {
  cached_map& known = maps_[service];
  if (revision <= known.map.revision || known.hints.size() >= hints_max) return false;
  std::erase_if(known.hints, [&](const auto& each) {
    return each.first.keys.overlaps(claim.keys) && each.first.fence < claim.fence;
  });
  known.hints.emplace_back(claim, revision);
  return known.hints.size() < hints_kept;
}

const claims::claim_map* fleet_view::find_map(const std::string& service) const {
  const auto found = maps_.find(service);
  return found == maps_.end() || found->second.map.revision == 0 ? nullptr : &found->second.map;
}

std::optional<key_owner> fleet_view::owner_of(const std::string& service,
                                              claims::shard_key key) const {
  const auto found = maps_.find(service);
  if (found == maps_.end()) return std::nullopt;
  const cached_map& known = found->second;
  const auto hint = std::ranges::find_if(
      known.hints, [key](const auto& each) { return each.first.keys.contains(key); });
  if (hint != known.hints.end() && !hint->first.holder.agent.empty())
    return key_owner{hint->first.holder.agent, hint->second};
  const claims::claim* named = known.map.find(key);
  if (named == nullptr || named->holder.agent.empty()) return std::nullopt;
  return key_owner{named->holder.agent, known.map.revision};
}

std::uint64_t fleet_view::map_revision(const std::string& service) const {
  const auto found = maps_.find(service);
  return found == maps_.end() ? 0 : found->second.map.revision;
}

}  // namespace masticshunt::fleet
