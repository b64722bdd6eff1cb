/// @file
/// Admission at the gate beside an upstream: ranks with floors, fair between callers, bounded by
/// time, with a concurrency limit that follows what is observed.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "masticshunt/decisions/requests/concurrency_limit.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// What the gate knows of a rank.
struct rank_policy {
  std::string name;
  double floor = 0;  ///< Share of the concurrency kept for it.
  double worth = 1;
  duration target = std::chrono::seconds{1};

  bool operator==(const rank_policy&) const = default;
};

/// Which waiting attempt of a caller goes first once its rank has a lasting backlog.
enum class queue_discipline {
  oldest_first,
  controlled_delay,  ///< Oldest first; refuses those that waited past the delay bound.
  newest_first
};

/// Parts of the gate that a test switches off to prove that its checks find the fault.
struct gate_faults {
  bool ignore_floors = false;
  bool ignore_key_bound = false;
  bool ignore_deadlines = false;
  bool ignore_queue_bound = false;

  bool operator==(const gate_faults&) const = default;
};

/// Settings of a gate.
struct gate_settings {
  std::vector<rank_policy> ranks;  ///< By order of urgency.
  std::uint32_t slots = 1;         ///< The upstream's declared slots; the limit starts from here.
  std::uint32_t queue_capacity = 4096;  ///< Requests waiting at the most.
  queue_discipline discipline = queue_discipline::newest_first;
  limit_algorithm algorithm = limit_algorithm::gradient;
  double key_share = 0.5;      ///< Share of the concurrency that one key may hold.
  double stalled_share = 0.1;  ///< Share at which known stalled keys get no slot.
  double stalled_after = 8;    ///< Multiple of the usual service time that makes a key stalled.
  duration backlog_after = std::chrono::milliseconds{100};  ///< A backlog this old is lasting.
  gate_faults faults;

  bool operator==(const gate_settings&) const = default;
};

/// Counts of a gate, and of its broken promises (which must stay zero).
struct gate_counts {
  std::uint64_t offered = 0;
  std::uint64_t started = 0;
  std::uint64_t refused_overloaded = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t floor_broken = 0;        ///< A rank below its floor was passed over too often.
  std::uint64_t queue_bound_broken = 0;  ///< More attempts waited than the capacity.
  std::uint64_t started_late = 0;        ///< An attempt started after its deadline.
  std::uint64_t key_bound_broken = 0;    ///< A stalled key got another slot.
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
/// Give up a running attempt: its deadline has passed or its caller left.
struct cancel_attempt {
  attempt_id attempt = 0;
};
using gate_action = std::variant<start_attempt, refuse_attempt, cancel_attempt>;
using gate_actions = std::vector<gate_action>;
/// @}

/// Admission for one upstream.
///
/// Ranks share the upstream's concurrency: a rank below its floor goes first, then the most urgent.
/// Within a rank, callers take turns. A key whose attempts run much longer than usual holds one
/// slot until it recovers, and its waiting attempts stand aside. An attempt is refused as soon as
/// it cannot meet its deadline by the service times seen.
///
/// Life cycle: `offer` every attempt; carry out the actions; report `finished` once for every
/// started attempt; call `tick` at least every 10 ms while anything waits or runs.
/// Thread safety: none; the shell holds the gate's lock.
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

  /// Offers an attempt. It is started, kept waiting, or refused. Appends to `actions`.
  void offer(const request_descriptor& request, time_point now, gate_actions& actions);

  /// Reports that a started attempt ended; others may start. Appends to `actions`.
  void finished(attempt_id attempt, attempt_result result, time_point now, gate_actions& actions);

  /// Reports that the caller of a waiting or running attempt has left. A waiting attempt is
  /// forgotten without an action; a running one is cancelled. Appends to `actions`.
  void abandoned(attempt_id attempt, time_point now, gate_actions& actions);

  /// Lets time act: refuses what can no longer meet its deadline. Appends to `actions`.
  void tick(time_point now, gate_actions& actions);

  /// Returns the actions of `offer`.
  gate_actions offer(const request_descriptor& request, time_point now);
  /// Returns the actions of `finished`.
  gate_actions finished(attempt_id attempt, attempt_result result, time_point now);
  /// Returns the actions of `abandoned`.
  gate_actions abandoned(attempt_id attempt, time_point now);
  /// Returns the actions of `tick`.
  gate_actions tick(time_point now);

  /// Takes new ranks or slots into force for attempts from now on. What was learned stays: service
  /// times always, the concurrency limit while the slots and the ranks' names are the same. Does
  /// nothing if the settings are those in force.
  void reconfigure(gate_settings settings, time_point now);

  /// Returns the attempts running now.
  [[nodiscard]] std::size_t running() const;
  /// Returns the attempts waiting now.
  [[nodiscard]] std::size_t waiting() const;
  /// Returns the attempts of one rank waiting now.
  [[nodiscard]] std::size_t waiting(std::uint32_t rank) const;
  /// Returns the concurrency limit in force.
  [[nodiscard]] double limit() const;
  /// Returns the counts so far.
  [[nodiscard]] const gate_counts& counts() const;
  /// Returns the state as a JSON text.
  [[nodiscard]] std::string dump(time_point now) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::requests
