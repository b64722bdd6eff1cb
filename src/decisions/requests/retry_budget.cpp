#include "masticshunt/decisions/requests/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace masticshunt::requests {

retry_budget::counts& retry_budget::advanced(std::string_view service, time_point now) {
  auto found = services_.find(service);
  if (found == services_.end()) found = services_.emplace(std::string(service), counts{}).first;
  counts& one = found->second;
  const std::int64_t part = now.time_since_epoch() / (settings_.window / std::int64_t{parts});
  const std::int64_t steps = std::min<std::int64_t>(part - one.newest, parts);
  for (std::int64_t step = 1; step <= steps; ++step) {
    const auto place = static_cast<std::size_t>((part - steps + step) % std::int64_t{parts});
    one.requests[place] = 0;
    one.repeats[place] = 0;
  }
  one.newest = std::max(part, one.newest);
  return one;
}

void retry_budget::requested(std::string_view service, time_point now) {
  counts& one = advanced(service, now);
  ++one.requests[static_cast<std::size_t>(one.newest % std::int64_t{parts})];
}

void retry_budget::charge(std::string_view service, double share, time_point now) {
  counts& one = advanced(service, now);
  one.repeats[static_cast<std::size_t>(one.newest % std::int64_t{parts})] += share;
}

double retry_budget::left(std::string_view service, std::size_t agents, time_point now) {
  const counts& one = advanced(service, now);
  const auto sum = [](const auto& values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
  };
  const double slack = settings_.slack / static_cast<double>(std::max<std::size_t>(agents, 1));
  return settings_.used_share * (settings_.ratio * sum(one.requests) + slack) - sum(one.repeats);
}

bool retry_budget::take(std::string_view service, std::size_t agents, time_point now) {
  if (left(service, agents, now) < 1) return false;
  counts& one = advanced(service, now);
  ++one.repeats[static_cast<std::size_t>(one.newest % std::int64_t{parts})];
  return true;
}

}  // namespace masticshunt::requests
