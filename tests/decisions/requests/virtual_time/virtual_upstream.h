/// @file
/// A fake upstream in virtual time with slots and an internal queue.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::testing {

/// An attempt that the upstream started, and its completion time.
struct upstream_start {
  requests::attempt_id attempt = 0;
  time_point done_at{};
};

/// Runs as many attempts concurrently as it has slots, and queues others up to its connections.
class virtual_upstream {
 public:
  virtual_upstream(std::uint32_t slots, std::uint32_t connections)
      : slots_(slots), connections_(connections) {}

  /// Accepts an attempt. Returns false if it is shed because every connection is in use.
  bool submit(requests::attempt_id attempt, duration service) {
    if (running_.size() + queue_.size() >= connections_) return false;
    queue_.push_back({attempt, service});
    return true;
  }

  /// Starts the next queued attempt if a slot is free.
  std::optional<upstream_start> start_next(time_point now) {
    if (queue_.empty() || running_.size() >= slots_) return std::nullopt;
    const queued next = queue_.front();
    queue_.pop_front();
    const time_point done_at =
        next.service == duration::max() ? time_point::max() : now + next.service;
    running_.emplace(next.attempt, done_at);
    return upstream_start{next.attempt, done_at};
  }

  /// Completes an attempt. Returns false if it was cancelled before.
  bool finish(requests::attempt_id attempt) { return running_.erase(attempt) > 0; }

  /// Cancels a running or queued attempt.
  void cancel(requests::attempt_id attempt) {
    if (running_.erase(attempt) > 0) return;
    std::erase_if(queue_, [&](const queued& each) { return each.attempt == attempt; });
  }

  /// Returns the number of running and queued attempts.
  [[nodiscard]] std::size_t held() const { return running_.size() + queue_.size(); }

 private:
  struct queued {
    requests::attempt_id attempt = 0;
    duration service{};
  };

  std::uint32_t slots_;
  std::uint32_t connections_;
  std::unordered_map<requests::attempt_id, time_point> running_;
  std::deque<queued> queue_;
};

}  // namespace masticshunt::testing
