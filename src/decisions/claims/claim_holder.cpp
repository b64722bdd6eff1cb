#include "masticshunt/decisions/claims/claim_holder.h"

#include <algorithm>
#include <utility>

namespace masticshunt::claims {

namespace {

constexpr duration shortest_hold = std::chrono::milliseconds{300};
constexpr duration retry_after_failure = std::chrono::milliseconds{150};

duration scaled(duration span, double factor) {
  return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * factor)};
}

std::string text_of(const key_range& keys, std::uint64_t fence) {
  return "keys=" + std::to_string(keys.first) + "-" + std::to_string(keys.last) +
         " fence=" + std::to_string(fence);
}

}  // namespace

claim_holder::claim_holder(std::string service, std::string agent, endpoint address,
                           std::uint64_t incarnation, claim_timing timing, time_point now)
    : service_(std::move(service)),
      agent_(std::move(agent)),
      address_(std::move(address)),
      life_(incarnation),
      timing_(timing),
      began_(now) {}

holder_actions claim_holder::tick(time_point now) {
  holder_actions out;
  for (piece& each : pieces_) {
    if (each.at != stage::waiting_out || now < each.held_until) continue;
    each.at = stage::released;
    report_now_ = true;
  }
  lease_due(now, out);
  release_due(now, out);
  grant_due(now, out);
  report_due(now, out);
  for (auto& note : std::exchange(notes_, {})) out.emplace_back(holder_log_event{std::move(note)});
  return out;
}

void claim_holder::update_upstream(std::optional<upstream_incarnation> incarnation, bool stays,
                                   std::uint32_t slots, time_point heard, time_point now) {
  if (doubted_since_ && heard > *doubted_since_) doubted_since_.reset();
  if (incarnation.has_value() != present_ || stays != stays_) report_now_ = true;
  present_ = incarnation.has_value();
  stays_ = stays;
  slots_ = slots;
  if (!incarnation) {
    // It may live on unheard: its keys are free only when the last grants have run out.
    for (piece& each : pieces_)
      if (each.at == stage::held || each.at == stage::releasing) each.at = stage::waiting_out;
    return;
  }
  if (incarnation == upstream_) return;
  // Another life holds nothing of what its predecessor was granted.
  upstream_ = std::move(incarnation);
  report_now_ = true;
  pieces_.clear();
  calls_.clear();
  grants_in_flight_ = 0;
  reconcile(now);
}

void claim_holder::prepare_restart(time_point now) {
  restarting_ = true;
  report_now_ = true;
  for (piece& each : pieces_) each.next_grant = now;
}

void claim_holder::set_load(std::vector<key_load> loads, duration service_time) {
  loads_ = std::move(loads);
  service_time_ = service_time;
}

void claim_holder::map_seen(const claim_map& map, time_point now) {
  if (map.service != service_ || map.revision <= map_.revision) return;
  if (map.leader_incarnation != map_.leader_incarnation) {
    rejected_life_ = 0;
    last_reply_ = now;
    report_now_ = true;
  }
  map_ = map;
  reconcile(now);
}

void claim_holder::lease_seen(const lease_answer& answer, time_point sent, time_point now) {
  lease_call_ = false;
  if (!answer.answered) {
    next_lease_call_ = now + retry_after_failure;
    if (!registration_) lease_known_ = false;
    return;
  }
  lease_known_ = true;
  lease_revision_ = answer.revision;
  if (registration_ && answer.registration != registration_) revoke("lease object gone");
  if (!answer.registration) return;
  if (!registration_) {
    if (now < register_after_) return;
    registration_ = answer.registration;
    notes_.push_back("registered registration=" + std::to_string(*registration_));
    report_now_ = true;
    reconcile(now);
  }
  if (answer.written) right_by_lease_ = std::max(right_by_lease_, sent + timing_.record_lease);
  next_lease_call_ = answer.written ? now + timing_.lease_interval : now;
}

