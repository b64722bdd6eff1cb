#include "masticshunt/bench/schedule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace masticshunt::bench {

namespace {

/// Distance in the key space by which the popular keys move; spreads them over all keys.
constexpr std::uint64_t hot_key_stride = 7'919;

/// Draws keys from a Zipf distribution.
class key_sampler {
 public:
  explicit key_sampler(const key_popularity& popularity) : popularity_(popularity) {
    double sum = 0;
    cumulative_.reserve(popularity.keys);
    for (std::uint32_t position = 1; position <= popularity.keys; ++position) {
      sum += std::pow(position, -popularity.zipf_exponent);
      cumulative_.push_back(sum);
    }
  }

  template <class Random>
  std::uint32_t draw(Random& random, std::chrono::nanoseconds at) const {
    const double drawn = std::uniform_real_distribution<>(0, cumulative_.back())(random);
    const auto position = std::ranges::lower_bound(cumulative_, drawn) - cumulative_.begin();
    const std::uint64_t moves = popularity_.hot_key_shift_interval.count() > 0
                                    ? at / popularity_.hot_key_shift_interval
                                    : 0;
    return static_cast<std::uint32_t>(
        (static_cast<std::uint64_t>(position) + moves * hot_key_stride) % popularity_.keys);
  }

 private:
  key_popularity popularity_;
  std::vector<double> cumulative_;
};

double factor_at(const schedule_settings& settings, const request_kind& kind,
                 std::chrono::nanoseconds at) {
  double factor = 1;
  for (const auto& each : settings.floods) {
    if (each.rank == kind.rank && each.from <= at && at < each.until) factor *= each.factor;
  }
  return factor;
}

double largest_factor(const schedule_settings& settings, const request_kind& kind) {
  double factor = 1;
  for (const auto& each : settings.floods) {
    if (each.rank == kind.rank) factor *= std::max(each.factor, 1.0);
  }
  return factor;
}

/// Adds the arrivals of one kind by thinning a Poisson process of its peak rate.
void add_arrivals(const schedule_settings& settings, std::uint32_t index, const key_sampler& keys,
                  std::vector<arrival>& arrivals) {
  const auto& kind = settings.kinds[index];
  if (kind.rate <= 0) return;
  std::mt19937_64 random(settings.seed * 1'000'003 + index);
  const double peak = largest_factor(settings, kind);
  std::exponential_distribution<> interarrival(kind.rate * peak);
  std::uniform_real_distribution<> uniform(0, 1);
  std::chrono::duration<double> at{0};
  for (at += std::chrono::duration<double>(interarrival(random)); at < settings.duration;
       at += std::chrono::duration<double>(interarrival(random))) {
    const auto when = std::chrono::duration_cast<std::chrono::nanoseconds>(at);
    const double acceptance = factor_at(settings, kind, when) / peak;
    const std::uint32_t key = keys.draw(random, when);
    if (uniform(random) < acceptance) arrivals.push_back({when, index, key});
  }
}

}  // namespace

std::vector<arrival> make_schedule(const schedule_settings& settings) {
  const key_sampler keys(settings.popularity);
  std::vector<arrival> arrivals;
  for (std::uint32_t index = 0; index < settings.kinds.size(); ++index) {
    add_arrivals(settings, index, keys, arrivals);
  }
  std::ranges::stable_sort(arrivals, {}, &arrival::at);
  return arrivals;
}

std::string key_name(std::uint32_t index) {
  return "key-" + std::to_string(index);
}

}  // namespace masticshunt::bench
