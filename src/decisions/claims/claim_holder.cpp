#include "masticshunt/decisions/claims/claim_holder.h"

#include <algorithm>
#include <utility>

#include "decisions/claims/internal/claim_helpers.h"

namespace masticshunt::claims {

namespace {

constexpr duration retry_after_failure = std::chrono::milliseconds{150};

}  // namespace

claim_holder::claim_holder(std::string service, std::string agent, endpoint address,
                           std::uint64_t incarnation, claim_timing timing, time_point now,
                           grant_transport transport)
    : service_(std::move(service)),
      agent_(std::move(agent)),
      address_(std::move(address)),
      incarnation_(incarnation),
      timing_(timing),
      started_at_(now),
      transport_(transport),
      answers_(timing.heartbeat_answer_limit + timing.margin, now) {}

holder_actions claim_holder::tick(time_point now) {
  holder_actions out;
  std::erase_if(ranges_, [now](const held_range& range) {
    return range.earlier_lease && now >= *range.earlier_lease;
  });
  for (held_range& range : ranges_) {
    if (range.state != range_state::expiring || now < range.held_until) continue;
    range.state = range_state::released;
    report_requested_ = true;
  }
  append_due_lease_call(now, out);
  if (transport_ == grant_transport::call) {
    append_due_releases(now, out);
    append_due_grants(now, out);
  }
  append_due_report(now, out);
  for (auto& text : std::exchange(log_events_, {}))
    out.emplace_back(holder_log_event{std::move(text)});
  return out;
}

void claim_holder::set_relocating(bool relocating) {
  if (relocating != relocating_) report_requested_ = true;
  relocating_ = relocating;
}

void claim_holder::update_upstream(std::optional<upstream_incarnation> incarnation, bool ready,
                                   std::uint32_t slots, time_point last_heartbeat, time_point now) {
  last_heartbeat_ = last_heartbeat;
  if (address_failed_at_ && last_heartbeat > *address_failed_at_) address_failed_at_.reset();
  if (incarnation.has_value() != upstream_present_ || ready != upstream_ready_)
    report_requested_ = true;
  upstream_present_ = incarnation.has_value();
  upstream_ready_ = ready;
  slots_ = slots;
  if (!incarnation) {
    // The upstream may still run although its heartbeats stopped: its keys are free only when the
    // last grants have run out.
    for (held_range& range : ranges_)
      if (range.state == range_state::held || range.state == range_state::releasing)
        range.state = range_state::expiring;
    return;
  }
  if (incarnation == upstream_) return;
  // A new incarnation holds none of the keys that were granted to the previous one.
  upstream_ = std::move(incarnation);
  report_requested_ = true;
  ranges_.clear();
  calls_.clear();
  grants_in_flight_ = 0;
  reconcile(now);
}

void claim_holder::connection_refused(time_point at) {
  if (at < last_heartbeat_) return;
  address_failed_at_ = std::max(address_failed_at_.value_or(at), at);
}

void claim_holder::prepare_restart(time_point now) {
  restarting_ = true;
  report_requested_ = true;
  for (held_range& range : ranges_) range.next_grant = now;
}

void claim_holder::set_load(std::vector<key_load> loads, duration service_time) {
  loads_ = std::move(loads);
  service_time_ = service_time;
}

void claim_holder::begin_era(store_era era, time_point now) {
  if (era <= era_) return;
  if (!ranges_.empty())
    log_events_.push_back("era ended era=" + std::to_string(era_) +
                          " pieces=" + std::to_string(ranges_.size()));
  const bool followed = lease_granted_ && rejected_incarnation_ == 0 && map_in_force();
  earlier_leader_ = followed ? map_.leader_incarnation : 0;
  for (held_range& range : ranges_) range.earlier_lease = lease_end_of(range);
  era_ = era;
  era_began_ = now;
  registration_.reset();
  lease_by_reply_ = {};
  lease_by_record_ = {};
  lease_record_known_ = false;
  lease_call_in_flight_ = false;
  next_lease_call_ = now;
  rejected_incarnation_ = 0;
  last_reply_ = now;
  next_candidate_ = 0;
  report_requested_ = true;
}

void claim_holder::map_seen(const claim_map& map, time_point now) {
  if (map.service != service_ || map.revision <= map_.revision) return;
  begin_era(era_of(map.revision), now);
  if (era_of(map.revision) != era_) return;
  if (map.leader_incarnation != map_.leader_incarnation) {
    rejected_incarnation_ = 0;
    last_reply_ = now;
    report_requested_ = true;
  }
  map_ = map;
  reconcile(now);
}

void claim_holder::lease_seen(const lease_answer& answer, time_point sent, time_point now) {
  lease_call_in_flight_ = false;
  if (!answer.answered) {
    next_lease_call_ = now + retry_after_failure;
    if (!registration_) lease_record_known_ = false;
    return;
  }
  lease_record_known_ = true;
  lease_revision_ = answer.revision;
  if (registration_ && answer.registration != registration_) revoke("lease object gone");
  if (!answer.registration) return;
  if (!registration_) {
    if (now < register_after_) return;
    registration_ = answer.registration;
    log_events_.push_back("registered registration=" + std::to_string(*registration_));
    report_requested_ = true;
    reconcile(now);
  }
  if (answer.written) lease_by_record_ = std::max(lease_by_record_, sent + timing_.record_lease);
  next_lease_call_ = answer.written ? now + timing_.lease_interval : now;
}

void claim_holder::leader_answered(const std::optional<leader_reply>& reply, time_point sent,
                                   time_point now) {
  report_in_flight_ = false;
  if (!reply || !reply->is_leader || reply->leader_incarnation == rejected_incarnation_) {
    next_report_ = now + retry_after_failure;
    return;
  }
  if (reply->update)
    if (const auto map = updated(map_, *reply->update)) map_seen(*map, now);
  if (!map_in_force() || reply->leader_incarnation != map_.leader_incarnation) return;
  if (reply->lease > duration{}) {
    lease_granted_ = true;
    lease_by_reply_ = std::max(lease_by_reply_, sent + reply->lease);
    last_reply_ = now;
  }
  for (const auto& each : reply->to_release) start_release(each.keys, each.fence, now);
}

void claim_holder::grant_ended(grant_call call, grant_result result, time_point now) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const call_in_flight ended = found->second;
  calls_.erase(found);
  if (grants_in_flight_ > 0) --grants_in_flight_;
  if (result == grant_result::unreachable || result == grant_result::connection_lost)
    address_failed_at_ = now;
  const time_point may_hold_until =
      ended.sent + timing_.margin + scaled(ended.hold, 1 + timing_.upstream_clock_error);
  for (held_range& range : ranges_) {
    if (range.call == call) range.call = 0;
    if (range.fence != ended.fence || !ended.keys.contains(range.keys)) continue;
    switch (result) {
      case grant_result::granted:
        range.usable_until = std::max(range.usable_until, ended.sent + ended.hold);
        range.confirmed = true;
        break;
      case grant_result::no_answer:
      case grant_result::connection_lost:
        range.unanswered_until = std::max(range.unanswered_until, may_hold_until);
        range.next_grant = now + retry_after_failure;
        break;
      case grant_result::refused:
      case grant_result::unreachable:
        range.next_grant = now + retry_after_failure;
        break;
      case grant_result::newer_fence:
        log_events_.push_back("upstream knows a newer fence " + text_of(range.keys, range.fence));
        range.state = range_state::expiring;
        break;
    }
  }
}

