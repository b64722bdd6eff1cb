#include "masticshunt/decisions/ownership/coordinator.h"

#include <algorithm>
#include <ranges>

#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::ownership {
namespace {

constexpr duration reappointment_delay = std::chrono::seconds{10};
constexpr duration stop_request_interval = std::chrono::milliseconds{200};
constexpr duration suspicion_hold_off = std::chrono::milliseconds{1000};
constexpr duration release_interval = std::chrono::milliseconds{500};
constexpr duration settle_time = std::chrono::milliseconds{300};

/// Returns the sequence of the newest token of `owner`; zero if it owns no range.
std::uint64_t newest_token(const assignment_page& page, const agent_id& owner) {
  std::uint64_t newest = 0;
  for (const auto& entry : page.ranges) {
    if (entry.owner == owner) newest = std::max(newest, entry.token.sequence);
  }
  return newest;
}

}  // namespace

coordinator::coordinator(agent_description self, lease_timing timing, fault_injection faults,
                         time_point began)
    : self_(std::move(self)),
      timing_(timing),
      faults_(faults),
      bounds_(timing, faults),
      began_(began),
      members_changed_(began),
      coordinator_since_(began) {
  if (self_.id.incarnation > 0) record_agent_ended(self_.id.name, self_.id.incarnation - 1, began);
}

void coordinator::record_agent_ended(const std::string& name, std::uint64_t last_incarnation,
                                     time_point now) {
  const auto [known_end, is_new] = ended_.try_emplace(name, last_incarnation, now);
  if (is_new || known_end->second.first >= last_incarnation) return;
  known_end->second = {last_incarnation, now};
}

std::optional<time_point> coordinator::ended_since(const agent_id& id) const {
  const auto found = ended_.find(id.name);
  if (found == ended_.end() || found->second.first < id.incarnation) return std::nullopt;
  return found->second.second;
}

bool coordinator::ended_and_lease_expired(const agent_id& id, time_point now) const {
  const auto since = ended_since(id);
  return since && now >= *since + bounds_.for_grantor(timing_.lease);
}

void coordinator::page_adopted(const assignment_page& page, const renewer& own_renewer,
                               time_point now) {
  for (const auto& member : page.members) {
    if (member.id.incarnation > 0)
      record_agent_ended(member.id.name, member.id.incarnation - 1, now);
  }
  for (const auto& record : page.renewers) {
    if (!record.withdrawn || !withdrawn_seen_.try_emplace(record.appointment, now).second) continue;
    appoint_after_[record.id.name] = now + reappointment_delay;
  }
  const auto unlisted = [&](std::uint64_t appointment) {
    return find_appointment(page, appointment) == nullptr;
  };
  std::erase_if(withdrawn_seen_, [&](const auto& entry) { return unlisted(entry.first); });
  std::erase_if(own_grant_ends_, [&](const auto& entry) { return unlisted(entry.first); });
  std::erase_if(support_ends_, [&](const auto& entry) { return unlisted(entry.first.first); });
  std::erase_if(changes_, [&](const auto& entry) { return !owns_any(page, entry.first); });
  std::erase_if(released_, [&](const fence_token& token) {
    return std::ranges::find(page.ranges, token, &range_assignment::token) == page.ranges.end();
  });
  const bool coordinating = is_coordinator(page, self_.id);
  if (coordinating && !was_coordinator_) {
    const time_point previous_contact =
        previous_coordinator_ == 0 ? now : own_renewer.renewer_last_contact(previous_coordinator_);
    coordinator_since_ =
        std::max(began_, std::max(previous_contact, now - timing_.renewer_suspicion_timeout));
  }
  was_coordinator_ = coordinating;
  previous_coordinator_ = page.renewers.empty() ? 0 : page.renewers.front().appointment;
}

void coordinator::handle(const join_request& request, time_point now) {
  const auto& id = request.agent.id;
  if (id.incarnation > 0) record_agent_ended(id.name, id.incarnation - 1, now);
  if (ended_since(id)) return;
  auto& join = joins_[id.name];
  if (join.id != id) members_changed_ = now;
  join = request.agent;
  auto& report = reports_[id];
  report.last_contact = now;
  report.schema_version_max = request.agent.schema_version_max;
  report.draining = false;
}

void coordinator::handle(const renew_request& request, const assignment_page& page,
                         time_point now) {
  const auto& id = request.owner;
  if (id.incarnation > 0) record_agent_ended(id.name, id.incarnation - 1, now);
  if (ended_since(id)) return;
  auto& report = reports_[id];
  report = {now, request.config_revision, request.schema_version_max, request.leaving};
  for (const auto& token : request.released) {
    const auto range = std::ranges::find(page.ranges, token, &range_assignment::token);
    if (range != page.ranges.end() && range->owner == id) released_.insert(token);
  }
}

void coordinator::handle(const page_ack& ack, time_point now) {
  for (const auto& support : ack.supports) {
    support_ends_[{support.appointment, ack.appointment}] =
        now + bounds_.for_grantor(support.ends_in);
  }
  if (ack.own_grants_end_in) {
    own_grant_ends_[ack.appointment] = now + bounds_.for_grantor(*ack.own_grants_end_in);
  }
}

