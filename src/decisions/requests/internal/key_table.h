/// @file
/// What a gate knows of single keys: slots held, attempts parked, and whether the key is stalled.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/requests/internal/attempt_pool.h"

namespace masticshunt::requests {

/// A key that attempts wait for or run on, or that stalled lately.
struct key_node {
  key_hash key = 0;
  std::uint32_t users = 0;    ///< Attempts of the key that the gate holds.
  std::uint32_t running = 0;  ///< Slots that the key holds.
  std::uint32_t overdue = 0;  ///< Of these, attempts that run much longer than usual.
  std::uint32_t parked = 0;
  bool stalled = false;  ///< Its last evidence was an overdue attempt.
  pool_index newer = no_index;
  pool_index older = no_index;
};

/// The keys of a gate, bounded: keys in use, and the latest stalled keys without use.
///
/// Thread safety: none. No operation allocates.
class key_table {
 public:
  /// Sizes the table for `in_use_max` keys in use and `stalled_max` remembered ones.
  key_table(std::size_t in_use_max, std::size_t stalled_max, std::size_t ranks);

  /// Returns the node of `key` with one user more.
  pool_index acquire(key_hash key);
  /// Takes one user away; forgets the key if nothing is worth remembering.
  void release(pool_index index);
  /// Returns the node at a place.
  [[nodiscard]] key_node& at(pool_index index) { return nodes_[index]; }
  /// Returns the attempts of one rank that are parked at a key.
  [[nodiscard]] attempt_list& parked(pool_index index, std::size_t rank) {
    return parked_[index * ranks_ + rank];
  }
  /// Returns the most urgent rank with attempts parked at a key.
  [[nodiscard]] std::size_t first_parked_rank(pool_index index) const;
  /// Returns the keys in the table.
  [[nodiscard]] std::size_t size() const { return nodes_.size() - free_.size(); }

 private:
  void forget(pool_index index);
  void push_newest(pool_index index);
  void unlink_unused(pool_index index);

  std::size_t ranks_;
  std::size_t stalled_max_;
  std::vector<key_node> nodes_;
  std::vector<attempt_list> parked_;
  std::vector<pool_index> free_;
  fixed_index by_key_;
  pool_index newest_unused_ = no_index;
  pool_index oldest_unused_ = no_index;
  std::size_t unused_ = 0;
};

}  // namespace masticshunt::requests
