#include "decisions/requests/internal/caller_table.h"

#include <algorithm>
#include <numeric>

namespace masticshunt::requests {

namespace {

constexpr std::uint32_t callers_looked_at = 8;

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
  for (std::uint32_t looked = 1; looked < std::min(ring.size, callers_looked_at); ++looked) {
    node = nodes_[node].next;
    if (nodes_[node].queue.size > nodes_[longest].queue.size) longest = node;
  }
  return longest;
}

pool_index caller_table::node_for(caller_ring& ring, std::uint64_t caller) {
  const pool_index known = by_caller_.find(caller);
  if (known != no_index) return known;
  const pool_index place = free_.back();
  free_.pop_back();
  by_caller_.insert(caller, place);
  caller_node& node = nodes_[place];
  node = {.caller = caller, .queue = {}, .previous = place, .next = place};
  if (ring.head == no_index) {
    ring.head = place;
  } else {
    node.next = ring.head;
    node.previous = nodes_[ring.head].previous;
    nodes_[node.previous].next = place;
    nodes_[ring.head].previous = place;
  }
  ++ring.size;
  return place;
}

void caller_table::remove(caller_ring& ring, pool_index place) {
  const caller_node& node = nodes_[place];
  nodes_[node.previous].next = node.next;
  nodes_[node.next].previous = node.previous;
  if (ring.head == place) ring.head = node.next == place ? no_index : node.next;
  --ring.size;
  by_caller_.erase(node.caller);
  free_.push_back(place);
}

}  // namespace masticshunt::requests
