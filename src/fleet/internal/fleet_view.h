/// @file
/// What an agent knows of the fleet: the desired state, the upstreams, and who owns which keys.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/decisions/claims/claim_map.h"
#include "masticshunt/decisions/routing/desired_state.h"
#include "masticshunt/decisions/routing/upstream_directory.h"
#include "masticshunt/fleet/settings.h"

namespace masticshunt::fleet {

/// The owner of a key as this agent knows it.
struct key_owner {
  std::string agent;
  std::uint64_t map_revision = 0;
};

/// Beliefs with their versions; none ever goes back to an older one.
///
/// Thread safety: none.
class fleet_view {
 public:
  explicit fleet_view(const fleet_settings& settings)
      : directory(settings.zone, settings.region), self_(settings.name) {}

  routing::upstream_directory directory;
  bool directory_loaded = false;

  /// Takes a desired state into force if it is newer. `text` is its stored form, for peers.
  bool update_state(routing::desired_state state, std::string text);
  [[nodiscard]] const routing::route_table& routes() const { return routes_; }
  [[nodiscard]] const std::string& state_text() const { return state_text_; }

  /// Takes in a claim map if it is newer.
  bool update_map(const claims::claim_map& map);
  /// Takes in one claim that a peer named; it counts over older maps. Returns false if a whole map
  /// should be fetched: the claim is no news, or there are many such claims already.
  bool add_owner_hint(const std::string& service, const claims::claim& claim,
                      std::uint64_t revision);
  [[nodiscard]] const claims::claim_map* find_map(const std::string& service) const;
  [[nodiscard]] std::optional<key_owner> owner_of(const std::string& service,
                                                  claims::shard_key key) const;
  [[nodiscard]] std::uint64_t map_revision(const std::string& service) const;

  [[nodiscard]] const std::string& self() const { return self_; }

 private:
  struct cached_map {
    claims::claim_map map;
    std::vector<std::pair<claims::claim, std::uint64_t>> hints;  ///< With the maps' revisions.
  };
  std::string self_;
  routing::route_table routes_;
  std::string state_text_;
  std::map<std::string, cached_map> maps_;
};

}  // namespace masticshunt::fleet
