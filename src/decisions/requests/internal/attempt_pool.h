/// @file
/// A fixed-size pool of the attempts at a gate, with intrusive lists and a heap ordered by expiry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/requests/internal/fixed_index.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// The stage of an attempt at the gate.
enum class attempt_stage : std::uint8_t {
  queued,  ///< In its caller's queue.
  parked,  ///< Waiting until its key may use another slot.
  running
};

/// An attempt that waits or runs.
struct attempt_entry {
  attempt_id attempt = 0;
  std::uint64_t caller = 0;  ///< Hash of the caller's name and the rank.
  key_hash key = 0;
  time_point offered_at{};
  time_point started_at{};
  time_point deadline{};
  time_point expires_at{};  ///< When it is refused or cancelled in its current stage.
  pool_index key_node = no_index;
  pool_index previous = no_index;
  pool_index next = no_index;
  std::uint32_t heap_position = 0;
  std::uint32_t rank = 0;
  attempt_stage stage = attempt_stage::queued;
  bool overdue = false;    ///< Runs much longer than is usual for its rank.
  bool cancelled = false;  ///< Cancellation was requested; its end is not reported yet.
};

/// An intrusive list of attempts; an entry is in at most one list at a time.
struct attempt_list {
  pool_index head = no_index;
  pool_index tail = no_index;
  std::uint32_t size = 0;
};

/// Owns the attempts of a gate and finds them by id and by expiry.
///
/// The capacity is fixed. `add` requires that `full()` is false. No operation allocates.
/// Thread safety: none.
class attempt_pool {
 public:
  explicit attempt_pool(std::size_t capacity);

  /// Returns true if no further attempt can be added.
  [[nodiscard]] bool full() const { return free_.empty(); }
  /// Returns the number of attempts in the pool.
  [[nodiscard]] std::size_t size() const { return heap_.size(); }
  /// Returns the index of an attempt, or `no_index`.
  [[nodiscard]] pool_index find(attempt_id attempt) const { return by_attempt_.find(attempt); }
  /// Returns the entry at an index.
  [[nodiscard]] attempt_entry& at(pool_index index) { return entries_[index]; }
  [[nodiscard]] const attempt_entry& at(pool_index index) const { return entries_[index]; }

  /// Adds an attempt and returns its index.
  pool_index add(const attempt_entry& entry);
  /// Removes an attempt, which must not be in a list.
  void release(pool_index index);
  /// Changes the expiry time of an attempt.
  void set_expiry(pool_index index, time_point expires_at);
  /// Returns the index of the attempt that expires first, or `no_index`.
  [[nodiscard]] pool_index first_to_expire() const { return heap_.empty() ? no_index : heap_[0]; }

  /// Calls `visit` for every attempt in the pool.
  template <class Visitor>
  void for_each(Visitor visit) const {
    for (const pool_index index : heap_) visit(entries_[index]);
  }

  /// Appends an attempt to a list.
  void push_back(attempt_list& list, pool_index index);
  /// Prepends an attempt to a list.
  void push_front(attempt_list& list, pool_index index);
  /// Removes an attempt from its list.
  void unlink(attempt_list& list, pool_index index);

 private:
  void sift_up(std::uint32_t position);
  void sift_down(std::uint32_t position);
  void set_heap_entry(std::uint32_t position, pool_index index);
  [[nodiscard]] bool expires_before(pool_index left, pool_index right) const;

  std::vector<attempt_entry> entries_;
  std::vector<pool_index> free_;
  std::vector<pool_index> heap_;
  fixed_index by_attempt_;
};

}  // namespace masticshunt::requests
