/// @file
/// Finds the keys with the highest load, in bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::ownership {

/// Settings of hot key detection.
struct hot_keys_settings {
  std::size_t capacity = 256;                    ///< Maximum number of counters.
  duration half_life = std::chrono::seconds{2};  ///< Age at which a request counts half.
};

/// A key with its decayed weight.
struct hot_key {
  key_hash hash = 0;
  double weight = 0;  ///< Upper bound of the true decayed weight.
  double error = 0;   ///< The true decayed weight is at least `weight - error`.
  double share = 0;   ///< Lower bound of its share: `weight - error` over the total.
};

/// Counts keys by the space-saving algorithm (Metwally, Agrawal, El Abbadi: "Efficient Computation
/// of Frequent and Top-k Elements in Data Streams", ICDT 2005) with exponential decay.
///
/// Every key whose share of the decayed weight exceeds 1 / capacity has a counter. Instead of
/// decaying old counts, later requests get a greater weight, so that `record` updates one counter
/// only; all counters are scaled down when the weights grow large.
///
/// Life cycle: construct; `record` each request, with a monotonic `now`.
/// Thread safety: none.
///
///     hot_keys keys({});
///     keys.record(hash_of_key("km-118.4"), 1.0, now);
///     for (const auto& key : keys.hottest(10, now)) consider(key);
class hot_keys {
 public:
  explicit hot_keys(hot_keys_settings settings);

  /// Adds `weight` to `hash` (1 for a request, or its duration).
  void record(key_hash hash, double weight, time_point now);

  /// Returns the `count` keys with the greatest certain weight (`weight - error`), hottest first.
  [[nodiscard]] std::vector<hot_key> hottest(std::size_t count, time_point now) const;

  /// Returns the total decayed weight of all requests.
  [[nodiscard]] double total_weight(time_point now) const;

  /// Returns the approximate memory used by the counters, in bytes.
  [[nodiscard]] std::size_t bytes() const;

 private:
  struct counter {
    key_hash hash = 0;
    double weight = 0;
    double error = 0;
  };

  [[nodiscard]] double growth(time_point now) const;
  void scale_down(time_point now);
  void sift_down(std::size_t position);
  void sift_up(std::size_t position);
  void swap(std::size_t left, std::size_t right);

  hot_keys_settings settings_;
  time_point origin_{};
  bool started_ = false;
  double total_ = 0;
  std::vector<counter> heap_;  ///< Min-heap by weight.
  std::unordered_map<key_hash, std::size_t> positions_;
};

}  // namespace masticshunt::ownership
