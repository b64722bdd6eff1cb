// Computes the next page of a coordinator (members, renewers, owners) and the take-over page of a
// standby.
#include <algorithm>
#include <ranges>

#include "masticshunt/decisions/ownership/coordinator.h"
#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::ownership {
namespace {

constexpr std::size_t renewers_target = 3;
constexpr std::size_t renewers_max = 6;
constexpr duration settle_time = std::chrono::milliseconds{300};
constexpr duration remove_member_after = std::chrono::seconds{10};

}  // namespace

std::optional<assignment_page> coordinator::next_page(const assignment_page& page,
                                                      const renewer& own_renewer,
                                                      const group_intent& intent,
                                                      time_point now) const {
  if (!is_coordinator(page, self_.id)) return std::nullopt;
  assignment_page next = page;
  ++next.sequence;
  bool changed = update_members(next, now);
  changed |= update_renewers(next, page, own_renewer, now);
  changed |= assign_ranges(next, page, own_renewer, intent, now);
  if (intent.move_when_isolated != (page.move_since > 0)) {
    next.move_since = intent.move_when_isolated ? next.sequence : 0;
    changed = true;
  }
  if (!changed) return std::nullopt;
  return next;
}

bool coordinator::update_members(assignment_page& next, time_point now) const {
  bool changed = false;
  for (const auto& [name, join] : joins_) {
    if (ended_since(join.id) || unresponsive(join.id, now)) continue;
    const auto report = reports_.find(join.id);
    if (report != reports_.end() && report->second.draining) continue;
    const auto member =
        std::ranges::find(next.members, name, [](const auto& entry) { return entry.id.name; });
    if (member == next.members.end()) {
      next.members.push_back(join);
      changed = true;
    } else if (member->id.incarnation <= join.id.incarnation && *member != join) {
      *member = join;
      changed = true;
    }
  }
  const auto is_gone = [&](const agent_description& member) {
    if (member.id == self_.id || owns_any(next, member.id)) return false;
    const auto report = reports_.find(member.id);
    const bool is_draining = report != reports_.end() && report->second.draining;
    return is_draining || now - last_contact(member.id) > remove_member_after;
  };
  const auto erased = std::erase_if(next.members, is_gone);
  const auto schema_of = [](const agent_description& member) { return member.schema_version_max; };
  if (!next.members.empty()) {
    const auto floor = std::ranges::min(next.members | std::views::transform(schema_of));
    changed |= floor != next.schema_floor;
    next.schema_floor = floor;
  }
  return changed || erased > 0;
}

bool coordinator::withdrawal_acknowledged(const assignment_page& page,
                                          const renewer_record& record) const {
  return std::ranges::all_of(page.renewers, [&](const renewer_record& other) {
    return other.id == self_.id || other.appointment == record.appointment ||
           appointments_disjoint(other, record) ||
           support_ends_.contains({record.appointment, other.appointment}) ||
           ended_since(other.id).has_value();
  });
}

bool coordinator::update_renewers(assignment_page& next, const assignment_page& page,
                                  const renewer& own_renewer, time_point now) const {
  bool changed = false;
  for (auto& record : next.renewers) {
    if (record.withdrawn || record.id == self_.id) continue;
    const auto report = reports_.find(record.id);
    const bool draining = report != reports_.end() && report->second.draining;
    const bool lost =
        now - std::max(own_renewer.renewer_last_contact(record.appointment), coordinator_since_) >
        timing_.renewer_suspicion_timeout;
    if (!lost && !draining && !ended_since(record.id)) continue;
    if (!can_prove_end(page, record, own_renewer, now)) continue;
    withdraw(record, next.sequence);
    changed = true;
  }
  const auto removed_count = std::erase_if(next.renewers, [&](const renewer_record& record) {
    const auto* known = find_appointment(page, record.appointment);
    return record.id != self_.id && known != nullptr && known->withdrawn &&
           renewer_ended(page, *known, own_renewer, now) && withdrawal_acknowledged(page, *known);
  });
  const bool is_alone = next.renewers.size() == 1;
  auto& own = next.renewers.front();
  changed |= own.alone != is_alone && page.renewers.size() == next.renewers.size();
  if (page.renewers.size() > 1 || is_alone) own.alone = is_alone;
  if (self_draining_ && hand_over_coordination(next, now)) return true;
  return appoint(next, now) || changed || removed_count > 0;
}

bool coordinator::hand_over_coordination(assignment_page& next, time_point now) const {
  const auto successor = std::ranges::find_if(next.renewers, [&](const renewer_record& record) {
    return record.id != self_.id && !record.withdrawn && alive(record.id, now);
  });
  if (successor == next.renewers.end()) return false;
  withdraw(next.renewers.front(), next.sequence);
  std::rotate(next.renewers.begin(), successor, std::next(successor));
  ++next.epoch;
  return true;
}

