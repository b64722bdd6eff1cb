/// @file
/// The rate of requests that an upstream gets while it is cold.
#pragma once

#include <cstddef>
#include <optional>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/token_bucket.h"

namespace masticshunt::requests {

/// Settings of a slow start.
struct slow_start_settings {
  /// Requests that were not sent may be sent later at once, up to what the rate allows in this
  /// time.
  duration burst = std::chrono::milliseconds{250};
  /// While it is unknown whether the upstream is cold, a heartbeat that says "warm" counts only if
  /// it arrives this much later: it may have been sent before.
  duration heartbeat_delay = std::chrono::seconds{1};
  /// Longest time for which one statement makes an upstream cold.
  duration cold_max = std::chrono::minutes{5};
};

/// Keeps a cold upstream within the rate of requests that it takes.
///
/// It is cold for as long as it last said, and while nothing tells whether it is: at first, and
/// after `state_unknown`. A warm upstream, and one of a service without such a rate, takes any
/// number. Life cycle: one per gate. Thread safety: none.
class slow_start {
 public:
  explicit slow_start(slow_start_settings settings = {}) : settings_(settings) {}

  /// Sets the requests a second that a cold upstream takes; nothing if that is not limited.
  void set_rate(std::optional<double> per_second, time_point now);
  /// The upstream may have turned cold: it could not be reached, or got no requests for long.
  void state_unknown(time_point now);
  /// A heartbeat that arrived now said for how long the upstream stays cold.
  void heartbeat_received(duration cold_for, time_point now);
  /// A health answer that was asked for at `asked` said for how long the upstream stays cold.
  void health_answered(duration cold_for, time_point asked, time_point now);
  /// Records that a request starts.
  void started(time_point now);

  /// Returns true if the upstream counts as cold.
  [[nodiscard]] bool cold(time_point now) const;
  /// Returns true if a health answer is needed to tell whether the upstream is cold.
  [[nodiscard]] bool needs_answer() const { return rate_ && unknown_since_; }
  /// Returns the requests a second that the upstream takes at present, or nothing if any number.
  [[nodiscard]] std::optional<double> rate(time_point now) const;
  /// Returns how long a request must wait that has `ahead` requests before it.
  [[nodiscard]] duration wait(std::size_t ahead, time_point now) const;

 private:
  void state_known(duration cold_for, time_point now);
  void begin(time_point now);

  slow_start_settings settings_;
  std::optional<double> rate_;
  std::optional<time_point> unknown_since_ = time_point{};
  time_point cold_until_{};
  std::optional<token_bucket> bucket_;  ///< Empty while the upstream is warm.
};

}  // namespace masticshunt::requests
