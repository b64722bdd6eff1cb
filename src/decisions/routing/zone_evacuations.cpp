#include "masticshunt/decisions/routing/zone_evacuations.h"

#include <algorithm>
#include <utility>

namespace masticshunt::routing {

bool zone_evacuations::listed(std::set<std::string> zones, std::uint64_t revision, time_point now) {
  // A listing that may be old states an earlier revision than what is known.
  if (revision < known_up_to_) return false;
  known_up_to_ = revision;
  return replace(std::move(zones), revision, now);
}

bool zone_evacuations::changed(const std::vector<evacuation_change>& changes,
                               std::uint64_t revision, time_point now) {
  if (revision < known_up_to_) return false;
  known_up_to_ = revision;
  auto zones = set_.zones;
  for (const evacuation_change& each : changes) {
    if (each.evacuated)
      zones.insert(each.zone);
    else
      zones.erase(each.zone);
  }
  return replace(std::move(zones), revision, now);
}

bool zone_evacuations::stated_by_peer(const evacuation_set& peer, time_point now) {
  if (peer.changed_at <= known_up_to_) return false;
  known_up_to_ = peer.changed_at;
  return replace(peer.zones, peer.changed_at, now);
}

bool zone_evacuations::replace(std::set<std::string> zones, std::uint64_t revision,
                               time_point now) {
  if (zones == set_.zones) return false;
  std::erase_if(since_, [&](const auto& entry) { return !zones.contains(entry.first); });
  for (const std::string& zone : zones) since_.try_emplace(zone, now);
  set_ = {revision, std::move(zones)};
  return true;
}

std::optional<time_point> zone_evacuations::evacuated_since(const std::string& zone) const {
  const auto found = since_.find(zone);
  return found == since_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace masticshunt::routing
