/// @file
/// The admission controller in front of one upstream: ranks with guaranteed shares, fairness
/// between callers, bounded waiting times and an adaptive concurrency limit.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "masticshunt/decisions/requests/concurrency_limit.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// The configuration of one rank.
struct rank_policy {
  std::string name;
  double floor = 0;  ///< Share of the concurrency reserved for the rank.
  double worth = 1;
  duration target = std::chrono::seconds{1};

  bool operator==(const rank_policy&) const = default;
};

/// Which waiting attempt of a caller goes first once its rank has a lasting backlog.
enum class queue_discipline {
  oldest_first,
  controlled_delay,  ///< Oldest first; refuses attempts that waited past the delay bound.
  newest_first
};

/// Fault injection: rules that a test switches off to prove that its checks detect it.
struct gate_faults {
  bool ignore_floors = false;
  bool ignore_key_bound = false;
  bool ignore_deadlines = false;
  bool ignore_queue_bound = false;

  bool operator==(const gate_faults&) const = default;
};

/// Settings of a gate.
struct gate_settings {
  std::vector<rank_policy> ranks;       ///< Most urgent first.
  std::uint32_t slots = 1;              ///< The upstream's declared slots: the initial limit.
  std::uint32_t queue_capacity = 4096;  ///< Maximum number of waiting attempts.
  queue_discipline discipline = queue_discipline::newest_first;
  limit_algorithm algorithm = limit_algorithm::gradient;
  double key_share = 0.5;  ///< Share of the concurrency that one key may hold.
  /// Once overdue attempts hold this share of the concurrency, known stalled keys get no slot.
  double stalled_share = 0.1;
  double stalled_after = 8;  ///< Multiple of the median service time after which a key is stalled.
  duration backlog_after = std::chrono::milliseconds{100};  ///< An older backlog is lasting.
  gate_faults faults;

  bool operator==(const gate_settings&) const = default;
};

/// Counters of a gate. The last four count invariant violations and must stay zero.
struct gate_counts {
  std::uint64_t offered = 0;
  std::uint64_t started = 0;
  std::uint64_t refused_overloaded = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t floor_broken = 0;        ///< A rank below its floor was passed over too often.
  std::uint64_t queue_bound_broken = 0;  ///< More attempts waited than the capacity allows.
  std::uint64_t started_late = 0;        ///< An attempt started after its deadline.
  std::uint64_t key_bound_broken = 0;    ///< A stalled key received another slot.
};

/// @name Actions of the gate.
/// @{

/// Start the attempt now.
struct start_attempt {
  attempt_id attempt = 0;
};
/// Refuse the attempt as not run.
struct refuse_attempt {
  attempt_id attempt = 0;
  refusal_reason reason = refusal_reason::overloaded;
  duration retry_after{};
};
/// Cancel a running attempt: its deadline has passed or its caller disconnected.
struct cancel_attempt {
  attempt_id attempt = 0;
};
using gate_action = std::variant<start_attempt, refuse_attempt, cancel_attempt>;
using gate_actions = std::vector<gate_action>;
/// @}

/// The admission controller for one upstream.
///
/// Ranks share the upstream's concurrency: a rank below its floor goes first, then the most urgent
/// one. Within a rank, callers are served round robin. A key whose attempts run much longer than
/// usual is limited to one slot until it recovers, and its waiting attempts are parked. An attempt
/// is refused as soon as the observed service times show that it cannot meet its deadline.
///
/// Usage: call `offer` for every attempt, carry out the returned actions, call `finished` once for
/// every started attempt, and `tick` at least every 10 ms while any attempt waits or runs.
/// Thread safety: none; the calling agent holds the gate's lock.
///
///     gate_actions actions;
///     gate.offer(request, now, actions);
///     carry_out(actions);
class gate {
 public:
  explicit gate(gate_settings settings);
  ~gate();
  gate(gate&&) noexcept;
  gate& operator=(gate&&) noexcept;
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  /// Offers an attempt: it is started, queued, or refused. Appends to `actions`.
  void offer(const request_descriptor& request, time_point now, gate_actions& actions);

  /// Reports that a started attempt ended; others may start. Appends to `actions`.
  void finished(attempt_id attempt, attempt_result result, time_point now, gate_actions& actions);

  /// Reports that the caller of a waiting or running attempt disconnected. A waiting attempt is
  /// removed without an action; a running one is cancelled. Appends to `actions`.
  void abandoned(attempt_id attempt, time_point now, gate_actions& actions);

  /// Runs the work that is due at `now`: refuses waiting attempts that can no longer meet their
  /// deadline or waited too long, cancels running ones at their deadline, and starts others.
  /// Appends to `actions`.
  void tick(time_point now, gate_actions& actions);

  /// Returns the actions of `offer`.
  gate_actions offer(const request_descriptor& request, time_point now);
  /// Returns the actions of `finished`.
  gate_actions finished(attempt_id attempt, attempt_result result, time_point now);
  /// Returns the actions of `abandoned`.
  gate_actions abandoned(attempt_id attempt, time_point now);
  /// Returns the actions of `tick`.
  gate_actions tick(time_point now);

  /// Applies new settings from now on. The attempts at the gate stay. Service time estimates are
  /// kept by rank name; the concurrency limit is kept while the slots, the ranks' names and the
  /// algorithm are unchanged. Does nothing if the settings are equal to the current ones.
  void reconfigure(gate_settings settings, time_point now);

  /// Returns the number of running attempts.
  [[nodiscard]] std::size_t running() const;
  /// Returns the number of waiting attempts.
  [[nodiscard]] std::size_t waiting() const;
  /// Returns the number of waiting attempts of one rank.
  [[nodiscard]] std::size_t waiting(std::uint32_t rank) const;
  /// Returns the current concurrency limit.
  [[nodiscard]] double limit() const;
  [[nodiscard]] const gate_counts& counts() const;
  /// Returns the state as a JSON document.
  [[nodiscard]] std::string dump(time_point now) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::requests