void claim_holder::leader_answered(const std::optional<leader_reply>& reply, time_point sent,
                                   time_point now) {
  report_in_flight_ = false;
  if (!reply || !reply->is_leader || reply->leader_incarnation == rejected_life_) {
    next_report_ = now + retry_after_failure;
    return;
  }
  if (reply->map) map_seen(*reply->map, now);
  if (reply->leader_incarnation != map_.leader_incarnation) return;
  if (reply->lease > duration{}) {
    answered_ = true;
    right_by_reply_ = std::max(right_by_reply_, sent + reply->lease);
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
    doubted_since_ = now;
  const time_point may_hold_until =
      ended.sent + timing_.margin + scaled(ended.hold, 1 + timing_.upstream_clock_error);
  for (piece& each : pieces_) {
    if (each.call == call) each.call = 0;
    if (each.fence != ended.fence || !ended.keys.contains(each.keys)) continue;
    switch (result) {
      case grant_result::granted:
        each.usable_until = std::max(each.usable_until, ended.sent + ended.hold);
        each.confirmed = true;
        break;
      case grant_result::no_answer:
      case grant_result::connection_lost:
        each.unanswered_until = std::max(each.unanswered_until, may_hold_until);
        each.next_grant = now + retry_after_failure;
        break;
      case grant_result::refused:
      case grant_result::unreachable:
        each.next_grant = now + retry_after_failure;
        break;
      case grant_result::newer_fence:
        notes_.push_back("upstream knows a newer fence " + text_of(each.keys, each.fence));
        each.at = stage::waiting_out;
        break;
    }
  }
}

void claim_holder::release_ended(grant_call call, const std::optional<std::string>& handover,
                                 time_point now) {
  if (calls_.erase(call) == 0) return;
  for (piece& each : pieces_) {
    if (each.call != call) continue;
    each.call = 0;
    each.left = handover.value_or("");
    if (!handover) {
      each.at = stage::waiting_out;
      continue;
    }
    // A grant without an answer may still be applied; until its time is over nothing is released.
    each.held_until = each.unanswered_until;
    each.at = now < each.held_until ? stage::waiting_out : stage::released;
    report_now_ = true;
  }
}

void claim_holder::refused_by_upstream(shard_key key, time_point now) {
  for (piece& each : pieces_) {
    if (!each.keys.contains(key) || each.at != stage::held || each.call != 0) continue;
    each.usable_until = now;
    each.next_grant = std::min(each.next_grant, now);
  }
}

hold_state claim_holder::state_of(shard_key key, time_point now) const {
  const auto found =
      std::ranges::find_if(pieces_, [key](const piece& each) { return each.keys.contains(key); });
  if (found != pieces_.end()) {
    return found->at == stage::held && now < found->usable_until ? hold_state::held
                                                                 : hold_state::pending;
  }
  const claim* named = map_.find(key);
  if (named == nullptr) return hold_state::not_owned;
  return named->holder.agent == agent_ || named->holder.agent.empty() ? hold_state::pending
                                                                      : hold_state::not_owned;
}

bool claim_holder::empty(time_point now) const {
  return std::ranges::all_of(pieces_, [now](const piece& each) {
    return each.at == stage::released || now >= each.held_until;
  });
}

void claim_holder::split_pieces(const key_range& keys) {
  const auto split_before = [this](std::uint64_t border) {
    for (std::size_t i = 0; i < pieces_.size(); ++i) {
      if (pieces_[i].keys.first >= border || pieces_[i].keys.last < border) continue;
      piece upper = pieces_[i];
      upper.keys.first = static_cast<shard_key>(border);
      pieces_[i].keys.last = static_cast<shard_key>(border - 1);
      pieces_.insert(pieces_.begin() + static_cast<std::ptrdiff_t>(i) + 1, std::move(upper));
      return;
    }
  };
  split_before(keys.first);
  split_before(std::uint64_t{keys.last} + 1);
}

void claim_holder::reconcile(time_point now) {
  std::vector<claim> ours;
  if (registration_ && upstream_) {
    std::ranges::copy_if(map_.claims, std::back_inserter(ours), [this](const claim& each) {
      return each.holder == holder_id{agent_, *registration_} && each.upstream == *upstream_;
    });
  }
  for (const claim& each : ours) split_pieces(each.keys);
  std::vector<piece> next;
  for (const claim& each : ours) {
    std::uint64_t covered = each.keys.first;
    const auto add = [&](std::uint64_t first, std::uint64_t last) {
      piece fresh{.keys = {static_cast<shard_key>(first), static_cast<shard_key>(last)},
                  .fence = each.fence,
                  .handover = each.handover};
      // An earlier process on this VM may have granted the range just before it ended.
      const auto earlier_until =
          began_ + timing_.margin + scaled(timing_.restart_lease, 1 + timing_.upstream_clock_error);
      if (now < earlier_until) {
        fresh.held_until = earlier_until;
        fresh.unanswered_until = fresh.held_until;
      }
      next.push_back(std::move(fresh));
    };
    for (piece& held : pieces_) {
      if (!each.keys.contains(held.keys) || held.fence > each.fence) continue;
      if (held.keys.first > covered) add(covered, held.keys.first - 1);
      covered = std::uint64_t{held.keys.last} + 1;
      if (held.fence < each.fence) {
        held.fence = each.fence;
        held.at = stage::held;
        held.next_grant = now;
        held.call = 0;
      }
      next.push_back(std::move(held));
    }
    if (covered <= each.keys.last) add(covered, each.keys.last);
  }
  pieces_ = std::move(next);
}

void claim_holder::start_release(const key_range& keys, std::uint64_t fence, time_point now) {
  const bool known = std::ranges::any_of(pieces_, [&](const piece& each) {
    return each.fence == fence && each.at == stage::held && each.keys.overlaps(keys);
  });
  if (!known) return;
  split_pieces(keys);
  for (piece& each : pieces_) {
    if (each.fence != fence || each.at != stage::held || !keys.contains(each.keys)) continue;
    if (each.call != 0) {
      // The grant in flight counts as unanswered until its answer is here.
      const auto& call = calls_.at(each.call);
      each.unanswered_until =
          std::max(each.unanswered_until, call.sent + timing_.margin +
                                              scaled(call.hold, 1 + timing_.upstream_clock_error));
      each.call = 0;
    }
    each.at = stage::releasing;
    each.next_grant = now;
  }
}

void claim_holder::grant_due(time_point now, holder_actions& out) {
  if (!present_ || !answered_ || doubted_since_) return;
  const duration left =
      scaled(lease_end() - now - 2 * timing_.margin, 1 / (1 + timing_.upstream_clock_error));
  const duration hold = std::min(restarting_ ? timing_.restart_lease : timing_.hold, left);
  if (hold < shortest_hold) return;
  for (piece& each : pieces_) {
    if (grants_in_flight_ >= timing_.grants_at_once) return;
    if (each.at != stage::held || each.call != 0 || now < each.next_grant) continue;
    each.call = next_call_++;
    each.next_grant = now + std::min(timing_.hold_renewal, hold / 2);
    each.held_until = std::max(
        each.held_until, now + timing_.margin + scaled(hold, 1 + timing_.upstream_clock_error));
    calls_[each.call] = {now, hold, each.keys, each.fence};
    ++grants_in_flight_;
    out.emplace_back(grant_keys{each.call, each.keys, each.fence,
                                std::chrono::floor<std::chrono::milliseconds>(hold),
                                each.confirmed ? std::string{} : each.handover});
  }
}

void claim_holder::release_due(time_point now, holder_actions& out) {
  for (piece& each : pieces_) {
    if (each.at != stage::releasing || each.call != 0) continue;
    each.call = next_call_++;
    calls_[each.call] = {now, {}, each.keys, each.fence};
    out.emplace_back(release_keys{each.call, each.keys, each.fence});
  }
}

void claim_holder::lease_due(time_point now, holder_actions& out) {
  if (lease_call_ || now < next_lease_call_) return;
  if (!lease_known_) {
    lease_call_ = true;
    out.emplace_back(read_lease{});
    return;
  }
  if (!registration_) {
    if (!present_ || !stays_ || now < register_after_) return;
    lease_call_ = true;
    out.emplace_back(create_lease{});
    return;
  }
  if (now - last_reply_ < timing_.leader_reply_timeout) return;
  lease_call_ = true;
  out.emplace_back(renew_lease{lease_revision_});
}

void claim_holder::report_due(time_point now, holder_actions& out) {
  const bool leaderless = map_.leader_address.empty();
  if (report_in_flight_ || (leaderless && (map_.revision == 0 || candidates_.empty()))) return;
  if (!leaderless && registration_ && now - last_reply_ >= timing_.reject_after &&
      !candidates_.empty() && rejected_life_ == 0) {
    rejected_life_ = map_.leader_incarnation;
    notes_.push_back("leader rejected agent=" + map_.leader);
  }
  if (now < next_report_ && !report_now_) return;
  report_in_flight_ = true;
  report_now_ = false;
  next_report_ = now + timing_.report_interval;
  endpoint to = map_.leader_address;
  if (leaderless) {
    // The last one has resigned; whoever leads next answers with its map.
    to = candidates_[next_candidate_++ % candidates_.size()];
  } else if (rejected_life_ != 0) {
    // The leader is told too: if it lives, it begins a new life in the lead.
    const std::size_t place = next_candidate_++ % (candidates_.size() + 1);
    if (place < candidates_.size()) to = candidates_[place];
  }
  out.emplace_back(send_report{std::move(to), make_report(now)});
}

void claim_holder::revoke(const std::string& why) {
  for (const piece& each : pieces_) register_after_ = std::max(register_after_, each.held_until);
  notes_.push_back("revoked registration=" + std::to_string(registration_.value_or(0)) +
                   " pieces=" + std::to_string(pieces_.size()) + " why=\"" + why + "\"");
  pieces_.clear();
  calls_.clear();
  grants_in_flight_ = 0;
  registration_.reset();
  right_by_reply_ = {};
  right_by_lease_ = {};
}

owner_report claim_holder::make_report(time_point now) const {
  owner_report report{.service = service_,
                      .holder = {agent_, registration_.value_or(0)},
                      .address = address_,
                      .agent_incarnation = life_,
                      .upstream = present_ ? *upstream_ : upstream_incarnation{},
                      .accepting = present_ && stays_,
                      .restarting = restarting_,
                      .slots = slots_,
                      .service_time = service_time_,
                      .map_revision = map_.revision,
                      .rejected_incarnation = rejected_life_,
                      .lease_remaining = std::max(duration{}, right_by_reply_ - now),
                      .loads = loads_};
  for (const piece& each : pieces_)
    if (each.at == stage::released) report.released.push_back({each.keys, each.fence, each.left});
  return report;
}

}  // namespace masticshunt::claims
