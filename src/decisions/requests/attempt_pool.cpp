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
  const pool_index place = free_.back();
  free_.pop_back();
  entries_[place] = entry;
  by_attempt_.insert(entry.attempt, place);
  heap_.push_back(place);
  place_in_heap(static_cast<std::uint32_t>(heap_.size() - 1), place);
  sift_up(entries_[place].heap_position);
  return place;
}

void attempt_pool::release(pool_index place) {
  const std::uint32_t position = entries_[place].heap_position;
  const pool_index last = heap_.back();
  heap_.pop_back();
  if (last != place) {
    place_in_heap(position, last);
    sift_up(position);
    sift_down(entries_[last].heap_position);
  }
  by_attempt_.erase(entries_[place].attempt);
  free_.push_back(place);
}

void attempt_pool::set_expiry(pool_index place, time_point expires_at) {
  entries_[place].expires_at = expires_at;
  sift_up(entries_[place].heap_position);
  sift_down(entries_[place].heap_position);
}

void attempt_pool::push_back(attempt_list& list, pool_index place) {
  attempt_entry& entry = entries_[place];
  entry.previous = list.tail;
  entry.next = no_index;
  (list.tail == no_index ? list.head : entries_[list.tail].next) = place;
  list.tail = place;
  ++list.size;
}

void attempt_pool::push_front(attempt_list& list, pool_index place) {
  attempt_entry& entry = entries_[place];
  entry.previous = no_index;
  entry.next = list.head;
  (list.head == no_index ? list.tail : entries_[list.head].previous) = place;
  list.head = place;
  ++list.size;
}

void attempt_pool::unlink(attempt_list& list, pool_index place) {
  attempt_entry& entry = entries_[place];
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
    place_in_heap(position, heap_[parent]);
    position = parent;
  }
  place_in_heap(position, moved);
}

void attempt_pool::sift_down(std::uint32_t position) {
  const pool_index moved = heap_[position];
  const auto size = static_cast<std::uint32_t>(heap_.size());
  for (std::uint32_t child = 2 * position + 1; child < size; child = 2 * position + 1) {
    if (child + 1 < size && expires_before(heap_[child + 1], heap_[child])) ++child;
    if (!expires_before(heap_[child], moved)) break;
    place_in_heap(position, heap_[child]);
    position = child;
  }
  place_in_heap(position, moved);
}

void attempt_pool::place_in_heap(std::uint32_t position, pool_index place) {
  heap_[position] = place;
  entries_[place].heap_position = position;
}

bool attempt_pool::expires_before(pool_index left, pool_index right) const {
  return entries_[left].expires_at < entries_[right].expires_at;
}

}  // namespace masticshunt::requests
