/// @file
/// When an agent asks the store whether its desired state is still the newest.
#pragma once

#include <cstddef>
#include <optional>

#include "masticshunt/base/time.h"

namespace masticshunt::routing {

struct confirmation_settings {
  /// In which a new desired state must be in force.
  duration bound = std::chrono::seconds{2};
  /// How often all agents together ask within the bound.
  double questions_per_bound = 6;
  /// How much later than a peer the watch may bring a version.
  duration watch_delay = std::chrono::milliseconds{400};
};

/// Bounds how long a watch that has died unnoticed can hide a newer desired state.
///
/// A dead watch looks like one with nothing to report. So each agent also asks the store, at random
/// times: all agents together `questions_per_bound` times, whatever their number, since an agent
/// that learns of a newer version tells the others. It asks as well when a peer had a newer version
/// and the watch does not bring it. Thread safety: none.
class state_confirmation {
 public:
  explicit state_confirmation(confirmation_settings settings) : settings_(settings) {}

  /// Records that a peer stated a version newer than any that the watch has brought.
  void version_learned_from_peer(time_point now);
  /// Records an answer of the store: the watch works, or was replaced.
  void store_answered() { watch_expected_by_.reset(); }
  /// Returns true if the store should be asked now, and plans the next time. `agents` is the number
  /// of agents in the fleet; the random number `draw`, in [0, 1), spreads their questions.
  [[nodiscard]] bool due(time_point now, std::size_t agents, double draw);

 private:
  confirmation_settings settings_;
  std::optional<time_point> next_;
  std::optional<time_point> watch_expected_by_;
};

}  // namespace masticshunt::routing
