#include "demo/internal/owner_change_counter.h"

#include <algorithm>

#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::demo {

owner_change_counter::owners owner_change_counter::read_owners() const {
  owners current;
  for (const auto& service : deployment_.plan().services) {
    for (std::uint32_t group = 0;; ++group) {
      const auto object =
          deployment_.store().object(ownership::page_object_name({service.name, group}));
      if (!object) break;
      failure reason;
      const auto page = ownership::page_from_object(*object, reason);
      if (!page) break;
      for (const auto& each : page->ranges) current[{service.name, each.range}] = each.owner;
    }
  }
  return current;
}

void owner_change_counter::record(const std::string& event) {
  auto current = read_owners();
  const auto changed = std::ranges::count_if(current, [this](const auto& each) {
    const auto before = last_.find(each.first);
    return before != last_.end() && before->second != each.second;
  });
  if (!first_) changes_.emplace_back(event, static_cast<std::size_t>(changed));
  first_ = false;
  last_ = std::move(current);
}

std::string owner_change_counter::summary() const {
  std::string text;
  for (const auto& [event, count] : changes_) {
    text += (text.empty() ? "" : ", ") + event + " " + std::to_string(count);
  }
  return text + " of " + std::to_string(last_.size()) + " ranges";
}

}  // namespace masticshunt::demo
