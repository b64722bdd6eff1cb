#include "decisions/requests/internal/key_table.h"

#include <algorithm>
#include <numeric>

namespace masticshunt::requests {

key_table::key_table(std::size_t in_use_max, std::size_t stalled_max, std::size_t ranks)
    : ranks_(ranks),
      stalled_max_(stalled_max),
      nodes_(in_use_max + stalled_max + 1),
      parked_(nodes_.size() * ranks),
      free_(nodes_.size()),
      by_key_(nodes_.size()) {
  std::iota(free_.rbegin(), free_.rend(), pool_index{0});
}

pool_index key_table::acquire(key_hash key) {
  pool_index index = by_key_.find(key);
  if (index == no_index) {
    index = free_.back();
    free_.pop_back();
    nodes_[index] = {.key = key};
    by_key_.insert(key, index);
  } else if (nodes_[index].users == 0) {
    unlink_unused(index);
  }
  ++nodes_[index].users;
  return index;
}

void key_table::release(pool_index index) {
  if (--nodes_[index].users > 0) return;
  if (!nodes_[index].stalled) {
    remove(index);
    return;
  }
  push_newest(index);
  if (unused_ <= stalled_max_) return;
  const pool_index oldest = oldest_unused_;
  unlink_unused(oldest);
  remove(oldest);
}

std::size_t key_table::first_parked_rank(pool_index index) const {
  const auto first = parked_.begin() + static_cast<std::ptrdiff_t>(index * ranks_);
  const auto found = std::find_if(first, first + static_cast<std::ptrdiff_t>(ranks_),
                                  [](const attempt_list& list) { return list.size > 0; });
  return static_cast<std::size_t>(found - first);
}

void key_table::remove(pool_index index) {
  by_key_.erase(nodes_[index].key);
  free_.push_back(index);
}

void key_table::push_newest(pool_index index) {
  nodes_[index].older = newest_unused_;
  nodes_[index].newer = no_index;
  (newest_unused_ == no_index ? oldest_unused_ : nodes_[newest_unused_].newer) = index;
  newest_unused_ = index;
  ++unused_;
}

void key_table::unlink_unused(pool_index index) {
  const key_node& node = nodes_[index];
  (node.newer == no_index ? newest_unused_ : nodes_[node.newer].older) = node.older;
  (node.older == no_index ? oldest_unused_ : nodes_[node.older].newer) = node.newer;
  --unused_;
}

}  // namespace masticshunt::requests