void claim_holder::release_ended(grant_call call, const std::optional<std::string>& handover,
                                 time_point now) {
  if (calls_.erase(call) == 0) return;
  for (held_range& range : ranges_) {
    if (range.call != call) continue;
    range.call = 0;
    range.released_handover = handover.value_or("");
    if (!handover) {
      range.state = range_state::expiring;
      continue;
    }
    // An unanswered grant may still be applied, so the range is not free until it has run out.
    range.held_until = range.unanswered_until;
    range.state = now < range.held_until ? range_state::expiring : range_state::released;
    report_requested_ = true;
  }
}

void claim_holder::refused_by_upstream(shard_key key, time_point now) {
  for (held_range& range : ranges_) {
    if (!range.keys.contains(key) || range.state != range_state::held || range.call != 0) continue;
    range.usable_until = now;
    range.next_grant = std::min(range.next_grant, now);
  }
}

hold_state claim_holder::state_of(shard_key key, time_point now) const {
  const auto found = std::ranges::find_if(
      ranges_, [key](const held_range& range) { return range.keys.contains(key); });
  if (found != ranges_.end()) {
    return found->state == range_state::held && now < found->usable_until ? hold_state::held
                                                                          : hold_state::pending;
  }
  const claim* claimed = map_.find(key);
  if (claimed == nullptr) return hold_state::not_owned;
  return claimed->holder.agent == agent_ || claimed->holder.agent.empty() ? hold_state::pending
                                                                          : hold_state::not_owned;
}

time_point claim_holder::earliest_lease_end() const {
  if (ranges_.empty()) return lease_end();
  return lease_end_of(*std::ranges::min_element(
      ranges_, {}, [this](const held_range& range) { return lease_end_of(range); }));
}

bool claim_holder::awaits_takeover(const held_range& range) const {
  if (!range.earlier_lease) return false;
  const claim* claimed = map_in_force() ? map_.find(range.keys.first) : nullptr;
  return claimed == nullptr || claimed->unsettled();
}