void coordinator::handle(const stop_reply& reply, const assignment_page& page, time_point now) {
  const auto found = changes_.find(reply.owner);
  if (found == changes_.end() || reply.epoch != page.epoch) return;
  if (reply.number != found->second.number) return;
  found->second.grant_ends[reply.appointment] = now + bounds_.for_grantor(reply.ends_in);
  const bool peer_in_contact =
      reply.heard_ago && *reply.heard_ago < timing_.owner_suspicion_timeout / 2;
  if (peer_in_contact && !ended_since(reply.owner))
    suspect_not_before_[reply.owner] = now + suspicion_hold_off;
}

void coordinator::reset_suspicion_timers(time_point now) {
  coordinator_since_ = now;
  for (auto& report : reports_ | std::views::values)
    report.last_contact = std::max(report.last_contact, now);
}

time_point coordinator::last_contact(const agent_id& id) const {
  const auto found = reports_.find(id);
  return found == reports_.end() ? coordinator_since_
                                 : std::max(found->second.last_contact, coordinator_since_);
}

bool coordinator::unresponsive(const agent_id& owner, time_point now) const {
  return now - last_contact(owner) > timing_.owner_suspicion_timeout;
}

bool coordinator::suspected(const agent_id& owner, time_point now) const {
  if (owner.name.empty() || owner == self_.id) return false;
  if (ended_since(owner)) return true;
  const auto held_off = suspect_not_before_.find(owner);
  if (held_off != suspect_not_before_.end() && now < held_off->second) return false;
  return unresponsive(owner, now);
}

bool coordinator::alive(const agent_id& id, time_point now) const {
  if (id == self_.id) return true;
  return !ended_since(id) && reports_.contains(id) && !unresponsive(id, now);
}

bool coordinator::had_recent_contact(const agent_id& id, time_point now) const {
  if (id == self_.id) return true;
  const auto report = reports_.find(id);
  return report != reports_.end() &&
         now - report->second.last_contact < 2 * timing_.renewal_interval;
}

bool coordinator::eligible(const agent_description& member, const group_intent& intent,
                           time_point now) const {
  if (!member.upstream || !alive(member.id, now)) return false;
  if (member.id == self_.id && self_draining_) return false;
  const auto report = reports_.find(member.id);
  if (report != reports_.end() && report->second.draining) return false;
  return !intent.drained || !intent.drained(member);
}

std::optional<time_point> coordinator::withdrawn_lease_end(const assignment_page& page,
                                                           const renewer_record& record,
                                                           const renewer& own_renewer) const {
  const auto seen = withdrawn_seen_.find(record.appointment);
  if (seen == withdrawn_seen_.end()) return std::nullopt;
  const auto known = own_renewer.observed_sequence(record.appointment);
  if (record.alone && known < own_renewer.appointment()) return std::nullopt;
  time_point end = seen->second + bounds_.for_grantor(timing_.store_support);
  end = std::max(end, own_renewer.last_support_end(record.appointment));
  const bool needs_all =
      page.move_since > 0 && known >= std::max(page.move_since, own_renewer.appointment());
  if (needs_all) return end;
  for (const auto& other : page.renewers) {
    if (other.appointment == record.appointment || other.appointment == own_renewer.appointment() ||
        appointments_disjoint(other, record)) {
      continue;
    }
    const auto reported_end = support_ends_.find({record.appointment, other.appointment});
    const auto ended = ended_since(other.id);
    if (reported_end != support_ends_.end()) {
      end = std::max(end, reported_end->second);
    } else if (ended) {
      end = std::max(end, *ended + bounds_.for_grantor(timing_.support));
    } else {
      return std::nullopt;
    }
  }
  return end;
}

bool coordinator::can_prove_end(const assignment_page& page, const renewer_record& record,
                                const renewer& own_renewer, time_point now) const {
  if (ended_since(record.id)) return true;
  const auto known = own_renewer.observed_sequence(record.appointment);
  if (record.alone && known < own_renewer.appointment()) return false;
  if (page.move_since > 0 && known >= std::max(page.move_since, own_renewer.appointment()))
    return true;
  return std::ranges::all_of(page.renewers, [&](const renewer_record& other) {
    return other.appointment == record.appointment ||
           other.appointment == own_renewer.appointment() || ended_since(other.id) ||
           appointments_disjoint(other, record) ||
           now - own_renewer.renewer_last_contact(other.appointment) <=
               timing_.renewer_suspicion_timeout;
  });
}

std::vector<std::uint64_t> coordinator::active_stops() const {
  std::vector<std::uint64_t> numbers;
  std::ranges::transform(changes_ | std::views::values, std::back_inserter(numbers),
                         &owner_change::number);
  return numbers;
}

bool coordinator::renewer_ended(const assignment_page& page, const renewer_record& record,
                                const renewer& own_renewer, time_point now) const {
  if (ended_and_lease_expired(record.id, now)) return true;
  if (!record.withdrawn) return false;
  const auto own_grant_end = own_grant_ends_.find(record.appointment);
  if (own_grant_end != own_grant_ends_.end() && own_grant_end->second <= now) return true;
  const auto end = withdrawn_lease_end(page, record, own_renewer);
  return end && *end <= now;
}

