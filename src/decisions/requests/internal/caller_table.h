/// @file
/// The callers with queued attempts at a gate, served round robin within their rank.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/requests/internal/attempt_pool.h"

namespace masticshunt::requests {

/// A caller with queued attempts of one rank.
struct caller_node {
  std::uint64_t caller = 0;
  attempt_list queue;
  pool_index previous = no_index;
  pool_index next = no_index;
};

/// The callers of one rank in round-robin order.
struct caller_ring {
  pool_index head = no_index;  ///< The caller that is served next.
  std::uint32_t size = 0;
};

/// Owns the callers' queues. A caller has a node while it has queued attempts.
///
/// Thread safety: none. No operation allocates.
class caller_table {
 public:
  explicit caller_table(std::size_t capacity);

  /// Appends an attempt to its caller's queue.
  void push_back(caller_ring& ring, attempt_pool& attempts, pool_index attempt);
  /// Prepends an attempt to its caller's queue.
  void push_front(caller_ring& ring, attempt_pool& attempts, pool_index attempt);
  /// Removes an attempt from its caller's queue.
  void unlink(caller_ring& ring, attempt_pool& attempts, pool_index attempt);
  /// Advances the ring to the next caller.
  void advance(caller_ring& ring) const {
    if (ring.head != no_index) ring.head = nodes_[ring.head].next;
  }
  /// Returns the node at an index.
  [[nodiscard]] const caller_node& at(pool_index index) const { return nodes_[index]; }
  /// Returns the number of queued attempts of a caller.
  [[nodiscard]] std::uint32_t queued(std::uint64_t caller) const;
  /// Returns the index of the caller with the longest queue among the next few in the ring.
  [[nodiscard]] pool_index longest_of_next(const caller_ring& ring) const;

 private:
  pool_index node_for(caller_ring& ring, std::uint64_t caller);
  void remove(caller_ring& ring, pool_index index);

  std::vector<caller_node> nodes_;
  std::vector<pool_index> free_;
  fixed_index by_caller_;
};

}  // namespace masticshunt::requests
