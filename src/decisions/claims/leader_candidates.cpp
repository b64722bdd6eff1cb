#include "masticshunt/decisions/claims/leader_candidates.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>

namespace masticshunt::claims {

std::vector<std::string> leader_candidates(
    const std::vector<const routing::registration*>& registrations, std::string_view service,
    std::size_t count) {
  const auto rank = [service](const routing::registration* each) {
    const bool gone = each->stage == routing::upstream_stage::gone;
    const bool owner = each->service == service;
    // Spreads the leaders of several services over the agents.
    const auto spread = std::hash<std::string>{}(each->agent + std::string(service));
    return std::tuple(gone, owner, spread, std::string_view(each->agent));
  };
  auto order = registrations;
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
  std::ranges::partial_sort(order, end, {}, rank);
  std::vector<std::string> names;
  std::transform(order.begin(), end, std::back_inserter(names),
                 [](const routing::registration* each) { return each->agent; });
  return names;
}

}  // namespace masticshunt::claims
