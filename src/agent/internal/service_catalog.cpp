#include "agent/internal/service_catalog.h"

#include <algorithm>

namespace masticshunt::agent {

std::optional<std::uint32_t> service_view::rank_index(std::string_view name) const {
  if (ranks.empty()) return name.empty() ? std::optional<std::uint32_t>{0} : std::nullopt;
  const std::string_view wanted = name.empty() ? std::string_view(record.default_rank) : name;
  if (wanted.empty()) return static_cast<std::uint32_t>(ranks.size() - 1);
  const auto found = std::ranges::find(ranks, wanted, &configuration::rank_record::name);
  if (found == ranks.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - ranks.begin());
}

std::vector<requests::rank_policy> to_rank_policies(const service_view& service) {
  std::vector<requests::rank_policy> policies;
  std::ranges::transform(service.ranks, std::back_inserter(policies), [](const auto& rank) {
    return requests::rank_policy{rank.name, rank.floor, rank.worth, rank.target};
  });
  if (policies.empty()) policies.push_back({"default", 0, 1, std::chrono::seconds{1}});
  return policies;
}

void service_catalog::apply(const ownership::store_object& object) {
  const std::scoped_lock guard(lock_);
  registry_.apply(object.name, object.version, object.value);
  views_.clear();
  for (const auto& name : registry_.service_names()) {
    auto view = std::make_shared<service_view>();
    view->supported = registry_.state_of(name) != configuration::service_state::unsupported;
    if (const auto record = registry_.service(name)) view->record = *record;
    view->record.name = name;
    view->ranks = registry_.ranks(name);
    views_[name] = std::move(view);
  }
}

std::shared_ptr<const service_view> service_catalog::find(std::string_view service) const {
  const std::scoped_lock guard(lock_);
  const auto found = views_.find(std::string(service));
  if (found != views_.end()) return found->second;
  if (registry_.state_of(service) != configuration::service_state::unsupported) return nullptr;
  auto unsupported = std::make_shared<service_view>();
  unsupported->record.name = std::string(service);
  unsupported->supported = false;
  return unsupported;
}

std::uint64_t service_catalog::revision() const {
  const std::scoped_lock guard(lock_);
  return registry_.revision();
}

}  // namespace masticshunt::agent
