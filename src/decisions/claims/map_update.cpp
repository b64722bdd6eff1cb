#include "masticshunt/decisions/claims/map_update.h"

#include <algorithm>
#include <iterator>

namespace masticshunt::claims {

std::optional<claim_map> updated(const claim_map& base, const map_update& update) {
  if (update.since == 0) return update.map.covers_all() ? std::optional(update.map) : std::nullopt;
  if (base.revision < update.since) return std::nullopt;
  claim_map result = update.map;
  result.claims = base.claims;
  for (const claim& changed : update.map.claims) split_at(result.claims, changed.keys);
  std::erase_if(result.claims, [&](const claim& old) {
    return std::ranges::any_of(
        update.map.claims, [&](const claim& changed) { return changed.keys.contains(old.keys); });
  });
  std::ranges::copy(update.map.claims, std::back_inserter(result.claims));
  std::ranges::sort(result.claims, {}, [](const claim& each) { return each.keys.first; });
  if (!result.covers_all()) return std::nullopt;
  return result;
}

void claim_history::adopt(const claim_map& before, const claim_map& after) {
  std::map<shard_key, std::uint64_t> changed_in;
  for (const claim& each : after.claims) {
    const claim* earlier = before.find(each.keys.first);
    const auto known = changed_in_.find(each.keys.first);
    const bool same = earlier != nullptr && *earlier == each && known != changed_in_.end();
    changed_in.emplace(each.keys.first, same ? known->second : after.revision);
  }
  changed_in_ = std::move(changed_in);
}

map_update claim_history::changes_since(const claim_map& map, std::uint64_t revision) const {
  map_update update{.since = revision, .map = map};
  if (revision == 0) return update;
  std::erase_if(update.map.claims, [&](const claim& each) {
    const auto found = changed_in_.find(each.keys.first);
    return found != changed_in_.end() && found->second <= revision;
  });
  return update;
}

}  // namespace masticshunt::claims
