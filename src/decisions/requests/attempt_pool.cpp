#include "decisions/requests/internal/attempt_pool.h"

#include <algorithm>
#include <numeric>

namespace masticshunt::requests {

attempt_pool::attempt_pool(std::size_t capacity)
    : entries_(capacity), free_(capacity), by_attempt_(capacity) {
  std::iota(free_.rbegin(), free_.rend(), pool_index{0});
  heap_.reserve(capacity);
}

pool_index attempt_pool::add(const attempt_entry& entry) {
  const pool_index index = free_.back();
  free_.pop_back();
  entries_[index] = entry;
  by_attempt_.insert(entry.attempt, index);
  heap_.push_back(index);
  set_heap_entry(static_cast<std::uint32_t>(heap_.size() - 1), index);
  sift_up(entries_[index].heap_position);
  return index;
}

void attempt_pool::release(pool_index index) {
  const std::uint32_t position = entries_[index].heap_position;
  const pool_index last = heap_.back();
  heap_.pop_back();
  if (last != index) {
    set_heap_entry(position, last);
    sift_up(position);
    sift_down(entries_[last].heap_position);
  }
  by_attempt_.erase(entries_[index].attempt);
  free_.push_back(index);
}

void attempt_pool::set_expiry(pool_index index, time_point expires_at) {
  entries_[index].expires_at = expires_at;
  sift_up(entries_[index].heap_position);
  sift_down(entries_[index].heap_position);
}

void attempt_pool::push_back(attempt_list& list, pool_index index) {
  attempt_entry& entry = entries_[index];
  entry.previous = list.tail;
  entry.next = no_index;
  (list.tail == no_index ? list.head : entries_[list.tail].next) = index;
  list.tail = index;
  ++list.size;
}

void attempt_pool::push_front(attempt_list& list, pool_index index) {
  attempt_entry& entry = entries_[index];
  entry.previous = no_index;
  entry.next = list.head;
  (list.head == no_index ? list.tail : entries_[list.head].previous) = index;
  list.head = index;
  ++list.size;
}

void attempt_pool::unlink(attempt_list& list, pool_index index) {
  attempt_entry& entry = entries_[index];
  (entry.previous == no_index ? list.head : entries_[entry.previous].next) = entry.next;
  (entry.next == no_index ? list.tail : entries_[entry.next].previous) = entry.previous;
  entry.previous = no_index;
  entry.next = no_index;
  --list.size;
}

void attempt_pool::sift_up(std::uint32_t position) {
  const pool_index moved = heap_[position];
  while (position > 0) {
    const std::uint32_t parent = (position - 1) / 2;
    if (!expires_before(moved, heap_[parent])) break;
    set_heap_entry(position, heap_[parent]);
    position = parent;
  }
  set_heap_entry(position, moved);
}

void attempt_pool::sift_down(std::uint32_t position) {
  const pool_index moved = heap_[position];
  const auto size = static_cast<std::uint32_t>(heap_.size());
  for (std::uint32_t child = 2 * position + 1; child < size; child = 2 * position + 1) {
    if (child + 1 < size && expires_before(heap_[child + 1], heap_[child])) ++child;
    if (!expires_before(heap_[child], moved)) break;
    set_heap_entry(position, heap_[child]);
    position = child;
  }
  set_heap_entry(position, moved);
}

void attempt_pool::set_heap_entry(std::uint32_t position, pool_index index) {
  heap_[position] = index;
  entries_[index].heap_position = position;
}

bool attempt_pool::expires_before(pool_index left, pool_index right) const {
  return entries_[left].expires_at < entries_[right].expires_at;
}

}  // namespace masticshunt::requests
