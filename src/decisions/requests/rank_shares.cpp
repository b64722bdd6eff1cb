#include "decisions/requests/internal/rank_shares.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

constexpr double credit_service_times_max = 4;
constexpr double debt_service_times_max = 1;
constexpr double passed_over_per_slot_max = 2;

bool owed_whole_slot(const rank_share& share, double limit) {
  return share.eligible > 0 && share.running + 1 <= share.floor * limit;
}

}  // namespace

rank_shares::rank_shares(std::vector<double> floors) {
  std::ranges::transform(floors, std::back_inserter(ranks_),
                         [](double floor) { return rank_share{.floor = floor}; });
}

void rank_shares::advance(double limit, duration usual_service, time_point now) {
  if (now <= last_) return;
  const auto elapsed = static_cast<double>((now - last_).count());
  const auto service = static_cast<double>(usual_service.count());
  last_ = now;
  for (rank_share& share : ranks_) {
    const double due = share.floor * limit;
    if (share.eligible > 0 || share.running > due) share.credit += (due - share.running) * elapsed;
    share.credit = std::clamp(share.credit, -debt_service_times_max * service,
                              credit_service_times_max * service * std::max(due, 1.0));
    if (share.eligible == 0) share.credit = std::min(share.credit, 0.0);
  }
}

std::optional<std::size_t> rank_shares::next(double limit, bool ignore_floors) const {
  const auto can_start = [](const rank_share& share) { return share.eligible > 0; };
  const auto owed = [&](const rank_share& share) { return is_owed(share, limit); };
  const auto overdue = [&](const rank_share& share) {
    return owed_whole_slot(share, limit) && share.passed_over > limit;
  };
  auto chosen = ignore_floors ? ranks_.end() : std::ranges::find_if(ranks_, overdue);
  if (chosen == ranks_.end() && !ignore_floors) chosen = std::ranges::find_if(ranks_, owed);
  if (chosen == ranks_.end()) chosen = std::ranges::find_if(ranks_, can_start);
  if (chosen == ranks_.end()) return std::nullopt;
  return static_cast<std::size_t>(chosen - ranks_.begin());
}

bool rank_shares::started(std::size_t rank, double limit) {
  bool floors_kept = true;
  for (rank_share& share : ranks_) {
    if (owed_whole_slot(share, limit)) {
      ++share.passed_over;
    } else {
      share.passed_over = 0;
    }
    floors_kept = floors_kept && share.passed_over <= passed_over_per_slot_max * limit + 1;
  }
  ranks_[rank].passed_over = 0;
  return floors_kept;
}

bool rank_shares::is_owed(const rank_share& share, double limit) const {
  return share.eligible > 0 && (share.credit > 0 || owed_whole_slot(share, limit));
}

}  // namespace masticshunt::requests
