#include "masticshunt/decisions/requests/patience.h"

namespace masticshunt::requests {

void patience::away(std::string_view name, time_point now) {
  const auto found = outages_.find(name);
  if (found == outages_.end()) {
    outages_.emplace(std::string(name), outage{now, now});
    return;
  }
  if (now - found->second.last > forgotten_after) found->second.since = now;
  found->second.last = now;
}

void patience::back(std::string_view name) {
  const auto found = outages_.find(name);
  if (found != outages_.end()) outages_.erase(found);
}

duration patience::wait_for(std::string_view name, time_point now) const {
  const auto found = outages_.find(name);
  const bool lasts = found != outages_.end() && now - found->second.last <= forgotten_after &&
                     now - found->second.since > settings_.usual_outage;
  return lasts ? settings_.wait_in_long_outage : settings_.wait;
}

}  // namespace masticshunt::requests
