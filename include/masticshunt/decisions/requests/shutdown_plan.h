/// @file
/// What a stopping agent still takes.
#pragma once

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Settings of a shutdown.
struct shutdown_settings {
  duration grace = std::chrono::seconds{6};          ///< The process is killed after it.
  duration margin = std::chrono::milliseconds{400};  ///< The agent ends this long before that.
  /// How much later than its deadline a request may get its final answer.
  duration answer_slack = std::chrono::milliseconds{100};
  /// Callers may not know yet that the agent stops, so it serves them as usual.
  duration callers_leave_within = std::chrono::milliseconds{2'600};
  /// Peers learn from the first refusal, so the gate closes earlier.
  duration gate_closes_after = std::chrono::milliseconds{2'450};
};

/// Decides what an agent takes after it was told to stop, so that nothing that it passed on is cut.
///
/// Callers may use open connections until the process has ended. Once they have had time to leave,
/// a request is taken only if it must end before the agent does; others are refused at once, as
/// they have not run. Thread safety: none.
class shutdown_plan {
 public:
  shutdown_plan(shutdown_settings settings, time_point began)
      : settings_(settings), began_(began) {}

  /// Returns true if a caller's request that ends by `deadline` is taken at `now`.
  [[nodiscard]] bool takes_request(time_point now, time_point deadline) const {
    return accepts_connections(now) || deadline + settings_.answer_slack <= ends_at();
  }
  /// Returns true while new connections of callers are accepted.
  [[nodiscard]] bool accepts_connections(time_point now) const {
    return now - began_ < settings_.callers_leave_within;
  }
  /// Returns true while the gate takes new requests.
  [[nodiscard]] bool gate_is_open(time_point now) const {
    return now - began_ < settings_.gate_closes_after;
  }
  /// Returns when the agent ends even if requests are in flight.
  [[nodiscard]] time_point ends_at() const { return began_ + settings_.grace - settings_.margin; }
  /// Returns true if the agent ends at `now`. `idle`: no request is in flight.
  [[nodiscard]] bool ends(time_point now, bool idle) const {
    return now >= ends_at() || (idle && !accepts_connections(now));
  }

 private:
  shutdown_settings settings_;
  time_point began_;
};

}  // namespace masticshunt::requests
