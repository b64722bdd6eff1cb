#include "masticshunt/decisions/claims/leader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace masticshunt::claims {

namespace {

constexpr duration candidate_stagger = std::chrono::milliseconds{400};
constexpr duration read_interval = std::chrono::milliseconds{2'000};
constexpr duration refused_write_pause = std::chrono::milliseconds{500};
constexpr duration retry_interval = std::chrono::milliseconds{250};
constexpr duration rejection_lifetime = std::chrono::milliseconds{1'200};
constexpr duration first_leader_delay = std::chrono::milliseconds{1'500};
constexpr duration map_resend_interval = std::chrono::milliseconds{1'200};
/// By then the owner has long passed the hand-over to its upstream; maps are sent often and should
/// stay small.
constexpr duration handover_lifetime = std::chrono::seconds{4};
constexpr duration merge_only_interval = std::chrono::milliseconds{1'200};
constexpr duration planned_move_lifetime = std::chrono::seconds{6};

}  // namespace

leader::leader(std::string service, std::string agent, endpoint address, std::uint64_t incarnation,
               claim_timing timing, time_point now)
    : service_(std::move(service)),
      agent_(std::move(agent)),
      address_(std::move(address)),
      incarnation_(incarnation),
      timing_(timing),
      started_at_(now),
      last_tick_(now) {}

leader_actions leader::tick(time_point now) {
  leader_actions out;
  if (now - last_tick_ > timing_.pause_limit) {
    // This process was paused: reports may have been missed, so no owner is suspected yet.
    for (auto& [agent, owner] : owners_) {
      owner.last_report = std::max(owner.last_report, now);
      owner.suspected = false;
      owner.lease_revision.reset();
    }
  }
  last_tick_ = now;
  if (holds_ && now >= leader_until_) {
    holds_ = false;
    log_events_.emplace_back("leadership lost why=\"the map could not be written in time\"");
  }
  if (write_outcome_unknown_ && !read_in_flight_ && !write_in_flight_ && now >= next_read_) {
    read_in_flight_ = true;
    out.emplace_back(read_map{});
  } else if (!write_outcome_unknown_ && !write_in_flight_) {
    holds_ ? lead(now, out) : seek_leadership(now, out);
  }
  if (holds_) suspect_owners(now, out);
  if (!push_to_.empty()) out.emplace_back(push_to(std::exchange(push_to_, {}), now));
  for (auto& text : std::exchange(log_events_, {}))
    out.emplace_back(leader_log_event{std::move(text)});
  return out;
}

void leader::seek_leadership(time_point now, leader_actions& out) {
  if (resigning_) return;
  const bool led_before = map_.revision > 0 && map_.leader == agent_;
  if (!candidate_rank_ && !led_last()) return;
  const duration stagger = candidate_stagger * (led_before ? 0 : candidate_rank_.value_or(0));
  const bool no_map = map_existence_known_ && map_.revision == 0 &&
                      now >= std::max(started_at_, era_began_) + first_leader_delay + stagger;
  const bool resigned =
      map_.revision > 0 && map_.leader.empty() && now >= revision_since_ + stagger;
  const bool abandoned =
      map_.revision > 0 && now >= revision_since_ + timing_.leader_lease + timing_.margin + stagger;
  const bool rejected_by_owners = map_.revision > 0 && rejected_by_majority(now);
  if (carries_claims() || no_map || resigned || abandoned || led_before || rejected_by_owners) {
    const bool ended_itself = resigned || led_before;
    const bool none_before = carries_claims() || no_map || abandoned;
    earlier_lease_end_ = none_before ? now : lease_end_of_predecessors(ended_itself, now);
    earlier_incarnation_ = map_.leader_incarnation;
    if (std::exchange(incarnation_has_led_, false)) ++incarnation_;
    claim_map next = carries_claims()     ? carried_->map()
                     : map_.revision == 0 ? empty_map(service_)
                                          : map_;
    next.leader = agent_;
    next.leader_address = address_;
    next.leader_incarnation = incarnation_;
    propose(std::move(next), now, out);
    return;
  }
  if (read_in_flight_ || now < next_read_) return;
  read_in_flight_ = true;
  out.emplace_back(read_map{});
}

time_point leader::lease_end_of_predecessors(bool ended_itself, time_point now) const {
  const time_point leader_end = revision_since_ + timing_.leader_lease;
  if (!ended_itself) return leader_end + timing_.margin;
  // It grants no more leases, but a leader that it succeeded may still do so.
  const time_point last_lease_end = std::min(now + timing_.restart_lease, leader_end);
  return std::max(last_lease_end + timing_.margin, revision_since_ + map_.earlier_leases);
}

void leader::lead(time_point now, leader_actions& out) {
  if (resigning_) {
    claim_map next = map_;
    next.leader.clear();
    next.leader_address.clear();
    propose(std::move(next), now, out);
    return;
  }
  if (now < next_write_) return;
  plan_drains(now);
  plan_relocations(now);
  plan_rebalancing(now);
  plan_fragment_moves(now);
  claim_map next = next_map(now);
  if (std::exchange(rejected_by_owner_, false)) ++incarnation_;
  next.leader_incarnation = incarnation_;
  // Merging alone is not urgent: it waits for other changes, at most for `merge_only_interval`.
  if (next.claims != map_.claims || now - last_write_ >= merge_only_interval)
    merge_neighbours(next, now);
  const bool changed = next.claims != map_.claims || incarnation_ != map_.leader_incarnation;
  if (!changed && now - last_write_ < timing_.leader_renewal_interval) return;
  propose(std::move(next), now, out);
}

void leader::propose(claim_map next, time_point now, leader_actions& out) {
  next.write_counter = map_.write_counter + 1;
  next.writer = agent_;
  next.leader_incarnation = incarnation_;
  next.earlier_leases =
      std::chrono::ceil<std::chrono::microseconds>(std::max(duration{}, earlier_lease_end_ - now));
  next.earlier_era_leases =
      std::chrono::ceil<std::chrono::microseconds>(std::max(duration{}, earlier_eras_end_ - now));
  next.next_fence = std::max(next.next_fence, first_fence_of(era_));
  for (claim& claimed : next.claims) {
    const auto since = fence_since_.find(claimed.fence);
    if (since != fence_since_.end() && now - since->second > handover_lifetime)
      claimed.handover.clear();
  }
  pending_ = std::move(next);
  if (!unconfirmed_write_since_) unconfirmed_write_since_ = now;
  ++unconfirmed_writes_;
  write_in_flight_ = true;
  out.emplace_back(write_map{*pending_, map_.revision});
}

void leader::adopt(const claim_map& map, time_point now) {
  if (map.revision <= map_.revision) return;
  if (holds_) {
    // Only owners that lose or gain keys are sent the map; the others get it with a later reply.
    add_owners_to_push(map_.claims, map.claims);
    add_owners_to_push(map.claims, map_.claims);
  }
  history_.adopt(map_, map);
  map_ = map;
  revision_since_ = now;
  unconfirmed_writes_ = 0;
  earlier_eras_end_ = std::min(earlier_eras_end_, now + map.earlier_era_leases);
  for (const claim& each : map_.claims) fence_since_.try_emplace(each.fence, now);
  std::erase_if(fence_since_, [this](const auto& entry) {
    return std::ranges::find(map_.claims, entry.first, &claim::fence) == map_.claims.end();
  });
}

void leader::add_owners_to_push(const std::vector<claim>& from, const std::vector<claim>& to) {
  for (const claim& claimed : from) {
    const bool kept = std::ranges::any_of(to, [&](const claim& other) {
      return other.keys == claimed.keys && other.fence == claimed.fence &&
             other.holder == claimed.holder;
    });
    if (!kept && !claimed.holder.agent.empty()) push_to_.insert(claimed.holder.agent);
  }
}

void leader::map_seen(const claim_map& map, time_point now) {
  if (map.service != service_) return;
  begin_era(era_of(map.revision), now + timing_.leader_lease + timing_.margin, now);
  // While this agent leads, it is the only writer, so no other map can be newer.
  if (!holds_ && era_of(map.revision) == era_) adopt(map, now);
}

void leader::map_read(bool answered, const std::optional<claim_map>& map, time_point now) {
  read_in_flight_ = false;
  next_read_ = now + (answered && !write_outcome_unknown_ ? read_interval : retry_interval);
  if (!answered) return;
  map_existence_known_ = true;
  write_conflict_ = false;
  if (!map) {
    if (write_outcome_unknown_) write_outcome_unknown_ = false;
    return;
  }
  if (write_outcome_unknown_ && pending_) {
    write_outcome_unknown_ = false;
    if (map->writer == agent_ && map->leader_incarnation == incarnation_ &&
        map->write_counter == pending_->write_counter) {
      // One of the unconfirmed writes took effect, perhaps not the last: the stored map counts.
      pending_ = *map;
      map_written(write_result::applied, map->revision, *unconfirmed_write_since_, now);
      return;
    }
    if (map->revision == map_.revision)
      return;  // Not applied so far; the next map is computed again.
  }
  if (holds_ && map->revision > map_.revision &&
      (map->writer != agent_ || map->leader_incarnation != incarnation_)) {
    holds_ = false;
    log_events_.push_back("leadership lost to=" + map->leader);
  }
  adopt(*map, now);
}

void leader::map_written(write_result result, std::uint64_t revision, time_point sent,
                         time_point now) {
  write_in_flight_ = false;
  if (result == write_result::refused) {
    next_write_ = now + refused_write_pause;
    if (unconfirmed_writes_ == 1) unconfirmed_writes_ = 0;
    return;
  }
  if (result != write_result::applied) {
    write_outcome_unknown_ = true;
    write_conflict_ = result == write_result::conflict;
    next_read_ = result == write_result::conflict ? now : now + retry_interval;
    return;
  }
  write_outcome_unknown_ = false;
  unconfirmed_write_since_.reset();
  claim_map written = std::move(*pending_);
  pending_.reset();
  written.revision = revision;
  const bool led_before = holds_;
  if (!led_before || written.leader_incarnation != map_.leader_incarnation)
    incarnation_revision_ = revision;
  holds_ = !written.leader.empty();
  incarnation_has_led_ = true;
  leader_until_ = sent + timing_.leader_lease;
  last_write_ = sent;
  next_write_ = now + std::chrono::milliseconds{100};
  map_existence_known_ = true;
  if (!led_before && holds_) {
    become_leader(written, now);
    log_events_.push_back("leadership taken revision=" + std::to_string(revision));
  }
  adopt(written, now);
  std::erase_if(planned_moves_, [this, now](const planned_move& each) {
    const claim* named = map_.find(each.range.keys.first);
    return named == nullptr || named->fence != each.range.fence ||
           now - each.since > planned_move_lifetime;
  });
}

leader_reply leader::report_received(const owner_report& report, time_point now) {
  if (report.service == service_)
    begin_era(report.era, now + timing_.leader_lease + timing_.margin, now);
  leader_reply reply{.is_leader = leads(now), .leader_incarnation = map_.leader_incarnation};
  if (report.service != service_) return reply;
  note_earlier_leader(report);
  if (!reply.is_leader) {
    owner_state& reporter = owners_[report.holder.agent];
    reporter.report = report;
    reporter.rejected.reset();
    if (report.rejected_incarnation != 0)
      reporter.rejected = {report.rejected_incarnation, now, now + report.lease_remaining};
    return reply;
  }
  owner_state& owner = owners_[report.holder.agent];
  // Owners whose keys changed were sent the map; the others need it only from time to time.
  const bool predates_incarnation = report.map_revision < incarnation_revision_;
  // A new process may have started with an old map, and must not act on it.
  const bool new_process = owner.agent_incarnation != report.agent_incarnation;
  if (predates_incarnation || (new_process && report.map_revision < map_.revision) ||
      (report.map_revision < map_.revision && now - owner.map_sent >= map_resend_interval)) {
    reply.update = changes_since(known_to(report));
    owner.map_sent = now;
  }
  const std::uint64_t registration = report.holder.registration;
  if (registration > 0)
    owner.ended_registration = std::max(owner.ended_registration, registration - 1);
  if (registration > owner.report.holder.registration) {
    owner.deleting = false;
    owner.record_gone = false;
  }
  owner.report = report;
  owner.last_report = now;
  owner.suspected = false;
  owner.lease_revision.reset();
  // A write in flight may rest on a report of the owner's earlier process.
  const bool process_restarted = owner.agent_incarnation != report.agent_incarnation;
  const bool earlier_process_may_count =
      process_restarted && (write_in_flight_ || write_outcome_unknown_);
  if (!earlier_process_may_count) owner.agent_incarnation = report.agent_incarnation;
  const bool may_renew = registered(owner) && !earlier_process_may_count;
  if (report.rejected_incarnation == map_.leader_incarnation) rejected_by_owner_ = true;
  const duration lease = report.restarting ? timing_.restart_lease : timing_.reply_lease;
  if (may_renew && now + lease < leader_until_) {
    reply.lease = lease;
    owner.lease_until = std::max(owner.lease_until, now + lease);
  }
  for (const planned_move& each : planned_moves_)
    if (each.from == report.holder.agent) reply.to_release.push_back(each.range);
  if (!report.released.empty() || !report.earlier.empty()) next_write_ = std::min(next_write_, now);
  return reply;
}

const leader::rejection* leader::rejection_of(const std::map<std::string, owner_state>& owners,
                                              const std::string& agent, std::uint64_t incarnation) {
  const auto found = owners.find(agent);
  if (found == owners.end()) return nullptr;
  const auto& rejected = found->second.rejected;
  return rejected && rejected->leader_incarnation == incarnation ? &*rejected : nullptr;
}

bool leader::rejected_by_majority(time_point now) const {
  std::set<std::string> holders;
  for (const claim& claimed : map_.claims)
    if (!claimed.holder.agent.empty() && claimed.holder.agent != map_.leader)
      holders.insert(claimed.holder.agent);
  const auto agree = std::ranges::count_if(holders, [&](const std::string& agent) {
    const auto* rejected = rejection_of(owners_, agent, map_.leader_incarnation);
    return rejected != nullptr && now - rejected->reported_at < rejection_lifetime;
  });
  return agree > 0 && 2 * static_cast<std::size_t>(agree) > holders.size();
}

void leader::become_leader(const claim_map& written, time_point now) {
  leader_since_ = now;
  planned_moves_.clear();
  const auto before = std::exchange(owners_, {});
  for (const claim& claimed : written.claims) {
    if (claimed.holder.agent.empty() || owners_.contains(claimed.holder.agent)) continue;
    owner_state& owner = owners_[claimed.holder.agent];
    owner.last_report = now;
    owner.lease_until = std::max(now, earlier_lease_end_);
    if (const auto* rejected = rejection_of(before, claimed.holder.agent, earlier_incarnation_))
      owner.lease_until = rejected->lease_end;
  }
}

void leader::suspect_owners(time_point now, leader_actions& out) {
  for (auto& [agent, owner] : owners_) {
    const std::string& name = agent;
    const bool owns_ranges = std::ranges::any_of(map_.claims, [&](const claim& claimed) {
      return claimed.holder.agent == name && claimed.holder.registration > owner.ended_registration;
    });
    if (!owns_ranges || owner.lease_call_in_flight) continue;
    if (!owner.deleting &&
        now - std::max(owner.last_report, leader_since_) < timing_.owner_suspicion_timeout)
      continue;
    if (!std::exchange(owner.suspected, true)) log_events_.push_back("owner silent agent=" + agent);
    const bool reply_lease_ended = now >= owner.lease_until + timing_.margin;
    if (owner.record_gone) {
      if (reply_lease_ended) end_ownership(agent, "its lease object is gone", now);
      continue;
    }
    if (!owner.lease_revision) {
      owner.lease_call_in_flight = true;
      out.emplace_back(read_owner_lease{agent});
      continue;
    }
    const bool record_lease_ended = now >= owner.lease_seen + timing_.record_lease + timing_.margin;
    if (!record_lease_ended || !reply_lease_ended) continue;
    owner.lease_call_in_flight = true;
    owner.deleting = true;
    owner.deletion_revision = owner.lease_revision;
    out.emplace_back(delete_owner_lease{agent, *owner.lease_revision});
  }
}

void leader::owner_lease_read(const std::string& agent, const lease_answer& answer,
                              time_point now) {
  owner_state& owner = owners_[agent];
  owner.lease_call_in_flight = false;
  if (!answer.answered) return;
  if (!answer.registration || *answer.registration != newest_registration(agent)) {
    // An earlier leader has deleted it, but the owner may not know, and have leases of this one.
    owner.deleting = true;
    owner.record_gone = true;
    return;
  }
  if (owner.lease_revision == answer.revision) return;
  if (owner.deleting && owner.deletion_revision == answer.revision) {
    owner.lease_revision = answer.revision;
    return;
  }
  // Renewed since the deletion was decided: the deletion can no longer take effect.
  owner.deleting = false;
  owner.lease_revision = answer.revision;
  owner.lease_seen = now;
}

void leader::owner_lease_deleted(const std::string& agent, write_result result, time_point now) {
  owner_state& owner = owners_[agent];
  owner.lease_call_in_flight = false;
  if (result != write_result::applied) {
    // Read the record again: while its revision is the same, the deletion may still take effect.
    const bool conflict = result == write_result::conflict;
    if (conflict) owner.deleting = false;
    owner.lease_revision.reset();
    return;
  }
  end_ownership(agent, "its lease ran out", now);
}

store_revision leader::newest_registration(const std::string& agent) const {
  store_revision newest = 0;
  for (const claim& claimed : map_.claims)
    if (claimed.holder.agent == agent) newest = std::max(newest, claimed.holder.registration);
  return newest;
}

void leader::end_ownership(const std::string& agent, const std::string& why, time_point now) {
  owner_state& owner = owners_[agent];
  owner.ended_registration = std::max(owner.ended_registration, newest_registration(agent));
  owner.deleting = false;
  owner.record_gone = false;
  owner.suspected = false;
  owner.lease_revision.reset();
  next_write_ = now;
  const auto since_lease_end =
      std::chrono::floor<std::chrono::milliseconds>(now - owner.lease_until);
  log_events_.push_back("owner ended agent=" + agent + " why=\"" + why +
                        "\" since_ms=" + std::to_string(since_lease_end.count()));
}

std::uint64_t leader::known_to(const owner_report& owner) {
  return owner.takes_changes ? owner.map_revision : 0;
}

push_map leader::push_to(const std::set<std::string>& agents, time_point now) const {
  push_map result;
  for (const auto& [agent, owner] : owners_)
    if (agents.contains(agent) && now - owner.last_report < timing_.owner_suspicion_timeout &&
        !owner.report.address.empty())
      result.recipients.push_back({owner.report.address, known_to(owner.report)});
  return result;
}

claim_map leader::next_map(time_point now) {
  claim_map next = map_;
  take_over_earlier_ranges(next);
  free_claims(next, now);
  assign_free(next, now);
  return next;
}

void leader::free_claims(claim_map& next, time_point now) const {
  for (const auto& [agent, owner] : owners_) {
    for (const released_range& range : owner.report.released) {
      const claim* named = next.find(range.keys.first);
      if (named == nullptr || named->fence != range.fence || named->holder.agent != agent) continue;
      if (named->unsettled() && !led_alone()) continue;
      split_at(next.claims, range.keys);
      for (claim& claimed : next.claims) {
        if (claimed.fence != range.fence || !range.keys.contains(claimed.keys)) continue;
        claimed.holder = {};
        claimed.handover = range.handover;
      }
    }
  }
  for (claim& claimed : next.claims) {
    if (claimed.holder.agent.empty() || !ownership_ended(claimed, now)) continue;
    claimed.holder = {};
    claimed.handover.clear();
  }
}

bool leader::ownership_ended(const claim& claimed, time_point now) const {
  if (claimed.unsettled() && now >= earlier_eras_end_) return true;
  const auto found = owners_.find(claimed.holder.agent);
  if (found == owners_.end()) return false;
  const owner_state& owner = found->second;
  const owner_report& report = owner.report;
  if (claimed.unsettled())
    return led_alone() && registered(owner) && !report.upstream.id.empty() &&
           report.upstream != claimed.upstream;
  if (claimed.holder.registration <= owner.ended_registration) return true;
  return report.holder.registration == claimed.holder.registration && !report.upstream.id.empty() &&
         report.upstream != claimed.upstream;
}

bool leader::eligible(const std::string& agent, time_point now) const {
  const auto found = owners_.find(agent);
  if (found == owners_.end()) return false;
  const owner_state& owner = found->second;
  return owner.report.accepting && registered(owner) &&
         now - owner.last_report < timing_.owner_suspicion_timeout;
}

}  // namespace masticshunt::claims
