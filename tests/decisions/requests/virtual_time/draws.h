/// @file
/// Seeded random numbers for traces and randomised simulations.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::testing {

/// A splitmix64 generator: its numbers depend only on the seed, on every machine.
class draws {
 public:
  explicit draws(std::uint64_t seed) : state_(seed) {}

  /// Returns 64 random bits.
  std::uint64_t bits() {
    std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31U);
  }
  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(bits() >> 11U) * 0x1.0p-53; }
  /// Returns a number below `bound`.
  std::uint64_t below(std::uint64_t bound) { return bits() % bound; }
  /// Returns true with the given probability.
  bool chance(double probability) { return unit() < probability; }
  /// Returns an exponentially distributed duration.
  duration exponential(duration mean) {
    return duration{
        static_cast<duration::rep>(-std::log(1 - unit()) * static_cast<double>(mean.count()))};
  }
  /// Returns a log-normally distributed duration with the given mean.
  duration lognormal(duration mean, double sigma) {
    constexpr double two_pi = 6.283185307179586;
    const double normal = std::sqrt(-2 * std::log(1 - unit())) * std::cos(two_pi * unit());
    return duration{static_cast<duration::rep>(static_cast<double>(mean.count()) *
                                               std::exp(sigma * normal - sigma * sigma / 2))};
  }

 private:
  std::uint64_t state_;
};

/// Draws indices from a Zipf distribution: index 0 is the most frequent.
class zipf {
 public:
  zipf(std::size_t count, double exponent) : cumulative_(count) {
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i)
      cumulative_[i] = sum += std::pow(static_cast<double>(i + 1), -exponent);
  }

  /// Draws an index.
  [[nodiscard]] std::size_t draw(draws& random) const {
    const double wanted = random.unit() * cumulative_.back();
    const auto found = std::ranges::lower_bound(cumulative_, wanted);
    return static_cast<std::size_t>(found - cumulative_.begin());
  }
  /// Returns the probability of `index`.
  [[nodiscard]] double share(std::size_t index) const {
    const double below = index == 0 ? 0 : cumulative_[index - 1];
    return (cumulative_[index] - below) / cumulative_.back();
  }
  /// Returns the number of indices.
  [[nodiscard]] std::size_t size() const { return cumulative_.size(); }

 private:
  std::vector<double> cumulative_;
};

}  // namespace masticshunt::testing
