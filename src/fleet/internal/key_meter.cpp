#include "fleet/internal/key_meter.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace masticshunt::fleet {

namespace {

constexpr duration half_life = std::chrono::milliseconds{600};
constexpr duration decay_interval = std::chrono::milliseconds{100};
constexpr double count_min = 0.02;
constexpr double target_subrange_count = 20;
// Counts over a shorter time are too noisy to estimate a rate.
constexpr duration shortest_observation = std::chrono::milliseconds{150};

/// Returns the share of its limit that the decayed count of a constant rate reaches after
/// `observed`.
double settled_share(duration observed) {
  return 1 - std::exp2(-std::chrono::duration<double>(std::max(observed, shortest_observation)) /
                       std::chrono::duration<double>(half_life));
}

}  // namespace

void key_meter::decay(time_point now) {
  if (now - last_decay_ < decay_interval) return;
  const double factor = std::exp2(-std::chrono::duration<double>(now - last_decay_).count() /
                                  std::chrono::duration<double>(half_life).count());
  last_decay_ = now;
  for (auto it = counts_.begin(); it != counts_.end();) {
    it->second *= factor;
    it = it->second < count_min ? counts_.erase(it) : std::next(it);
  }
}

void key_meter::arrived(claims::shard_key key, time_point now) {
  decay(now);
  if (counts_.empty()) counting_since_ = now;
  counts_[key] += 1;
}

std::vector<claims::key_load> key_meter::loads(const std::vector<claims::key_range>& ranges,
                                               duration service_time, time_point now) {
  decay(now);
  // The decayed count of a constant rate r converges to r * half_life / ln 2.
  const double rate_of_count = std::log(2.0) / std::chrono::duration<double>(half_life).count() /
                               settled_share(now - counting_since_);
  const double slots_of_count = rate_of_count * std::chrono::duration<double>(service_time).count();
  const double total =
      std::accumulate(counts_.begin(), counts_.end(), 0.0,
                      [](double sum, const auto& key_count) { return sum + key_count.second; });
  const double target_load = total / target_subrange_count;
  std::vector<claims::key_load> result;
  for (const auto& range : ranges) {
    double sum = 0;
    claims::shard_key first = range.first;
    for (auto it = counts_.lower_bound(range.first); it != counts_.end() && it->first <= range.last;
         ++it) {
      if (sum == 0) first = it->first;
      // A key that reaches the target load alone gets its own subrange.
      if (sum > 0 && it->second >= target_load) {
        result.push_back({{first, it->first - 1}, sum * slots_of_count});
        sum = 0;
        first = it->first;
      }
      sum += it->second;
      if (sum < target_load) continue;
      result.push_back({{first, it->first}, sum * slots_of_count});
      sum = 0;
    }
    if (sum > 0) result.push_back({{first, range.last}, sum * slots_of_count});
  }
  return result;
}

}  // namespace masticshunt::fleet
