#include "masticshunt/decisions/routing/state_confirmation.h"

#include <algorithm>

namespace masticshunt::routing {

void state_confirmation::version_learned_from_peer(time_point now) {
  if (!watch_expected_by_) watch_expected_by_ = now + settings_.watch_delay;
}

bool state_confirmation::due(time_point now, std::size_t agents, double draw) {
  const bool watch_is_late = watch_expected_by_ && now >= *watch_expected_by_;
  const bool is_due = watch_is_late || (next_ && now >= *next_);
  if (watch_is_late) watch_expected_by_.reset();
  if (is_due || !next_) {
    constexpr double shortest = 0.5;  // of the mean interval; the longest is 1.5 of it
    const double share = static_cast<double>(std::max<std::size_t>(agents, 1)) * (shortest + draw);
    next_ = now + std::chrono::duration_cast<duration>(settings_.bound * share /
                                                       settings_.questions_per_bound);
  }
  return is_due;
}

}  // namespace masticshunt::routing
