/// @file
/// The regions in which requests may be handled and keys may be owned.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/decisions/routing/desired_state.h"

namespace masticshunt::routing {

/// Returns true if `regions`, where empty means everywhere, allows `region`.
[[nodiscard]] bool allows_region(std::span<const std::string> regions, std::string_view region);

/// Returns the regions in which keys of `service` may be owned, empty if everywhere: those that all
/// its routes allow, or if they have none in common, those that any of them allows.
[[nodiscard]] std::vector<std::string> owner_regions(const desired_state& state,
                                                     std::string_view service);

/// A region that a route names.
struct route_region {
  std::string route;
  std::string region;

  bool operator==(const route_region&) const = default;
};

/// Returns the regions named by routes of `state` for which `is_known` is false. Such a region
/// serves no request; most likely its name is misspelt.
template <class IsKnown>
std::vector<route_region> unknown_regions(const desired_state& state, IsKnown is_known) {
  std::vector<route_region> result;
  for (const route& each : state.routes)
    for (const std::string& region : each.regions)
      if (!is_known(region)) result.push_back({each.name, region});
  return result;
}

}  // namespace masticshunt::routing
