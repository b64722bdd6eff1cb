/// @file
/// A priority queue of requests for the slots of an upstream, with early refusal under overload.
#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/rate_limit.h"
#include "masticshunt/decisions/requests/slow_start.h"

namespace masticshunt::requests {

/// Identifies one waiting or running request.
using admission_id = std::uint64_t;

/// The properties of a request that decide its order in the queue.
struct admission_request {
  admission_id id = 0;
  std::uint32_t rank = 0;  ///< 0 is the most urgent.
  duration target{};       ///< Latency objective; also distinguishes the kinds of one rank.
  time_point target_time;  ///< An answer after this misses the latency objective.
  time_point deadline;     ///< An answer after this is worthless.
};

/// A decision of the queue about one request.
struct admission_action {
  enum class kind { start, refuse };
  kind decision = kind::start;
  admission_id id = 0;
  duration retry_after{};  ///< Only set for a refusal.
};
using admission_actions = std::vector<admission_action>;

/// Settings of a queue.
struct admission_settings {
  std::uint32_t slots = 1;
  double floor = 0.05;  ///< Share of the starts for each rank that waits behind more urgent ones.
  duration backlog_after = std::chrono::milliseconds{60};  ///< Beyond it the newest goes first.
  double waiting_per_slot = 1.5;  ///< Limit for each rank; beyond it the oldest is refused.
  duration saturation_window = std::chrono::milliseconds{250};
  double saturation_threshold = 0.6;  ///< Share of the window in which requests waited.
  double headroom = 1.1;              ///< Factor on the estimated service time.
};

/// Counters of a queue.
struct admission_counts {
  std::uint64_t started = 0;
  std::uint64_t refused_deadline = 0;  ///< Could not be answered before the deadline.
  std::uint64_t refused_late = 0;      ///< Would miss the target while the queue is saturated.
  std::uint64_t refused_full = 0;
  std::uint64_t refused_limited = 0;  ///< Would start too late under the limit or slow start.
  std::uint64_t started_late = 0;     ///< Invariant violation: started after the deadline.
};

/// Admits requests to an upstream's slots.
///
/// Requests that can still meet their target go first, ordered by rank. Within a rank, the kind
/// with the shortest service time goes first; under a lasting backlog the newest request goes
/// first, so that a started request has enough time to finish. Requests that can no longer meet
/// their target use the remaining capacity. While the upstream is saturated they are refused as
/// soon as they miss their target, so that the caller receives the refusal early.
///
/// Under a limit that the upstream names, and while it is cold, requests start no faster than that
/// allows, and those that would start too late for that are refused at once, the least urgent
/// first.
///
/// Usage: call `offer` for each request, `finished` once for each started request, and `tick`
/// every few ten milliseconds while any request waits. Thread safety: none.
class admission_queue {
 public:
  explicit admission_queue(admission_settings settings) : settings_(settings) {}

  /// Offers a request: it is started, queued, or refused.
  void offer(const admission_request& request, time_point now, admission_actions& out);
  /// Reports that a started request ended. `served` is true if its duration is a valid sample of
  /// the service time.
  void finished(admission_id id, bool served, time_point now, admission_actions& out);
  /// Removes a waiting request whose caller stopped waiting. Returns false if it was not waiting.
  bool abandoned(admission_id id);
  /// Refuses the requests that became too late at `now`, and starts others in free slots.
  void tick(time_point now, admission_actions& out);
  /// An answer of the upstream named a limit in requests a second, or none.
  void limit_answered(std::optional<double> per_second, time_point now, admission_actions& out);
  /// An agent that sends requests here was told of a limit.
  void limit_learned(double per_second, time_point now) { limit_.learned(per_second, now); }
  /// Another incarnation of the upstream took over.
  void reset_limit() { limit_.reset(); }
  /// Returns the slow start of the upstream, for what is learned of its state; call
  /// `rate_changed` afterwards.
  [[nodiscard]] slow_start& start_up() { return slow_start_; }
  [[nodiscard]] const slow_start& start_up() const { return slow_start_; }
  /// Starts, or refuses, what waits at a rate that has changed.
  void rate_changed(time_point now, admission_actions& out);
  /// Returns how long after `now` the limit lets the next waiting request start, or nothing if it
  /// is not the limit that they wait for.
  [[nodiscard]] std::optional<duration> limit_wait(time_point now) const;
  /// Returns how long a request that arrives at `now` would wait for the limit alone.
  [[nodiscard]] duration expected_limit_wait(time_point now) const {
    return rate_wait(waiting_.size(), now);
  }
  /// Returns the limit that the upstream names, or nothing.
  [[nodiscard]] std::optional<double> limit() const { return limit_.limit(); }
  /// Returns the requests a second that may start, by the limit and the slow start; nothing if any
  /// number.
  [[nodiscard]] std::optional<double> rate(time_point now) const;
  /// Changes the number of slots.
  void set_slots(std::uint32_t slots) { settings_.slots = slots; }

  [[nodiscard]] std::size_t running() const { return running_.size(); }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] bool saturated() const { return waiting_share_ > settings_.saturation_threshold; }
  [[nodiscard]] const admission_counts& counts() const { return counts_; }

 private:
  using kind_key = std::pair<std::uint32_t, duration>;  ///< Rank and target.
  struct waiting_request {
    admission_request request;
    time_point since;
  };
  struct running_request {
    kind_key kind;
    time_point since;
  };
  using waiting_iterator = std::list<waiting_request>::iterator;

  [[nodiscard]] duration expected_service(const admission_request& request) const;
  [[nodiscard]] bool can_meet_target(const waiting_request& candidate, time_point now) const;
  [[nodiscard]] bool precedes(const waiting_request& left, const waiting_request& right,
                              bool newest_first) const;
  [[nodiscard]] waiting_iterator next(time_point now);
  void observe(time_point now);
  void refuse_late(time_point now, admission_actions& out);
  void refuse_beyond_limit(time_point now, admission_actions& out);
  [[nodiscard]] std::vector<waiting_iterator> waiting_in_order(time_point now);
  void enforce_rank_limit(std::uint32_t rank, admission_actions& out);
  void start_free(time_point now, admission_actions& out);
  /// Returns how long the limit and the slow start hold up a request with `ahead` before it.
  [[nodiscard]] duration rate_wait(std::size_t ahead, time_point now) const {
    return std::max(limit_.wait(ahead, now), slow_start_.wait(ahead, now));
  }
  [[nodiscard]] duration time_until_room(const admission_request& request) const;
  void refuse(waiting_iterator candidate, std::uint64_t& counter, duration retry_after,
              admission_actions& out);

  admission_settings settings_;
  rate_limit limit_;
  slow_start slow_start_;
  std::list<waiting_request> waiting_;  ///< In order of arrival.
  std::map<admission_id, running_request> running_;
  std::map<kind_key, duration> service_times_;  ///< Moving averages.
  std::map<std::uint32_t, double> owed_;  ///< Credit of the ranks that were passed over, in starts.
  double waiting_share_ = 0;              ///< Moving average over `saturation_window`.
  bool had_waiting_ = false;              ///< Requests have waited since `last_observed_`.
  time_point last_observed_{};
  admission_counts counts_;
};

}  // namespace masticshunt::requests
