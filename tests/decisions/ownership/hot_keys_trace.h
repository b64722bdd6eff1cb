/// @file
/// A Zipf-distributed request trace with changing hot keys, and a count-min sketch as a baseline
/// for `hot_keys`.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <unordered_set>
#include <vector>

#include "masticshunt/decisions/ownership/hot_keys.h"

namespace masticshunt::testing {

using namespace masticshunt::ownership;

/// Zipf(1.0) over 100,000 keys; the hottest ranks can be reassigned to other keys.
class zipf_requests {
 public:
  explicit zipf_requests(std::uint64_t seed) : random_(seed), hashes_(keys) {
    double sum = 0;
    for (std::size_t rank = 0; rank < keys; ++rank) {
      sums_.push_back(sum += 1.0 / static_cast<double>(rank + 1));
      hashes_[rank] = random_();
    }
  }

  key_hash next() {
    const double drawn = static_cast<double>(random_() >> 11) * 0x1p-53 * sums_.back();
    return hashes_[std::ranges::upper_bound(sums_, drawn) - sums_.begin()];
  }

  void replace_hottest(std::size_t count) {
    for (std::size_t rank = 0; rank < count; ++rank) hashes_[rank] = random_();
  }

  [[nodiscard]] std::unordered_set<key_hash> hottest(std::size_t count) const {
    return {hashes_.begin(), hashes_.begin() + static_cast<long>(count)};
  }

 private:
  static constexpr std::size_t keys = 100'000;
  std::mt19937_64 random_;
  std::vector<double> sums_;
  std::vector<key_hash> hashes_;
};

/// A count-min sketch (Cormode, Muthukrishnan: "An Improved Data Stream Summary: The Count-Min
/// Sketch and its Applications", J. Algorithms 2005) and a list of the hottest keys; all counts are
/// halved every half-life.
class count_min_keys {
 public:
  count_min_keys(std::size_t width, std::size_t candidates_max, duration half_life)
      : width_(width),
        candidates_max_(candidates_max),
        half_life_(half_life),
        cells_(rows * width) {}

  void record(key_hash hash, double weight, time_point now) {
    if (halved_ == time_point{}) halved_ = now;
    while (now - halved_ >= half_life_) halve();
    double least = 0;
    for (std::size_t row = 0; row < rows; ++row) {
      auto& cell = cells_[row * width_ + (hash * multipliers[row] >> 20) % width_];
      cell += weight;
      least = row == 0 ? cell : std::min(least, cell);
    }
    candidates_[hash] = least;
    if (candidates_.size() <= candidates_max_) return;
    candidates_.erase(std::ranges::min_element(
        candidates_, {}, [](const auto& candidate) { return candidate.second; }));
  }

  [[nodiscard]] std::vector<hot_key> hottest(std::size_t count, time_point) const {
    std::vector<hot_key> keys;
    for (const auto& [hash, weight] : candidates_) keys.push_back({hash, weight, 0, weight});
    std::ranges::sort(keys, std::ranges::greater{}, &hot_key::weight);
    keys.resize(std::min(count, keys.size()));
    return keys;
  }

  [[nodiscard]] std::size_t bytes() const { return cells_.size() * 8 + candidates_max_ * 48; }

 private:
  static constexpr std::size_t rows = 4;
  static constexpr std::array<std::uint64_t, rows> multipliers{
      0x9e3779b97f4a7c15, 0xc2b2ae3d27d4eb4f, 0x165667b19e3779f9, 0xd6e8feb86659fd93};

  void halve() {
    halved_ += half_life_;
    for (auto& cell : cells_) cell /= 2;
    for (auto& [hash, weight] : candidates_) weight /= 2;
  }

  std::size_t width_;
  std::size_t candidates_max_;
  duration half_life_;
  time_point halved_{};
  std::vector<double> cells_;
  std::map<key_hash, double> candidates_;
};

/// Accuracy of hot key detection.
struct hot_keys_result {
  double recall = 0;        ///< Mean share of the true 20 hottest keys among the 20 reported.
  double recall_after = 0;  ///< The same, 10 s after a change of the hottest keys.
};

/// Records 300 s of 2,100 requests/s; the 50 hottest keys change every 60 s.
template <class Detector>
hot_keys_result run_hot_keys(Detector& detector, std::uint64_t seed) {
  constexpr std::size_t wanted = 20;
  constexpr int seconds = 300;
  constexpr int requests_per_second = 2'100;
  zipf_requests requests(seed);
  time_point now{std::chrono::hours{1}};
  hot_keys_result result;
  for (int second = 1; second <= seconds; ++second) {
    for (int index = 0; index < requests_per_second; ++index) {
      now += std::chrono::nanoseconds{1'000'000'000 / requests_per_second};
      detector.record(requests.next(), 1.0, now);
    }
    const auto expected = requests.hottest(wanted);
    const auto found = detector.hottest(wanted, now);
    const auto hits = std::ranges::count_if(
        found, [&](const hot_key& key) { return expected.contains(key.hash); });
    const double recall = static_cast<double>(hits) / wanted;
    result.recall += recall / seconds;
    if (second % 60 == 10) result.recall_after += recall / (seconds / 60.0);
    if (second % 60 == 0) requests.replace_hottest(50);
  }
  return result;
}

}  // namespace masticshunt::testing
