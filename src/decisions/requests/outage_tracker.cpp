#include "masticshunt/decisions/requests/outage_tracker.h"

namespace masticshunt::requests {

void outage_tracker::report_unavailable(std::string_view name, time_point now) {
  const auto found = outages_.find(name);
  if (found == outages_.end()) {
    outages_.emplace(std::string(name), outage{now, now});
    return;
  }
  if (now - found->second.last_reported > outage_retention) found->second.since = now;
  found->second.last_reported = now;
}

void outage_tracker::report_available(std::string_view name) {
  const auto found = outages_.find(name);
  if (found != outages_.end()) outages_.erase(found);
}

duration outage_tracker::wait_limit(std::string_view name, time_point now) const {
  const auto found = outages_.find(name);
  const bool is_long = found != outages_.end() &&
                       now - found->second.last_reported <= outage_retention &&
                       now - found->second.since > settings_.short_outage_max;
  return is_long ? settings_.wait_in_long_outage : settings_.wait;
}

}  // namespace masticshunt::requests
