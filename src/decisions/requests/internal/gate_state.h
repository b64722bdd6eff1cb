/// @file
/// The state of a gate and the operations that its events consist of.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decisions/requests/internal/attempt_pool.h"
#include "decisions/requests/internal/caller_table.h"
#include "decisions/requests/internal/key_table.h"
#include "decisions/requests/internal/rank_shares.h"
#include "decisions/requests/internal/service_estimate.h"
#include "masticshunt/decisions/requests/gate.h"

namespace masticshunt::requests {

/// The queue and the running attempts of one rank.
struct rank_queue {
  caller_ring callers;
  attempt_list running;                     ///< In order of start.
  pool_index first_not_overdue = no_index;  ///< The first running attempt that is not overdue yet.
  service_estimate service;
  std::uint32_t parked = 0;
  time_point backlog_since;  ///< Start of the backlog; valid while any attempt waits.
};

/// The gate's tables and the operations on them.
struct gate::state {
  /// `held` is the number of attempts that `adopt` will add.
  explicit state(gate_settings given, std::size_t held = 0);

  void offer(const request_descriptor& request, time_point now, gate_actions& actions);
  void finish(pool_index index, attempt_result result, time_point now);
  void remove_waiting(pool_index index);
  void advance(time_point now);
  void expire(time_point now, gate_actions& actions);
  void dispatch(time_point now, gate_actions& actions);
  /// Takes over the attempts and estimates of `other`, matching ranks by name.
  void adopt(const state& other, time_point now);

  [[nodiscard]] std::uint32_t waiting(std::size_t rank) const;
  [[nodiscard]] duration longest_usual_service() const;
  [[nodiscard]] duration retry_after(std::size_t rank) const;

  gate_settings settings;
  attempt_pool attempts;
  caller_table callers;
  key_table keys;
  rank_shares shares;
  std::vector<rank_queue> ranks;
  concurrency_limit limit;
  gate_counts counts;
  std::uint32_t running = 0;
  std::uint32_t overdue = 0;  ///< Running attempts that take much longer than usual.
  std::uint32_t rank_capacity;

 private:
  [[nodiscard]] bool can_meet_deadline(const attempt_entry& entry, time_point now) const;
  [[nodiscard]] bool has_lasting_backlog(std::size_t rank, time_point now) const;
  [[nodiscard]] bool make_room(const attempt_entry& entry, time_point now, gate_actions& actions);
  [[nodiscard]] std::uint32_t allowance(const key_node& key) const;
  [[nodiscard]] bool stalled_keys_at_limit() const;
  [[nodiscard]] duration overdue_after(std::size_t rank) const;
  [[nodiscard]] time_point wait_deadline(const attempt_entry& entry) const;
  [[nodiscard]] std::optional<pool_index> take_next(std::size_t rank, time_point now,
                                                    gate_actions& actions);
  [[nodiscard]] pool_index next_in_turn(std::size_t rank, time_point now) const;
  [[nodiscard]] bool waited_too_long(const attempt_entry& entry, time_point now) const;

  void refuse(attempt_id attempt, std::size_t rank, refusal_reason reason, gate_actions& actions);
  void refuse_waiting(pool_index index, refusal_reason reason, gate_actions& actions);
  void enqueue(pool_index index, time_point now);
  void dequeue(pool_index index);
  void park(pool_index index);
  void unpark(pool_index key_index);
  void start(pool_index index, time_point now, gate_actions& actions);
  void insert_running(pool_index index);
  void mark_overdue(time_point now);
  /// Updates the estimates from the end of an attempt. While some, but fewer than half, of the
  /// running attempts are overdue, the limit gets no sample: stalled attempts hold slots but do not
  /// indicate how many slots there are.
  void observe_end(const attempt_entry& entry, attempt_result result, time_point now);
};

}  // namespace masticshunt::requests
