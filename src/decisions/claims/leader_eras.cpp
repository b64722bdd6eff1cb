/// The leader across eras of the store.
#include <algorithm>

#include "masticshunt/decisions/claims/leader.h"

namespace masticshunt::claims {

void leader::begin_era(store_era era, time_point earlier_leases_end, time_point now) {
  if (era <= era_) return;
  carried_ = carried_over(now);
  if (holds_)
    log_events_.push_back("leadership lost why=\"the store is in era " + std::to_string(era) +
                          "\" carried=" + (carried_ ? "yes" : "no"));
  era_ = era;
  era_began_ = now;
  earlier_eras_end_ = earlier_leases_end;
  holds_ = false;
  map_ = {};
  history_ = {};
  map_existence_known_ = false;
  read_in_flight_ = false;
  next_read_ = now;
  write_in_flight_ = false;
  write_outcome_unknown_ = false;
  write_conflict_ = false;
  pending_.reset();
  unconfirmed_write_since_.reset();
  unconfirmed_writes_ = 0;
  next_write_ = now;
  rejected_by_owner_ = false;
  push_to_.clear();
  owners_.clear();
  planned_moves_.clear();
  fence_since_.clear();
}

std::optional<carried_claims> leader::carried_over(time_point now) const {
  const bool led = holds_ && !resigning_ && !write_conflict_ && now < leader_until_;
  if (!led) return std::nullopt;
  // Owners may know a write without the store's answer to it. Which of several they know is open,
  // but these differ only in claims that their owners have given up.
  claim_map last = unconfirmed_writes_ == 1 ? *pending_ : map_;
  for (claim& each : last.claims)
    if (each.unsettled()) each.holder = {};
  free_claims(last, now);
  for (claim& each : last.claims) {
    each.holder.registration = 0;
    if (each.holder.agent.empty()) each = {.keys = each.keys};
  }
  time_point leases_end =
      std::max({now + timing_.record_lease, earlier_lease_end_, earlier_eras_end_});
  for (const auto& [agent, owner] : owners_) leases_end = std::max(leases_end, owner.lease_until);
  return carried_claims(std::move(last), map_.leader_incarnation, agent_,
                        leases_end + timing_.margin);
}

void leader::note_earlier_leader(const owner_report& report) {
  if (!carried_ || carried_->led_alone()) return;
  carried_->followed_by(report.holder.agent, report.earlier_leader);
  if (!carried_->led_alone()) return;
  earlier_eras_end_ = std::min(earlier_eras_end_, carried_->leases_end());
  log_events_.emplace_back("no other agent led in the era before");
}

bool leader::registered(const owner_state& owner) const {
  const store_revision registration = owner.report.holder.registration;
  return era_of(registration) == era_ && registration > owner.ended_registration && !owner.deleting;
}

void leader::take_over_earlier_ranges(claim_map& next) const {
  for (const auto& [agent, owner] : owners_) {
    const owner_report& report = owner.report;
    if (!registered(owner) || report.upstream.id.empty()) continue;
    const auto take_over = [&report](claim& claimed, std::uint64_t fence) {
      claimed.holder = report.holder;
      claimed.upstream = report.upstream;
      claimed.fence = fence;
    };
    for (const earlier_range& range : report.earlier) {
      split_at(next.claims, range.keys);
      for (claim& claimed : next.claims) {
        if (!range.keys.contains(claimed.keys) || !claimed.unsettled()) continue;
        const bool of_other = !claimed.holder.agent.empty() && claimed.holder.agent != agent;
        if (of_other && claimed.fence >= range.fence) continue;
        take_over(claimed, std::max(claimed.fence, range.fence));
      }
    }
    if (!led_alone()) continue;
    for (claim& claimed : next.claims)
      if (claimed.unsettled() && claimed.holder.agent == agent &&
          claimed.upstream == report.upstream)
        take_over(claimed, claimed.fence);
  }
}

}  // namespace masticshunt::claims
