#include "masticshunt/decisions/ownership/renewer.h"

#include <algorithm>
#include <ranges>

#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::ownership {
namespace {

constexpr std::size_t outstanding_requests_max = 16;
constexpr duration lease_min = std::chrono::milliseconds{150};
constexpr duration store_support_reserve = std::chrono::milliseconds{800};

}  // namespace

renewer::renewer(agent_id self, std::uint64_t appointment, lease_timing timing,
                 fault_injection faults, time_point now)
    : self_(std::move(self)),
      appointment_(appointment),
      timing_(timing),
      faults_(faults),
      bounds_(timing, faults),
      began_(now) {}

renewer::peer& renewer::peer_of(std::uint64_t appointment) {
  const auto [found, is_new] = peers_.try_emplace(appointment);
  if (is_new) found->second.last_contact = began_;
  return found->second;
}

bool renewer::counts_as_supporter(const assignment_page& page, const renewer_record& other) const {
  if (other.appointment == appointment_) return false;
  return !other.withdrawn || (faults_.withdrawn_supporter_counted && !page.renewers.empty());
}

std::optional<time_point> renewer::grantor_lease_end(const assignment_page& page) const {
  const auto* own = find_appointment(page, appointment_);
  if (faults_.grantor_lease_unchecked) return time_point::max();
  if (own == nullptr || own->withdrawn || own->id != self_) return std::nullopt;
  if (page.renewers.size() == 1 && page.move_since == 0) return time_point::max();
  time_point any_peer{};
  std::optional<time_point> all_peers;
  for (const auto& other : page.renewers) {
    if (!counts_as_supporter(page, other)) continue;
    const auto known = peers_.find(other.appointment);
    const time_point until =
        known == peers_.end() ? time_point{} : known->second.support_received_until;
    any_peer = std::max(any_peer, until);
    all_peers = all_peers ? std::min(*all_peers, until) : until;
  }
  const time_point by_peers = page.move_since == 0 ? any_peer : all_peers.value_or(time_point{});
  const time_point end = std::max(by_peers, store_support_until_);
  return end == time_point{} ? std::nullopt : std::optional{end};
}

bool renewer::tick(const assignment_page& page, std::uint64_t next_stop,
                   const std::vector<std::uint64_t>& active_stops, step& step) {
  const auto* own = find_appointment(page, appointment_);
  if (own == nullptr || step.now < next_heartbeat_) return false;
  next_heartbeat_ = step.now + timing_.support_interval;
  const std::uint64_t request = next_request_++;
  sent_[request] = step.now;
  while (sent_.size() > outstanding_requests_max) sent_.erase(sent_.begin());
  for (const auto& other : page.renewers) {
    if (other.appointment == appointment_) continue;
    step.send(other.control, support_request{name_of(page), appointment_, request, page.sequence,
                                             page.epoch, next_stop, active_stops});
  }
  if (own->withdrawn) return false;
  const auto end = grantor_lease_end(page);
  return !end || *end - step.now < store_support_reserve;
}

void renewer::send_ack(const endpoint& to, const assignment_page& page, step& step) const {
  page_ack ack{name_of(page), page.sequence, appointment_, {}, {}};
  const auto remaining = [&](time_point end) {
    return bounds_.for_grantor(std::max(end - step.now, duration{}));
  };
  for (const auto& other : page.renewers) {
    if (!other.withdrawn) continue;
    if (other.appointment == appointment_) {
      time_point last{};
      for (const auto end : grant_ends_ | std::views::values) last = std::max(last, end);
      ack.own_grants_end_in = remaining(last);
    } else {
      ack.supports.push_back({other.appointment, remaining(last_support_end(other.appointment))});
    }
  }
  step.send(to, ack);
}

void renewer::page_adopted(const assignment_page& page, step& step) {
  std::erase_if(stop_commitments_, [&](const auto& entry) {
    if (entry.second.epoch != page.epoch) return true;
    return std::ranges::none_of(page.ranges, [&](const range_assignment& range) {
      return range.owner == entry.first && range.token.sequence <= entry.second.up_to;
    });
  });
  std::erase_if(grant_ends_, [&](const auto& entry) { return entry.second <= step.now; });
  std::erase_if(owner_contacts_, [&](const auto& entry) {
    return find_member(page, entry.first.name) == nullptr && !owns_any(page, entry.first);
  });
  for (const auto& other : page.renewers) {
    if (other.appointment != appointment_) send_ack(other.control, page, step);
  }
}

bool renewer::committed_to_stop(const agent_id& owner, const fence_token& token) const {
  if (faults_.stop_commitment_ignored) return false;
  const auto found = stop_commitments_.find(owner);
  return found != stop_commitments_.end() && found->second.active &&
         token.sequence <= found->second.up_to;
}

void renewer::compact_reply(renew_reply& reply, const renew_request& request,
                            const assignment_page& page) {
  const auto owned = std::ranges::count(page.ranges, request.owner, &range_assignment::owner);
  const bool all_granted = static_cast<std::size_t>(owned) == reply.granted.size() && owned > 0;
  if (!all_granted || !request.reads_whole_grants || request.sequence != page.sequence) return;
  reply.granted.clear();
  reply.whole = true;
}

