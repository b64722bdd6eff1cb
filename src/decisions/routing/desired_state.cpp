#include "masticshunt/decisions/routing/desired_state.h"

#include <algorithm>
#include <numeric>

namespace masticshunt::routing {

route_table::route_table(desired_state state) : state_(std::move(state)) {
  for (std::size_t i = 0; i < state_.routes.size(); ++i)
    by_host_[state_.routes[i].host].push_back(i);
  for (auto& [host, indexes] : by_host_) {
    std::ranges::stable_sort(indexes, std::ranges::greater{}, [this](std::size_t index) {
      return state_.routes[index].path_prefix.size();
    });
  }
}

const route* route_table::match(std::string_view host, std::string_view path) const {
  host = host.substr(0, host.find(':'));
  path = path.substr(0, path.find('?'));
  const auto indexes = by_host_.find(host);
  if (indexes == by_host_.end()) return nullptr;
  const auto found = std::ranges::find_if(indexes->second, [&](std::size_t index) {
    return path.starts_with(state_.routes[index].path_prefix);
  });
  return found == indexes->second.end() ? nullptr : &state_.routes[*found];
}

const service* route_table::find_service(std::string_view name) const {
  const auto found = state_.services.find(name);
  return found == state_.services.end() ? nullptr : &found->second;
}

const std::string& service_for(const std::vector<weighted_service>& services, std::uint64_t hash) {
  const auto total = std::accumulate(
      services.begin(), services.end(), std::uint64_t{0},
      [](std::uint64_t sum, const weighted_service& each) { return sum + each.weight; });
  std::uint64_t offset = total == 0 ? 0 : hash % total;
  const auto found = std::ranges::find_if(services, [&](const weighted_service& each) {
    if (offset < each.weight) return true;
    offset -= each.weight;
    return false;
  });
  return found == services.end() ? services.front().service : found->service;
}

}  // namespace masticshunt::routing