bool coordinator::appoint(assignment_page& next, time_point now) const {
  const auto serving = [](const renewer_record& record) { return !record.withdrawn; };
  const auto named = std::ranges::count_if(next.renewers, serving);
  if (named >= static_cast<std::ptrdiff_t>(renewers_target)) return false;
  if (next.renewers.size() >= renewers_max) return false;
  const auto score = [&](const agent_description& member) {
    const bool shares_domain = std::ranges::any_of(next.renewers, [&](const auto& record) {
      return !record.withdrawn && record.failure_domain == member.failure_domain;
    });
    const bool is_fresh = now - last_contact(member.id) < timing_.renewal_interval * 7 / 5;
    return (is_fresh ? 8 : 0) + (shares_domain ? 0 : 4) + (member.region == self_.region ? 2 : 0) +
           (owns_any(next, member.id) ? 0 : 1);
  };
  const agent_description* best = nullptr;
  for (const auto& member : next.members) {
    const auto report = reports_.find(member.id);
    const bool draining = report != reports_.end() && report->second.draining;
    const bool is_named = std::ranges::any_of(
        next.renewers, [&](const auto& record) { return record.id.name == member.id.name; });
    const auto appoint_after = appoint_after_.find(member.id.name);
    const bool too_soon = appoint_after != appoint_after_.end() && now < appoint_after->second;
    if (is_named || draining || too_soon || !had_recent_contact(member.id, now)) continue;
    if (best == nullptr || score(member) > score(*best)) best = &member;
  }
  if (best == nullptr) return false;
  next.renewers.push_back({best->id, best->control, best->failure_domain, false, next.sequence});
  const auto first_withdrawn = std::ranges::stable_partition(next.renewers, serving);
  static_cast<void>(first_withdrawn);
  return true;
}

bool coordinator::assign_ranges(assignment_page& next, const assignment_page& page,
                                const renewer& own_renewer, const group_intent& intent,
                                time_point now) const {
  auto quota = quotas(next, intent, now);
  std::map<std::string, double> counts;
  std::vector<range_assignment*> free;
  std::map<agent_id, bool> ended;
  for (auto& entry : next.ranges) {
    const auto [known, is_new] = ended.try_emplace(entry.owner, false);
    if (is_new) {
      known->second = entry.owner.name.empty() || owner_ended(page, entry.owner, own_renewer, now);
    }
    if (known->second || released_.contains(entry.token)) {
      free.push_back(&entry);
    } else {
      counts[entry.owner.name] += 1;
    }
  }
  std::erase_if(quota, [&](const auto& share) {
    return !had_recent_contact(find_member(next, share.first)->id, now);
  });
  if (free.empty() || quota.empty()) return false;
  const bool initial = page.owner_changes == 0;
  if (initial && now - members_changed_ < settle_time) return false;
  const auto fill = [&](const auto& entry) { return (counts[entry.first] + 1) / entry.second; };
  for (auto* entry : free) {
    const auto current_owner = quota.find(entry->owner.name);
    const bool returns = current_owner != quota.end() && !released_.contains(entry->token) &&
                         counts[current_owner->first] < current_owner->second;
    const auto& chosen =
        returns ? current_owner->first : std::ranges::min_element(quota, {}, fill)->first;
    counts[chosen] += 1;
    entry->had_earlier_owner = entry->had_earlier_owner || !entry->owner.name.empty();
    entry->owner = find_member(next, chosen)->id;
    entry->token = {next.epoch, ++next.owner_changes};
  }
  return true;
}

std::optional<assignment_page> coordinator::takeover_page(const assignment_page& page,
                                                          const renewer& own_renewer,
                                                          time_point now) const {
  const auto* own = find_appointment(page, own_renewer.appointment());
  if (own == nullptr || own->withdrawn || self_draining_ || is_coordinator(page, self_.id)) {
    return std::nullopt;
  }
  const auto& first = page.renewers.front();
  const auto rank = std::ranges::count_if(
      page.renewers.begin() + 1,
      std::ranges::find(page.renewers, own_renewer.appointment(), &renewer_record::appointment),
      [](const renewer_record& record) { return !record.withdrawn; });
  const duration timeout = timing_.renewer_suspicion_timeout + rank * timing_.support_interval;
  const auto ended = ended_since(first.id);
  const bool lost =
      now - std::max(own_renewer.renewer_last_contact(first.appointment), began_) > timeout;
  const bool replaced = ended && now - *ended >= rank * timing_.support_interval;
  if (!first.withdrawn && !lost && !replaced) return std::nullopt;
  assignment_page next = page;
  ++next.sequence;
  ++next.epoch;
  if (can_prove_end(page, first, own_renewer, now)) withdraw(next.renewers.front(), next.sequence);
  const auto own_position =
      std::ranges::find(next.renewers, own_renewer.appointment(), &renewer_record::appointment);
  std::rotate(next.renewers.begin(), own_position, std::next(own_position));
  std::ranges::stable_partition(next.renewers,
                                [](const renewer_record& record) { return !record.withdrawn; });
  return next;
}

}  // namespace masticshunt::ownership
