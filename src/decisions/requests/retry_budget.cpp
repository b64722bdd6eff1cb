#include "masticshunt/decisions/requests/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace masticshunt::requests {

retry_budget::counts& retry_budget::advance(std::string_view service, time_point now) {
  auto found = services_.find(service);
  if (found == services_.end()) found = services_.emplace(std::string(service), counts{}).first;
  counts& current = found->second;
  const std::int64_t bucket =
      now.time_since_epoch() / (settings_.window / std::int64_t{bucket_count});
  const std::int64_t steps = std::min<std::int64_t>(bucket - current.newest_bucket, bucket_count);
  for (std::int64_t step = 1; step <= steps; ++step) {
    const auto index =
        static_cast<std::size_t>((bucket - steps + step) % std::int64_t{bucket_count});
    current.requests[index] = 0;
    current.retries[index] = 0;
  }
  current.newest_bucket = std::max(bucket, current.newest_bucket);
  return current;
}

void retry_budget::set_bound(double ratio, double slack) {
  settings_.ratio = ratio;
  settings_.slack = slack;
}

void retry_budget::record_request(std::string_view service, time_point now) {
  counts& current = advance(service, now);
  ++current.requests[static_cast<std::size_t>(current.newest_bucket % std::int64_t{bucket_count})];
}

void retry_budget::charge(std::string_view service, double share, time_point now) {
  counts& current = advance(service, now);
  current.retries[static_cast<std::size_t>(current.newest_bucket % std::int64_t{bucket_count})] +=
      share;
}

double retry_budget::remaining(std::string_view service, std::size_t agents, time_point now) {
  const counts& current = advance(service, now);
  const auto sum = [](const auto& values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
  };
  const double slack = settings_.slack / static_cast<double>(std::max<std::size_t>(agents, 1));
  return settings_.used_share * (settings_.ratio * sum(current.requests) + slack) -
         sum(current.retries);
}

bool retry_budget::take(std::string_view service, std::size_t agents, time_point now) {
  if (remaining(service, agents, now) < 1) return false;
  counts& current = advance(service, now);
  ++current.retries[static_cast<std::size_t>(current.newest_bucket % std::int64_t{bucket_count})];
  return true;
}

}  // namespace masticshunt::requests
