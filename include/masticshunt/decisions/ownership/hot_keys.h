/// @file
/// Finds the keys that take the most load, in bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::ownership {

/// Settings of the search for hot keys.
struct hot_keys_settings {
  std::size_t capacity = 256;                    ///< Keys counted at the same time.
  duration half_life = std::chrono::seconds{2};  ///< After this, a request counts half.
};

/// A key with its aged weight.
struct hot_key {
  key_hash hash = 0;
  double weight = 0;  ///< Never less than the true aged weight.
  double error = 0;   ///< The true aged weight is at least `weight - error`.
  double share = 0;   ///< `weight - error` as a share of all aged weight: a lower bound.
};

/// Counts keys by the space-saving algorithm (Metwally, Agrawal, El Abbadi: "Efficient Computation
/// of Frequent and Top-k Elements in Data Streams", ICDT 2005) with exponential ageing.
///
/// Every key whose share of the aged weight exceeds 1 / capacity is counted. Ageing makes later
/// requests weigh more instead of making earlier ones weigh less, so that `record` touches one
/// counter only; all counters are scaled down when the weights grow large.
///
/// Life cycle: construct; `record` each request, with `now` never going back.
/// Thread safety: none.
///
///     hot_keys keys({});
///     keys.record(hash_of_key("km-118.4"), 1.0, now);
///     for (const auto& key : keys.hottest(10, now)) consider(key);
class hot_keys {
 public:
  explicit hot_keys(hot_keys_settings settings);

  /// Counts `weight` for `hash` (1 for a request, or the time that it took).
  void record(key_hash hash, double weight, time_point now);

  /// Returns the `count` keys with the greatest weight that is certain, hottest first.
  [[nodiscard]] std::vector<hot_key> hottest(std::size_t count, time_point now) const;

  /// Returns the aged weight of all requests.
  [[nodiscard]] double total_weight(time_point now) const;

  /// Returns the bytes of memory held for counters, about.
  [[nodiscard]] std::size_t bytes() const;

 private:
  struct counter {
    key_hash hash = 0;
    double weight = 0;
    double error = 0;
  };

  [[nodiscard]] double growth(time_point now) const;
  void scale_down(time_point now);
  void sift_down(std::size_t place);
  void sift_up(std::size_t place);
  void swap(std::size_t left, std::size_t right);

  hot_keys_settings settings_;
  time_point origin_{};
  bool started_ = false;
  double total_ = 0;
  std::vector<counter> heap_;  ///< The counter of least weight first.
  std::unordered_map<key_hash, std::size_t> positions_;
};

}  // namespace masticshunt::ownership