bool claim_holder::empty(time_point now) const {
  return std::ranges::all_of(ranges_, [now](const held_range& range) {
    return range.state == range_state::released || now >= range.held_until;
  });
}

void claim_holder::split_ranges(const key_range& keys) {
  const auto split_before = [this](std::uint64_t border) {
    for (std::size_t i = 0; i < ranges_.size(); ++i) {
      if (ranges_[i].keys.first >= border || ranges_[i].keys.last < border) continue;
      held_range upper = ranges_[i];
      upper.keys.first = static_cast<shard_key>(border);
      ranges_[i].keys.last = static_cast<shard_key>(border - 1);
      ranges_.insert(ranges_.begin() + static_cast<std::ptrdiff_t>(i) + 1, std::move(upper));
      return;
    }
  };
  split_before(keys.first);
  split_before(std::uint64_t{keys.last} + 1);
}

void claim_holder::reconcile(time_point now) {
  std::vector<claim> ours;
  if (registration_ && upstream_ && map_in_force()) {
    std::ranges::copy_if(map_.claims, std::back_inserter(ours), [this](const claim& claimed) {
      return claimed.holder == holder_id{agent_, *registration_} && claimed.upstream == *upstream_;
    });
  }
  for (const claim& claimed : ours) split_ranges(claimed.keys);
  std::vector<held_range> next;
  const auto is_earlier = [](const held_range& held) { return held.earlier_lease.has_value(); };
  if (std::ranges::any_of(ranges_, is_earlier)) {
    if (map_in_force())
      for (const claim& claimed : map_.claims) split_ranges(claimed.keys);
    std::ranges::copy_if(ranges_, std::back_inserter(next),
                         [this](const held_range& held) { return awaits_takeover(held); });
  }
  for (const claim& claimed : ours) {
    std::uint64_t covered = claimed.keys.first;
    const auto add = [&](std::uint64_t first, std::uint64_t last) {
      held_range fresh{.keys = {static_cast<shard_key>(first), static_cast<shard_key>(last)},
                       .fence = claimed.fence,
                       .handover = claimed.handover};
      // An earlier process on this VM may have granted the range just before it exited.
      const auto earlier_until = started_at_ + timing_.margin +
                                 scaled(timing_.restart_lease, 1 + timing_.upstream_clock_error);
      if (now < earlier_until) {
        fresh.held_until = earlier_until;
        fresh.unanswered_until = fresh.held_until;
      }
      next.push_back(std::move(fresh));
    };
    for (held_range& held : ranges_) {
      if (!claimed.keys.contains(held.keys) || held.fence > claimed.fence) continue;
      if (held.keys.first > covered) add(covered, held.keys.first - 1);
      covered = std::uint64_t{held.keys.last} + 1;
      held.earlier_lease.reset();
      if (held.fence < claimed.fence) {
        held.fence = claimed.fence;
        held.state = range_state::held;
        held.next_grant = now;
        held.call = 0;
      }
      next.push_back(std::move(held));
    }
    if (covered <= claimed.keys.last) add(covered, claimed.keys.last);
  }
  ranges_ = std::move(next);
}

void claim_holder::start_release(const key_range& keys, std::uint64_t fence, time_point now) {
  const bool held = std::ranges::any_of(ranges_, [&](const held_range& range) {
    return range.fence == fence && range.state == range_state::held && range.keys.overlaps(keys);
  });
  if (!held) return;
  split_ranges(keys);
  for (held_range& range : ranges_) {
    if (range.fence != fence || range.state != range_state::held || !keys.contains(range.keys))
      continue;
    if (range.call != 0) {
      // A grant in flight counts as unanswered until its answer arrives.
      const auto& call = calls_.at(range.call);
      range.unanswered_until =
          std::max(range.unanswered_until, call.sent + timing_.margin +
                                               scaled(call.hold, 1 + timing_.upstream_clock_error));
      range.call = 0;
    }
    range.state = range_state::releasing;
    range.next_grant = now;
  }
}

void claim_holder::append_due_grants(time_point now, holder_actions& out) {
  if (!upstream_present_ || !lease_granted_ || address_failed_at_) return;
  for (held_range& range : ranges_) {
    if (grants_in_flight_ >= timing_.grants_at_once) return;
    if (range.state != range_state::held || range.call != 0 || now < range.next_grant) continue;
    const duration remaining = scaled(lease_end_of(range) - now - 2 * timing_.margin,
                                      1 / (1 + timing_.upstream_clock_error));
    const duration hold = std::min(restarting_ ? timing_.restart_lease : timing_.hold, remaining);
    if (hold < shortest_hold) continue;
    range.call = next_call_++;
    range.next_grant = now + std::min(timing_.hold_renewal, hold / 2);
    range.held_until = std::max(
        range.held_until, now + timing_.margin + scaled(hold, 1 + timing_.upstream_clock_error));
    calls_[range.call] = {now, hold, range.keys, range.fence};
    ++grants_in_flight_;
    out.emplace_back(grant_keys{range.call, *upstream_, range.keys, range.fence,
                                std::chrono::floor<std::chrono::milliseconds>(hold),
                                range.confirmed ? std::string{} : range.handover});
  }
}

