#include "masticshunt/decisions/routing/residency.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace masticshunt::routing {

bool allows_region(std::span<const std::string> regions, std::string_view region) {
  return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

std::vector<std::string> owner_regions(const desired_state& state, std::string_view service) {
  std::set<std::string> common;
  std::set<std::string> any;
  bool restricted = false;
  for (const route& each : state.routes) {
    if (each.regions.empty()) continue;
    const auto led_to = std::ranges::find(each.services, service, &weighted_service::service);
    if (led_to == each.services.end()) continue;
    any.insert(each.regions.begin(), each.regions.end());
    if (!restricted) common.insert(each.regions.begin(), each.regions.end());
    restricted = true;
    std::erase_if(common, [&](const auto& region) { return !allows_region(each.regions, region); });
  }
  const auto& regions = common.empty() ? any : common;
  return {regions.begin(), regions.end()};
}

}  // namespace masticshunt::routing