void renewer::handle(const renew_request& request, const endpoint& from,
                     const assignment_page& page, const std::vector<fence_token>& blocked,
                     invariant_counters& invariants, step& step) {
  owner_contacts_[request.owner] = step.now;
  const auto end = grantor_lease_end(page);
  if (!end || *end <= step.now) return;
  const duration lease = *end == time_point::max()
                             ? timing_.lease
                             : std::min(timing_.lease, bounds_.for_holder(*end - step.now));
  if (lease < lease_min) return;
  renew_reply reply{name_of(page), request.owner, request.request, page.sequence, lease, {}};
  const auto may_renew = [&](const range_assignment& entry) {
    const bool is_owner = faults_.incarnation_ignored ? entry.owner.name == request.owner.name
                                                      : entry.owner == request.owner;
    return is_owner && !committed_to_stop(entry.owner, entry.token) &&
           std::ranges::find(request.released, entry.token) == request.released.end() &&
           std::ranges::find(blocked, entry.token) == blocked.end();
  };
  std::ranges::copy_if(page.ranges, std::back_inserter(reply.granted), may_renew);
  if (!reply.granted.empty()) {
    invariants.check(*end == time_point::max() || step.now + lease <= *end,
                     "lease_within_right_to_renew");
    auto& grant_end = grant_ends_[request.owner];
    grant_end = std::max(grant_end, step.now + bounds_.for_grantor(lease));
  }
  compact_reply(reply, request, page);
  step.send(from, std::move(reply));
}

void renewer::handle(const support_request& request, const endpoint& from,
                     const assignment_page& page, step& step) {
  const auto* requester = find_appointment(page, request.appointment);
  if (requester == nullptr) return;
  record_contact(request.appointment, request.sequence, step.now);
  if (is_coordinator(page, requester->id) && request.epoch == page.epoch) {
    std::erase_if(stop_commitments_, [&](const auto& entry) {
      return entry.second.number < request.next_stop &&
             std::ranges::find(request.active_stops, entry.second.number) ==
                 request.active_stops.end();
    });
  }
  const auto* own = find_appointment(page, appointment_);
  const bool supported = !requester->withdrawn && own != nullptr && !own->withdrawn;
  if (supported) {
    auto& given = peer_of(request.appointment).support_given_until;
    given = std::max(given, step.now + bounds_.for_grantor(timing_.support));
  }
  step.send(from, support_reply{name_of(page), request.appointment, appointment_, request.request,
                                page.sequence, supported});
  if (request.sequence < page.sequence) step.send(from, page_update{page});
}

void renewer::handle(const support_reply& reply, const assignment_page& page, step& step) {
  const auto* supporter = find_appointment(page, reply.supporter);
  const auto request = sent_.find(reply.request);
  if (supporter == nullptr || request == sent_.end() || reply.appointment != appointment_) return;
  record_contact(reply.supporter, reply.sequence, step.now);
  if (!reply.supported) return;
  auto& until = peer_of(reply.supporter).support_received_until;
  until = std::max(until, request->second + bounds_.for_holder(timing_.support));
}

void renewer::handle(const stop_request& request, const endpoint& from, const assignment_page& page,
                     step& step) {
  if (request.epoch != page.epoch || request.appointment != appointment_) return;
  if (request.sequence > page.sequence && !faults_.stop_accepted_without_page) return;
  auto& known = stop_commitments_[request.owner];
  if (std::pair(request.epoch, request.number) < std::pair(known.epoch, known.number)) return;
  known = {request.epoch, request.number, request.up_to, request.active};
  if (!request.active) return;
  stop_reply reply{
      name_of(page),
      request.epoch,
      request.number,
      appointment_,
      request.owner,
      bounds_.for_grantor(std::max(last_grant_end(request.owner) - step.now, duration{})),
      {}};
  if (const auto last = owner_last_contact(request.owner)) reply.heard_ago = step.now - *last;
  step.send(from, reply);
}

void renewer::supported_by_store(time_point sent) {
  store_support_until_ =
      std::max(store_support_until_, sent + bounds_.for_holder(timing_.store_support));
}

time_point renewer::last_grant_end(const agent_id& owner) const {
  const auto found = grant_ends_.find(owner);
  return found == grant_ends_.end() ? time_point{} : found->second;
}

time_point renewer::last_support_end(std::uint64_t appointment) const {
  const auto found = peers_.find(appointment);
  return found == peers_.end() ? time_point{} : found->second.support_given_until;
}

std::optional<time_point> renewer::owner_last_contact(const agent_id& owner) const {
  const auto found = owner_contacts_.find(owner);
  return found == owner_contacts_.end() ? std::nullopt : std::optional{found->second};
}

time_point renewer::renewer_last_contact(std::uint64_t appointment) const {
  const auto found = peers_.find(appointment);
  return found == peers_.end() ? began_ : found->second.last_contact;
}

std::uint64_t renewer::observed_sequence(std::uint64_t appointment) const {
  const auto found = peers_.find(appointment);
  return found == peers_.end() ? 0 : found->second.sequence;
}

void renewer::record_contact(std::uint64_t appointment, std::uint64_t sequence, time_point now) {
  auto& other = peer_of(appointment);
  other.last_contact = std::max(other.last_contact, now);
  other.sequence = std::max(other.sequence, sequence);
}

void renewer::reset_suspicion_timers(time_point now) {
  began_ = now;
  for (auto& other : peers_ | std::views::values) other.last_contact = now;
  for (auto& last_contact : owner_contacts_ | std::views::values) last_contact = now;
}

}  // namespace masticshunt::ownership
