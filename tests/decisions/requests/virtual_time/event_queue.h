/// @file
/// A queue of events in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::testing {

/// Orders events by time; events with equal times keep their insertion order.
template <class Event>
class event_queue {
 public:
  /// Adds an event at `when`.
  void add(time_point when, Event event) { heap_.push({when, ++sequence_, event}); }
  /// Returns true if the queue has no event.
  [[nodiscard]] bool empty() const { return heap_.empty(); }
  /// Returns the time of the next event.
  [[nodiscard]] time_point next_time() const { return heap_.top().when; }
  /// Removes and returns the next event.
  Event take() {
    const Event event = heap_.top().event;
    heap_.pop();
    return event;
  }

 private:
  struct item {
    time_point when;
    std::uint64_t sequence = 0;
    Event event;

    bool operator>(const item& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };

  std::priority_queue<item, std::vector<item>, std::greater<>> heap_;
  std::uint64_t sequence_ = 0;
};

}  // namespace masticshunt::testing
