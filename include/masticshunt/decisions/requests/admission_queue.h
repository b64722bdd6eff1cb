/// @file
/// Which waiting request starts next at an upstream, and which is better refused at once.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Names one waiting or running request.
using admission_id = std::uint64_t;

/// A request as the queue sees it.
struct admission_request {
  admission_id id = 0;
  std::uint32_t rank = 0;  ///< 0 is the most urgent.
  duration target{};       ///< Latency that has the full worth; also tells kinds of one rank apart.
  time_point target_time;  ///< An answer after this has less worth.
  time_point deadline;     ///< An answer after this has none.
};

/// What the queue decided.
struct admission_action {
  enum class kind { start, refuse };
  kind what = kind::start;
  admission_id id = 0;
  duration retry_after{};  ///< Of a refusal.
};
using admission_actions = std::vector<admission_action>;

/// Settings of a queue.
struct admission_settings {
  std::uint32_t slots = 1;
  double floor = 0.05;  ///< Of the starts, for each rank that waits behind more urgent ones.
  duration backlog_after = std::chrono::milliseconds{60};  ///< Then the newest goes first.
  double waiting_per_slot = 1.5;  ///< Of one rank; beyond it the oldest is refused.
  duration saturation_window = std::chrono::milliseconds{250};
  double saturation_threshold = 0.6;  ///< Share of the window in which requests waited.
  double headroom = 1.1;              ///< The usual service time is multiplied by it.
};

/// Counts of a queue.
struct admission_counts {
  std::uint64_t started = 0;
  std::uint64_t refused_deadline = 0;  ///< They could not be answered before their deadline.
  std::uint64_t refused_late = 0;      ///< They would have missed their target while others waited.
  std::uint64_t refused_full = 0;
  std::uint64_t started_late = 0;  ///< Broken promise: started after the deadline.
};

/// Admits requests to an upstream's slots.
///
/// Requests that can still meet their target go first, by rank; within a rank the kind with the
/// shortest service time, and under a lasting backlog the newest, so that what is started has
/// time. The others use what is left over. While the upstream is saturated they are refused as soon
/// as they miss their target, so that the caller hears soon.
/// Life cycle: `offer` each request, report `finished` once for each started one, `tick` every few
/// ten milliseconds while any waits. Thread safety: none.
class admission_queue {
 public:
  explicit admission_queue(admission_settings settings) : settings_(settings) {}

  /// Offers a request: it is started, kept, or refused.
  void offer(const admission_request& request, time_point now, admission_actions& out);
  /// A started request ended after `took`; `served` if its time tells of the service time.
  void finished(admission_id id, bool served, time_point now, admission_actions& out);
  /// Nobody waits for `id` any more. Returns false if it was not waiting.
  bool abandoned(admission_id id);
  /// Lets time act.
  void tick(time_point now, admission_actions& out);
  /// Takes another number of slots into force.
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
  void enforce_rank_limit(std::uint32_t rank, admission_actions& out);
  void start_free(time_point now, admission_actions& out);
  void refuse(waiting_iterator candidate, std::uint64_t& counter, admission_actions& out);

  admission_settings settings_;
  std::list<waiting_request> waiting_;  ///< In the order of arrival.
  std::map<admission_id, running_request> running_;
  std::map<kind_key, duration> service_times_;
  std::map<std::uint32_t, double> owed_;  ///< Starts owed to ranks that were passed over.
  double waiting_share_ = 0;
  bool had_waiting_ = false;  ///< Something waited since `last_observed_`.
  time_point last_observed_{};
  admission_counts counts_;
};

}  // namespace masticshunt::requests
