/// @file
/// Admission at the gate beside an upstream: ranks with floors, fair between callers, bounded by
/// time, with a concurrency limit that follows what is observed.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// What the gate knows of a rank.
struct rank_policy {
  std::string name;
  double floor = 0;  ///< Share of the concurrency kept for it.
  double worth = 1;
  duration target = std::chrono::seconds{1};
};

/// Settings of a gate.
struct gate_settings {
  std::vector<rank_policy> ranks;  ///< By order of urgency.
  std::uint32_t slots = 1;         ///< The upstream's declared slots; the limit starts from here.
  std::uint32_t queue_capacity = 4096;  ///< Requests waiting at the most.
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

/// How an attempt ended at the upstream.
enum class attempt_result { answered, shed, error, timed_out, cancelled };

/// Admission for one upstream.
///
/// Life cycle: `offer` every attempt; carry out the actions; report `finished` once for every
/// started attempt; call `tick` at least every 10 ms while anything waits.
/// Thread safety: none; the shell holds the gate's lock.
class gate {
 public:
  explicit gate(gate_settings settings);
  ~gate();
  gate(gate&&) noexcept;
  gate& operator=(gate&&) noexcept;
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  /// Offers an attempt. It is started, kept waiting, or refused.
  gate_actions offer(const request_descriptor& request, time_point now);

  /// Reports that a started attempt ended; others may start.
  gate_actions finished(attempt_id attempt, attempt_result result, time_point now);

  /// Reports that the caller of a waiting or running attempt has left.
  gate_actions abandoned(attempt_id attempt, time_point now);

  /// Lets time act: refuses what can no longer meet its deadline.
  gate_actions tick(time_point now);

  /// Takes new ranks or slots into force for attempts from now on.
  void reconfigure(gate_settings settings, time_point now);

  /// Returns the attempts running now.
  [[nodiscard]] std::size_t running() const;
  /// Returns the attempts waiting now.
  [[nodiscard]] std::size_t waiting() const;
  /// Returns the state as a JSON text.
  [[nodiscard]] std::string dump(time_point now) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::requests
