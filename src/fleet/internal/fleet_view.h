/// @file
/// An agent's local view of the fleet: desired state, upstreams, and owners of keys.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/decisions/claims/claim_map.h"
#include "masticshunt/decisions/routing/desired_state.h"
#include "masticshunt/decisions/routing/upstream_directory.h"
#include "masticshunt/decisions/routing/zone_evacuations.h"
#include "masticshunt/fleet/settings.h"

namespace masticshunt::fleet {

/// The owner of a key according to the local view.
struct key_owner {
  std::string agent;
  store_revision map_revision = 0;
};

/// Cached state of the fleet with its versions, which never go backwards.
///
/// Thread safety: none.
class fleet_view {
 public:
  explicit fleet_view(const fleet_settings& settings)
      : directory(settings.zone, settings.region), self_(settings.name) {}

  routing::upstream_directory directory;
  routing::zone_evacuations evacuations;
  bool directory_loaded = false;

  /// Applies a desired state if it is newer. `text` is its stored form, which peers can fetch.
  /// Returns true if it was applied.
  bool update_state(routing::desired_state state, std::string text);
  [[nodiscard]] const routing::route_table& routes() const { return routes_; }
  [[nodiscard]] const std::string& state_text() const { return state_text_; }
  /// Records that the store had no newer desired state at `now`.
  void confirm_state(time_point now) { state_confirmed_at_ = now; }
  /// Returns for how long the store has not confirmed that the desired state is the newest; nothing
  /// if it never has.
  [[nodiscard]] std::optional<duration> state_age(time_point now) const {
    if (!state_confirmed_at_) return std::nullopt;
    return now - *state_confirmed_at_;
  }

  /// Stores a claim map if it is newer. Returns true if it was stored.
  bool update_map(const claims::claim_map& map);
  /// Stores a single claim that a peer sent; it overrides older maps. Returns false if the complete
  /// map should be fetched: the claim is not newer than the map, or there are too many hints.
  bool add_owner_hint(const std::string& service, const claims::claim& claim,
                      store_revision revision);
  [[nodiscard]] const claims::claim_map* find_map(const std::string& service) const;
  [[nodiscard]] std::optional<key_owner> owner_of(const std::string& service,
                                                  claims::shard_key key) const;
  [[nodiscard]] store_revision map_revision(const std::string& service) const;

  [[nodiscard]] const std::string& self() const { return self_; }

 private:
  struct cached_map {
    claims::claim_map map;
    /// The last map of an earlier era, while keys of `map` are unsettled: their owners keep them.
    std::optional<claims::claim_map> earlier;
    /// Claims that peers sent, each with the revision of its map.
    std::vector<std::pair<claims::claim, store_revision>> hints;

    /// Returns the claim on `key`, or null.
    [[nodiscard]] const claims::claim* find(claims::shard_key key) const;
  };
  std::string self_;
  routing::route_table routes_;
  std::string state_text_;
  std::optional<time_point> state_confirmed_at_;
  std::map<std::string, cached_map> maps_;
};

}  // namespace masticshunt::fleet
