#include "demo/internal/owner_census.h"

#include <algorithm>

#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::demo {

owner_census::owners owner_census::read() const {
  owners now;
  for (const auto& service : deployment_.plan().services) {
    for (std::uint32_t group = 0;; ++group) {
      const auto object =
          deployment_.store().object(ownership::page_object_name({service.name, group}));
      if (!object) break;
      failure reason;
      const auto page = ownership::page_from_object(*object, reason);
      if (!page) break;
      for (const auto& each : page->ranges) now[{service.name, each.range}] = each.owner;
    }
  }
  return now;
}

void owner_census::take(const std::string& event) {
  auto now = read();
  const auto changed = std::ranges::count_if(now, [this](const auto& each) {
    const auto before = last_.find(each.first);
    return before != last_.end() && before->second != each.second;
  });
  if (!first_) changes_.emplace_back(event, static_cast<std::size_t>(changed));
  first_ = false;
  last_ = std::move(now);
}

std::string owner_census::summary() const {
  std::string text;
  for (const auto& [event, count] : changes_) {
    text += (text.empty() ? "" : ", ") + event + " " + std::to_string(count);
  }
  return text + " of " + std::to_string(last_.size()) + " ranges";
}

}  // namespace masticshunt::demo