bool coordinator::owner_ended(const assignment_page& page, const agent_id& owner,
                              const renewer& own_renewer, time_point now) const {
  if (ended_and_lease_expired(owner, now)) return true;
  const auto change = changes_.find(owner);
  if (change == changes_.end()) return false;
  if (newest_token(page, owner) > change->second.up_to && !faults_.newer_tokens_not_checked) {
    return false;
  }
  if (!faults_.grant_end_not_awaited && own_renewer.last_grant_end(owner) > now) return false;
  return std::ranges::all_of(page.renewers, [&](const renewer_record& other) {
    if (other.appointment == own_renewer.appointment() || faults_.stop_replies_not_awaited)
      return true;
    const auto grant_end = change->second.grant_ends.find(other.appointment);
    if (grant_end != change->second.grant_ends.end() &&
        (grant_end->second <= now || faults_.grant_end_not_awaited)) {
      return true;
    }
    return renewer_ended(page, other, own_renewer, now);
  });
}

void coordinator::tick(const assignment_page& page, const renewer& own_renewer,
                       const group_intent& intent, bool may_revoke, step& step) {
  send_stop_requests(page, own_renewer, may_revoke, step);
  send_release_requests(page, intent, step);
}

void coordinator::send_stop_requests(const assignment_page& page, const renewer& own_renewer,
                                     bool may_revoke, step& step) {
  std::set<agent_id> owners;
  for (const auto& entry : page.ranges) owners.insert(entry.owner);
  for (const auto& owner : owners) {
    const auto found = changes_.find(owner);
    const bool must_stay = found != changes_.end() && !may_revoke;
    const bool is_needed = must_stay || suspected(owner, step.now);
    if (!is_needed && found == changes_.end()) continue;
    const bool has_newer_token =
        found != changes_.end() && newest_token(page, owner) > found->second.up_to;
    if (is_needed && (found == changes_.end() || has_newer_token)) {
      changes_[owner] = {next_number_++, page.owner_changes, {}, {}};
    }
    auto& change = changes_[owner];
    if (is_needed && step.now < change.next_send) continue;
    change.next_send = step.now + stop_request_interval;
    const auto number = is_needed ? change.number : next_number_++;
    for (const auto& other : page.renewers) {
      if (other.appointment == own_renewer.appointment()) continue;
      if (is_needed && change.grant_ends.contains(other.appointment)) continue;
      step.send(other.control, stop_request{name_of(page), page.epoch, number, page.sequence,
                                            other.appointment, owner, change.up_to, is_needed});
    }
    if (!is_needed) changes_.erase(owner);
  }
}

std::map<std::string, double> coordinator::quotas(const assignment_page& page,
                                                  const group_intent& intent,
                                                  time_point now) const {
  std::map<std::string, double> weights;
  double total = 0;
  for (const auto& member : page.members) {
    if (!eligible(member, intent, now)) continue;
    const double weight = std::max(1U, member.upstream->slots);
    weights[member.id.name] = weight;
    total += weight;
  }
  for (auto& weight : weights | std::views::values) {
    weight *= static_cast<double>(page.ranges.size()) / total;
  }
  return weights;
}

void coordinator::send_release_requests(const assignment_page& page, const group_intent& intent,
                                        step& step) {
  if (step.now < next_release_) return;
  next_release_ = step.now + release_interval;
  const auto quota = quotas(page, intent, step.now);
  if (quota.empty() || step.now - members_changed_ < settle_time) return;
  std::map<std::string, std::vector<const range_assignment*>> owned;
  for (const auto& name : quota | std::views::keys) owned[name];
  std::map<std::string, std::vector<fence_token>> releases;
  for (const auto& entry : page.ranges) {
    if (entry.owner.name.empty() || changes_.contains(entry.owner)) continue;
    if (quota.contains(entry.owner.name)) {
      owned[entry.owner.name].push_back(&entry);
    } else if (alive(entry.owner, step.now)) {
      releases[entry.owner.name].push_back(entry.token);
    }
  }
  std::size_t deficit = 0;
  for (const auto& [name, share] : quota) {
    const auto fair = static_cast<std::size_t>(share);
    deficit += fair - std::min(fair, owned[name].size());
  }
  const auto excess = [&](const auto& entry) {
    return static_cast<double>(entry.second.size()) - quota.at(entry.first);
  };
  while (deficit-- > 0) {
    const auto donor = std::ranges::max_element(owned, {}, excess);
    if (static_cast<double>(donor->second.size()) < quota.at(donor->first) + 0.5) break;
    releases[donor->first].push_back(donor->second.back()->token);
    donor->second.pop_back();
  }
  for (auto& [name, tokens] : releases) {
    const auto* member = find_member(page, name);
    if (member != nullptr) step.send(member->control, release_request{name_of(page), tokens});
  }
}

}  // namespace masticshunt::ownership
