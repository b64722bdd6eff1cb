/// @file
/// A hash map from 64-bit keys to pool indices, with a fixed capacity and no allocation after
/// construction.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticshunt::requests {

/// An index into a pool.
using pool_index = std::uint32_t;
/// The value that stands for no index.
inline constexpr pool_index no_index = UINT32_MAX;

/// Maps 64-bit keys to pool indices by open addressing with linear probing.
///
/// The capacity is fixed; the constructor takes the maximum number of keys.
/// Thread safety: none.
class fixed_index {
 public:
  explicit fixed_index(std::size_t keys_max)
      : cells_(std::bit_ceil(2 * keys_max + 2)), mask_(cells_.size() - 1) {}

  /// Returns the index stored for `key`, or `no_index`.
  [[nodiscard]] pool_index find(std::uint64_t key) const {
    for (std::size_t slot = home(key); cells_[slot].index != no_index; slot = next(slot))
      if (cells_[slot].key == key) return cells_[slot].index;
    return no_index;
  }

  /// Inserts a key that is not in the map yet.
  void insert(std::uint64_t key, pool_index index) {
    std::size_t slot = home(key);
    while (cells_[slot].index != no_index) slot = next(slot);
    cells_[slot] = {key, index};
  }

  /// Removes `key` if it is in the map.
  void erase(std::uint64_t key) {
    std::size_t hole = home(key);
    while (cells_[hole].index != no_index && cells_[hole].key != key) hole = next(hole);
    if (cells_[hole].index == no_index) return;
    for (std::size_t slot = next(hole); cells_[slot].index != no_index; slot = next(slot)) {
      if (distance(home(cells_[slot].key), slot) < distance(hole, slot)) continue;
      cells_[hole] = cells_[slot];
      hole = slot;
    }
    cells_[hole] = {};
  }

 private:
  struct cell {
    std::uint64_t key = 0;
    pool_index index = no_index;
  };

  [[nodiscard]] std::size_t home(std::uint64_t key) const {
    constexpr std::uint64_t mix_multiplier = 0x9E3779B97F4A7C15ULL;
    const std::uint64_t mixed = (key ^ (key >> 32U)) * mix_multiplier;
    return static_cast<std::size_t>(mixed >> 20U) & mask_;
  }
  [[nodiscard]] std::size_t next(std::size_t slot) const { return (slot + 1) & mask_; }
  [[nodiscard]] std::size_t distance(std::size_t from, std::size_t to) const {
    return (to - from) & mask_;
  }

  std::vector<cell> cells_;
  std::size_t mask_;
};

}  // namespace masticshunt::requests