void claim_holder::append_due_releases(time_point now, holder_actions& out) {
  for (held_range& range : ranges_) {
    if (range.state != range_state::releasing || range.call != 0) continue;
    range.call = next_call_++;
    calls_[range.call] = {now, {}, range.keys, range.fence};
    out.emplace_back(release_keys{range.call, *upstream_, range.keys, range.fence});
  }
}

void claim_holder::append_due_lease_call(time_point now, holder_actions& out) {
  if (lease_call_in_flight_ || now < next_lease_call_) return;
  if (!lease_record_known_) {
    lease_call_in_flight_ = true;
    out.emplace_back(read_lease{});
    return;
  }
  if (!registration_) {
    // An upstream that drains needs a registration only for the keys that it still holds.
    if (!upstream_present_ || (!upstream_ready_ && ranges_.empty()) || now < register_after_)
      return;
    lease_call_in_flight_ = true;
    out.emplace_back(create_lease{});
    return;
  }
  if (now - last_reply_ < timing_.leader_reply_timeout) return;
  lease_call_in_flight_ = true;
  out.emplace_back(renew_lease{lease_revision_});
}

void claim_holder::append_due_report(time_point now, holder_actions& out) {
  const bool leaderless = map_.leader_address.empty();
  if (report_in_flight_ || (leaderless && (map_.revision == 0 || candidates_.empty()))) return;
  if (!leaderless && registration_ && now - last_reply_ >= timing_.reject_after &&
      !candidates_.empty() && rejected_incarnation_ == 0) {
    rejected_incarnation_ = map_.leader_incarnation;
    log_events_.push_back("leader rejected agent=" + map_.leader);
  }
  if (now < next_report_ && !report_requested_) return;
  report_in_flight_ = true;
  report_requested_ = false;
  next_report_ = now + timing_.report_interval;
  out.emplace_back(send_report{next_report_target(), make_report(now)});
}

endpoint claim_holder::next_report_target() {
  // The leader has resigned; its successor replies with its map.
  if (map_.leader_address.empty()) return candidates_[next_candidate_++ % candidates_.size()];
  if (rejected_incarnation_ == 0 && map_in_force()) return map_.leader_address;
  // Reports also go to the rejected leader: if it still runs, it starts a new incarnation. The
  // leader of an earlier era is likely to lead again.
  const std::size_t index = next_candidate_++ % (candidates_.size() + 1);
  return index == 0 ? map_.leader_address : candidates_[index - 1];
}

void claim_holder::revoke(const std::string& why) {
  for (const held_range& range : ranges_)
    register_after_ = std::max(register_after_, range.held_until);
  log_events_.push_back("revoked registration=" + std::to_string(registration_.value_or(0)) +
                        " pieces=" + std::to_string(ranges_.size()) + " why=\"" + why + "\"");
  ranges_.clear();
  calls_.clear();
  grants_in_flight_ = 0;
  registration_.reset();
  lease_by_reply_ = {};
  lease_by_record_ = {};
}

owner_report claim_holder::make_report(time_point now) const {
  owner_report report{.service = service_,
                      .era = era_,
                      .holder = {agent_, registration_.value_or(0)},
                      .address = address_,
                      .agent_incarnation = incarnation_,
                      .upstream = upstream_present_ ? *upstream_ : upstream_incarnation{},
                      .accepting = upstream_present_ && upstream_ready_ && !relocating_,
                      .restarting = restarting_,
                      .relocating = relocating_,
                      .slots = slots_,
                      .service_time = service_time_,
                      .map_revision = map_.revision,
                      .rejected_incarnation = rejected_incarnation_,
                      .lease_remaining = std::max(duration{}, lease_by_reply_ - now),
                      .takes_changes = true,
                      .loads = loads_};
  const bool earlier_leader_may_count = now - era_began_ < timing_.leader_lease + timing_.margin;
  if (earlier_leader_may_count) report.earlier_leader = earlier_leader_;
  for (const held_range& range : ranges_) {
    const bool holds = range.state == range_state::held || range.state == range_state::releasing;
    if (holds && range.earlier_lease && now < *range.earlier_lease)
      report.earlier.push_back({range.keys, range.fence});
  }
  for (const held_range& range : ranges_)
    if (range.state == range_state::released)
      report.released.push_back({range.keys, range.fence, range.released_handover});
  return report;
}

}  // namespace masticshunt::claims
