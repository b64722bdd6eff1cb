#include "decisions/requests/internal/caller_table.h"

#include <algorithm>
#include <numeric>

namespace masticshunt::requests {

namespace {

constexpr std::uint32_t callers_examined_max = 8;

}  // namespace

caller_table::caller_table(std::size_t capacity)
    : nodes_(capacity), free_(capacity), by_caller_(capacity) {
  std::iota(free_.rbegin(), free_.rend(), pool_index{0});
}

void caller_table::push_back(caller_ring& ring, attempt_pool& attempts, pool_index attempt) {
  const pool_index node = node_for(ring, attempts.at(attempt).caller);
  attempts.push_back(nodes_[node].queue, attempt);
}

void caller_table::push_front(caller_ring& ring, attempt_pool& attempts, pool_index attempt) {
  const pool_index node = node_for(ring, attempts.at(attempt).caller);
  attempts.push_front(nodes_[node].queue, attempt);
}

void caller_table::unlink(caller_ring& ring, attempt_pool& attempts, pool_index attempt) {
  const pool_index node = by_caller_.find(attempts.at(attempt).caller);
  attempts.unlink(nodes_[node].queue, attempt);
  if (nodes_[node].queue.size == 0) remove(ring, node);
}

std::uint32_t caller_table::queued(std::uint64_t caller) const {
  const pool_index node = by_caller_.find(caller);
  return node == no_index ? 0 : nodes_[node].queue.size;
}

pool_index caller_table::longest_of_next(const caller_ring& ring) const {
  pool_index longest = ring.head;
  pool_index node = ring.head;
  for (std::uint32_t examined = 1; examined < std::min(ring.size, callers_examined_max);
       ++examined) {
    node = nodes_[node].next;
    if (nodes_[node].queue.size > nodes_[longest].queue.size) longest = node;
  }
  return longest;
}

pool_index caller_table::node_for(caller_ring& ring, std::uint64_t caller) {
  const pool_index existing = by_caller_.find(caller);
  if (existing != no_index) return existing;
  const pool_index index = free_.back();
  free_.pop_back();
  by_caller_.insert(caller, index);
  caller_node& node = nodes_[index];
  node = {.caller = caller, .queue = {}, .previous = index, .next = index};
  if (ring.head == no_index) {
    ring.head = index;
  } else {
    node.next = ring.head;
    node.previous = nodes_[ring.head].previous;
    nodes_[node.previous].next = index;
    nodes_[ring.head].previous = index;
  }
  ++ring.size;
  return index;
}

void caller_table::remove(caller_ring& ring, pool_index index) {
  const caller_node& node = nodes_[index];
  nodes_[node.previous].next = node.next;
  nodes_[node.next].previous = node.previous;
  if (ring.head == index) ring.head = node.next == index ? no_index : node.next;
  --ring.size;
  by_caller_.erase(node.caller);
  free_.push_back(index);
}

}  // namespace masticshunt::requests
