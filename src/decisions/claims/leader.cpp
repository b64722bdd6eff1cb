#include "masticshunt/decisions/claims/leader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace masticshunt::claims {

namespace {

constexpr duration candidate_stagger = std::chrono::milliseconds{400};
constexpr duration read_interval = std::chrono::milliseconds{2'000};
constexpr duration refused_pause = std::chrono::milliseconds{500};
constexpr duration retry_interval = std::chrono::milliseconds{250};
constexpr duration rejected_fresh = std::chrono::milliseconds{1'200};
constexpr duration first_leader_after = std::chrono::milliseconds{1'500};
constexpr duration map_interval = std::chrono::milliseconds{1'200};
/// The owner has long passed it on by then; maps travel often and should be small.
constexpr duration handover_kept = std::chrono::seconds{4};
constexpr duration join_interval = std::chrono::milliseconds{1'200};
constexpr duration demand_lifetime = std::chrono::seconds{6};

}  // namespace

leader::leader(std::string service, std::string agent, endpoint address, std::uint64_t incarnation,
               claim_timing timing, time_point now)
    : service_(std::move(service)),
      agent_(std::move(agent)),
      address_(std::move(address)),
      life_(incarnation),
      timing_(timing),
      began_(now),
      last_tick_(now) {}

leader_actions leader::tick(time_point now) {
  leader_actions out;
  if (now - last_tick_ > timing_.pause_limit) {
    // This process stood still: what it did not hear meanwhile proves nothing.
    for (auto& [agent, one] : owners_) {
      one.last_report = std::max(one.last_report, now);
      one.suspected = false;
      one.lease_revision.reset();
    }
  }
  last_tick_ = now;
  if (holds_ && now >= leader_until_) {
    holds_ = false;
    notes_.emplace_back("leadership lost why=\"the map could not be written in time\"");
  }
  if (in_doubt_ && !read_in_flight_ && !write_in_flight_ && now >= next_read_) {
    read_in_flight_ = true;
    out.emplace_back(read_map{});
  } else if (!in_doubt_ && !write_in_flight_) {
    holds_ ? lead(now, out) : seek_leadership(now, out);
  }
  if (holds_) suspect_owners(now, out);
  if (!push_to_.empty()) out.emplace_back(push_map{addresses_of(std::exchange(push_to_, {}), now)});
  for (auto& note : std::exchange(notes_, {})) out.emplace_back(leader_log_event{std::move(note)});
  return out;
}

void leader::seek_leadership(time_point now, leader_actions& out) {
  if (leaving_) return;
  const bool mine_before = map_.revision > 0 && map_.leader == agent_;
  if (!place_ && !mine_before) return;
  const duration stagger = candidate_stagger * (mine_before ? 0 : place_.value_or(0));
  const bool none =
      store_known_ && map_.revision == 0 && now >= began_ + first_leader_after + stagger;
  const bool resigned =
      map_.revision > 0 && map_.leader.empty() && now >= revision_since_ + stagger;
  const bool abandoned =
      map_.revision > 0 && now >= revision_since_ + timing_.leader_lease + timing_.margin + stagger;
  const bool rejected = map_.revision > 0 && rejected_by_most(now);
  if (none || resigned || abandoned || mine_before || rejected) {
    const bool known_over = none || abandoned;
    earlier_leader_end_ =
        known_over ? now
                   : std::min(now + timing_.restart_lease, revision_since_ + timing_.leader_lease) +
                         timing_.margin;
    if (rejected && !resigned && !mine_before)
      earlier_leader_end_ = revision_since_ + timing_.leader_lease + timing_.margin;
    claim_map next = map_.revision == 0 ? empty_map(service_) : map_;
    next.leader = agent_;
    next.leader_address = address_;
    next.leader_incarnation = life_;
    propose(std::move(next), now, out);
    return;
  }
  if (read_in_flight_ || now < next_read_) return;
  read_in_flight_ = true;
  out.emplace_back(read_map{});
}

void leader::lead(time_point now, leader_actions& out) {
  if (leaving_) {
    claim_map next = map_;
    next.leader.clear();
    next.leader_address.clear();
    propose(std::move(next), now, out);
    return;
  }
  if (now < next_write_) return;
  demand_drains(now);
  demand_balance(now);
  demand_tidying(now);
  claim_map next = next_map(now);
  if (std::exchange(rejected_, false)) ++life_;
  next.leader_incarnation = life_;
  // Joining alone is no hurry; it goes along with other changes.
  if (next.claims != map_.claims || now - last_write_ >= join_interval) merge_neighbours(next, now);
  const bool changed = next.claims != map_.claims || life_ != map_.leader_incarnation;
  if (!changed && now - last_write_ < timing_.leader_renewal_interval) return;
  propose(std::move(next), now, out);
}

void leader::propose(claim_map next, time_point now, leader_actions& out) {
  next.write_counter = map_.write_counter + 1;
  next.writer = agent_;
  next.leader_incarnation = life_;
  for (claim& each : next.claims) {
    const auto since = fence_since_.find(each.fence);
    if (since != fence_since_.end() && now - since->second > handover_kept) each.handover.clear();
  }
  pending_ = std::move(next);
  if (!doubt_since_) doubt_since_ = now;
  write_in_flight_ = true;
  out.emplace_back(write_map{*pending_, map_.revision});
}

void leader::adopt(const claim_map& map, time_point now) {
  if (map.revision <= map_.revision) return;
  if (holds_) {
    // The others lose and gain nothing; they hear of it with the next answer to their report.
    note_changed_owners(map_.claims, map.claims);
    note_changed_owners(map.claims, map_.claims);
  }
  map_ = map;
  revision_since_ = now;
  for (const claim& each : map_.claims) fence_since_.try_emplace(each.fence, now);
  std::erase_if(fence_since_, [this](const auto& entry) {
    return std::ranges::find(map_.claims, entry.first, &claim::fence) == map_.claims.end();
  });
}

void leader::note_changed_owners(const std::vector<claim>& from, const std::vector<claim>& to) {
  for (const claim& each : from) {
    const bool kept = std::ranges::any_of(to, [&](const claim& other) {
      return other.keys == each.keys && other.fence == each.fence && other.holder == each.holder;
    });
    if (!kept && !each.holder.agent.empty()) push_to_.insert(each.holder.agent);
  }
}

void leader::map_seen(const claim_map& map, time_point now) {
  // In leadership this agent is the only writer; what others hold can't be newer.
  if (map.service == service_ && !holds_) adopt(map, now);
}

void leader::map_read(bool answered, const std::optional<claim_map>& map, time_point now) {
  read_in_flight_ = false;
  next_read_ = now + (answered && !in_doubt_ ? read_interval : retry_interval);
  if (!answered) return;
  store_known_ = true;
  overtaken_ = false;
  if (!map) {
    if (in_doubt_) in_doubt_ = false;
    return;
  }
  if (in_doubt_ && pending_) {
    in_doubt_ = false;
    if (map->writer == agent_ && map->leader_incarnation == life_ &&
        map->write_counter == pending_->write_counter) {
      // One of the writes in doubt took effect, perhaps not the last: what the store shows counts.
      pending_ = *map;
      map_written(write_result::applied, map->revision, *doubt_since_, now);
      return;
    }
    if (map->revision == map_.revision) return;  // Not applied yet; it is decided anew.
  }
  if (holds_ && map->revision > map_.revision &&
      (map->writer != agent_ || map->leader_incarnation != life_)) {
    holds_ = false;
    notes_.push_back("leadership lost to=" + map->leader);
  }
  adopt(*map, now);
}

void leader::map_written(write_result result, std::uint64_t revision, time_point sent,
                         time_point now) {
  write_in_flight_ = false;
  if (result == write_result::refused) {
    next_write_ = now + refused_pause;
    return;
  }
  if (result != write_result::applied) {
    in_doubt_ = true;
    overtaken_ = result == write_result::conflict;
    next_read_ = result == write_result::conflict ? now : now + retry_interval;
    return;
  }
  in_doubt_ = false;
  doubt_since_.reset();
  claim_map written = std::move(*pending_);
  pending_.reset();
  written.revision = revision;
  const bool was_leads = holds_;
  if (!was_leads || written.leader_incarnation != map_.leader_incarnation)
    life_revision_ = revision;
  holds_ = !written.leader.empty();
  leader_until_ = sent + timing_.leader_lease;
  last_write_ = sent;
  next_write_ = now + std::chrono::milliseconds{100};
  store_known_ = true;
  if (!was_leads && holds_) {
    become_leader(written, now);
    notes_.push_back("leadership taken revision=" + std::to_string(revision));
  }
  adopt(written, now);
  std::erase_if(demands_, [this, now](const demand& each) {
    const claim* named = map_.find(each.what.keys.first);
    return named == nullptr || named->fence != each.what.fence ||
           now - each.since > demand_lifetime;
  });
}

leader_reply leader::report_received(const owner_report& report, time_point now) {
  leader_reply reply{.is_leader = leads(now), .leader_incarnation = map_.leader_incarnation};
  if (report.service != service_) return reply;
  if (!reply.is_leader) {
    owner& candidate_of = owners_[report.holder.agent];
    candidate_of.report = report;
    if (report.rejected_incarnation != 0 && report.rejected_incarnation == map_.leader_incarnation)
      candidate_of.rejected = now;
    return reply;
  }
  owner& one = owners_[report.holder.agent];
  // Owners whose keys changed were sent the map; the others need it only now and then.
  const bool of_earlier_life = report.map_revision < life_revision_;
  if (of_earlier_life ||
      (report.map_revision < map_.revision && now - one.map_sent >= map_interval)) {
    reply.map = map_;
    one.map_sent = now;
  }
  const std::uint64_t registration = report.holder.registration;
  if (registration > 0) one.ended = std::max(one.ended, registration - 1);
  if (registration > one.report.holder.registration) one.deleting = false;
  one.report = report;
  one.last_report = now;
  one.suspected = false;
  one.lease_revision.reset();
  // A write on its way may rest on the word of the owner's earlier process.
  const bool restarted = one.agent_incarnation != report.agent_incarnation;
  const bool word_may_count = restarted && (write_in_flight_ || in_doubt_);
  if (!word_may_count) one.agent_incarnation = report.agent_incarnation;
  const bool alive = registration > one.ended && !one.deleting && !word_may_count;
  if (report.rejected_incarnation == map_.leader_incarnation) rejected_ = true;
  const duration wanted = report.restarting ? timing_.restart_lease : timing_.reply_lease;
  if (alive && now + wanted < leader_until_) {
    reply.lease = wanted;
    one.lease_until = std::max(one.lease_until, now + wanted);
  }
  for (const demand& each : demands_)
    if (each.from == report.holder.agent) reply.to_release.push_back(each.what);
  if (!report.released.empty()) next_write_ = std::min(next_write_, now);
  return reply;
}

bool leader::rejected_by_most(time_point now) const {
  std::set<std::string> holders;
  for (const claim& each : map_.claims)
    if (!each.holder.agent.empty() && each.holder.agent != map_.leader)
      holders.insert(each.holder.agent);
  const auto agree = std::ranges::count_if(holders, [&](const std::string& agent) {
    const auto found = owners_.find(agent);
    return found != owners_.end() && found->second.rejected > time_point{} &&
           now - found->second.rejected < rejected_fresh &&
           found->second.report.rejected_incarnation == map_.leader_incarnation;
  });
  return agree > 0 && 2 * static_cast<std::size_t>(agree) > holders.size();
}

void leader::become_leader(const claim_map& written, time_point now) {
  leader_since_ = now;
  demands_.clear();
  const auto before = std::exchange(owners_, {});
  for (const claim& each : written.claims) {
    if (each.holder.agent.empty() || owners_.contains(each.holder.agent)) continue;
    owner& one = owners_[each.holder.agent];
    one.last_report = now;
    one.lease_until = std::max(now, earlier_leader_end_);
    const auto found = before.find(each.holder.agent);
    if (found == before.end() || found->second.rejected == time_point{}) continue;
    // It accepts nothing more of the earlier leader; what it had from it ends by its own word.
    one.lease_until = found->second.rejected + found->second.report.lease_remaining;
  }
}

void leader::suspect_owners(time_point now, leader_actions& out) {
  for (auto& [agent, one] : owners_) {
    const std::string& name = agent;
    const bool named = std::ranges::any_of(map_.claims, [&](const claim& each) {
      return each.holder.agent == name && each.holder.registration > one.ended;
    });
    if (!named || one.lease_call) continue;
    if (!one.deleting &&
        now - std::max(one.last_report, leader_since_) < timing_.owner_suspicion_timeout)
      continue;
    if (!std::exchange(one.suspected, true)) notes_.push_back("owner silent agent=" + agent);
    if (!one.lease_revision) {
      one.lease_call = true;
      out.emplace_back(read_owner_lease{agent});
      continue;
    }
    const bool lease_over = now >= one.lease_seen + timing_.record_lease + timing_.margin;
    const bool reply_over = now >= one.lease_until + timing_.margin;
    if (!lease_over || !reply_over) continue;
    one.lease_call = true;
    one.deleting = true;
    out.emplace_back(delete_owner_lease{agent, *one.lease_revision});
  }
}

void leader::owner_lease_read(const std::string& agent, const lease_answer& answer,
                              time_point now) {
  owner& one = owners_[agent];
  one.lease_call = false;
  if (!answer.answered) return;
  const auto held = std::ranges::max_element(map_.claims, {}, [&](const claim& each) {
    return each.holder.agent == agent ? each.holder.registration : 0;
  });
  const std::uint64_t registration =
      held != map_.claims.end() && held->holder.agent == agent ? held->holder.registration : 0;
  if (!answer.registration || *answer.registration != registration) {
    one.ended = std::max(one.ended, registration);
    one.deleting = false;
    notes_.push_back("owner ended agent=" + agent + " why=\"its lease object is gone\"");
    next_write_ = now;
    return;
  }
  if (one.lease_revision == answer.revision) return;
  // Renewed since a deletion was decided: the deletion can't take effect any more.
  one.deleting = false;
  one.lease_revision = answer.revision;
  one.lease_seen = now;
}

void leader::owner_lease_deleted(const std::string& agent, write_result result, time_point now) {
  owner& one = owners_[agent];
  one.lease_call = false;
  if (result != write_result::applied) {
    // Read it again; as long as it has the same revision the deletion may still take effect.
    const bool conflict = result == write_result::conflict;
    if (conflict) one.deleting = false;
    one.lease_revision.reset();
    return;
  }
  const auto registered = [&](const claim& each) { return each.holder.agent == agent; };
  for (const claim& each : map_.claims)
    if (registered(each)) one.ended = std::max(one.ended, each.holder.registration);
  one.deleting = false;
  one.suspected = false;
  one.lease_revision.reset();
  next_write_ = now;
  notes_.push_back("owner ended agent=" + agent + " why=\"its lease ran out\"");
}

std::vector<endpoint> leader::addresses_of(const std::set<std::string>& agents,
                                           time_point now) const {
  std::vector<endpoint> result;
  for (const auto& [agent, one] : owners_)
    if (agents.contains(agent) && now - one.last_report < timing_.owner_suspicion_timeout &&
        !one.report.address.empty())
      result.push_back(one.report.address);
  return result;
}

claim_map leader::next_map(time_point now) {
  claim_map next = map_;
  free_claims(next, now);
  assign_free(next, now);
  return next;
}

void leader::free_claims(claim_map& next, time_point now) const {
  for (const auto& [agent, one] : owners_) {
    for (const released_range& each : one.report.released) {
      const claim* named = next.find(each.keys.first);
      if (named == nullptr || named->fence != each.fence || named->holder.agent != agent) continue;
      split_at(next.claims, each.keys);
      for (claim& claimed : next.claims) {
        if (claimed.fence != each.fence || !each.keys.contains(claimed.keys)) continue;
        claimed.holder = {};
        claimed.handover = each.handover;
      }
    }
  }
  for (claim& each : next.claims) {
    if (each.holder.agent.empty() || !over(each)) continue;
    each.holder = {};
    each.handover.clear();
  }
  static_cast<void>(now);
}

bool leader::over(const claim& one) const {
  const auto found = owners_.find(one.holder.agent);
  if (found == owners_.end()) return false;
  const owner& holder = found->second;
  if (one.holder.registration <= holder.ended) return true;
  const owner_report& report = holder.report;
  return report.holder.registration == one.holder.registration && !report.upstream.id.empty() &&
         report.upstream != one.upstream;
}

bool leader::eligible(const std::string& agent, time_point now) const {
  const auto found = owners_.find(agent);
  if (found == owners_.end()) return false;
  const owner& one = found->second;
  return one.report.accepting && one.report.holder.registration > one.ended && !one.deleting &&
         now - one.last_report < timing_.owner_suspicion_timeout;
}

}  // namespace masticshunt::claims
