/// @file
/// The failure domains whose upstreams operators want to get no requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::routing {

/// The evacuated zones, as agents tell one another.
struct evacuation_set {
  std::uint64_t changed_at = 0;  ///< Revision of the store at which the set last changed.
  std::set<std::string> zones;

  bool operator==(const evacuation_set&) const = default;
};

/// The store's statement that a zone is or is no longer to be evacuated.
struct evacuation_change {
  std::string zone;
  bool evacuated = false;
};

/// The zones that are evacuated, as far as an agent knows from the store and from peers.
///
/// A set of a peer counts only if it changed after the revision up to which the own set is known:
/// the own one is newer otherwise, also if it never was the peer's. Each method that learns returns
/// true if the set changed. Life cycle: one per process. Thread safety: none.
class zone_evacuations {
 public:
  /// The store listed all evacuated zones as of `revision`.
  bool listed(std::set<std::string> zones, std::uint64_t revision, time_point now);
  /// The store stated all changes up to `revision` that follow what is known.
  bool changed(const std::vector<evacuation_change>& changes, std::uint64_t revision,
               time_point now);
  /// A peer stated its set.
  bool stated_by_peer(const evacuation_set& peer, time_point now);

  [[nodiscard]] const std::set<std::string>& zones() const { return set_.zones; }
  [[nodiscard]] const evacuation_set& set() const { return set_; }
  /// Returns the revision up to which no change is missing. A peer whose set changed later knows
  /// something new.
  [[nodiscard]] std::uint64_t known_up_to() const { return known_up_to_; }
  /// Returns when this agent learned that `zone` is evacuated, or nothing if it is not.
  [[nodiscard]] std::optional<time_point> evacuated_since(const std::string& zone) const;

 private:
  bool replace(std::set<std::string> zones, std::uint64_t revision, time_point now);

  evacuation_set set_;
  std::uint64_t known_up_to_ = 0;  ///< No change up to this revision is missing.
  std::map<std::string, time_point> since_;
};

}  // namespace masticshunt::routing
