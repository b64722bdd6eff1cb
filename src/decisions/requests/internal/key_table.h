/// @file
/// Per-key state of a gate: slots in use, parked attempts, and whether the key is stalled.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/requests/internal/attempt_pool.h"

namespace masticshunt::requests {

/// A key with waiting or running attempts, or one that stalled recently.
struct key_node {
  key_hash key = 0;
  std::uint32_t users = 0;    ///< Waiting and running attempts of the key.
  std::uint32_t running = 0;  ///< Slots that the key uses.
  std::uint32_t overdue = 0;  ///< Running attempts that take much longer than usual.
  std::uint32_t parked = 0;
  bool stalled = false;  ///< The last evidence was an overdue attempt.
  pool_index newer = no_index;
  pool_index older = no_index;
};

/// A bounded table of the keys in use and of the most recent stalled keys that are unused.
///
/// Thread safety: none. No operation allocates.
class key_table {
 public:
  /// Allocates room for `in_use_max` keys in use and `stalled_max` unused stalled keys.
  key_table(std::size_t in_use_max, std::size_t stalled_max, std::size_t ranks);

  /// Returns the index of the node of `key` and adds one user to it.
  pool_index acquire(key_hash key);
  /// Removes one user; removes an unused key unless it is stalled.
  void release(pool_index index);
  /// Returns the node at an index.
  [[nodiscard]] key_node& at(pool_index index) { return nodes_[index]; }
  /// Returns the parked attempts of a key that belong to one rank.
  [[nodiscard]] attempt_list& parked(pool_index index, std::size_t rank) {
    return parked_[index * ranks_ + rank];
  }
  /// Returns the most urgent rank with parked attempts of a key.
  [[nodiscard]] std::size_t first_parked_rank(pool_index index) const;
  /// Returns the number of keys in the table.
  [[nodiscard]] std::size_t size() const { return nodes_.size() - free_.size(); }

 private:
  void remove(pool_index index);
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
