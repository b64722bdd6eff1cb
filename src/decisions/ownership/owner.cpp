#include "masticshunt/decisions/ownership/owner.h"

#include <algorithm>
#include <ranges>

#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::ownership {
namespace {

constexpr std::size_t outstanding_requests_max = 16;
constexpr duration answer_timeout = std::chrono::milliseconds{200};

}  // namespace

owner::owner(agent_description self, lease_timing timing, fault_injection faults)
    : self_(std::move(self)), timing_(timing), faults_(faults), bounds_(timing, faults) {}

void owner::detect_pause(time_point now) {
  const bool paused = last_seen_ != time_point{} && now - last_seen_ > timing_.pause_limit;
  last_seen_ = std::max(last_seen_, now);
  if (!paused) return;
  ++pauses_;
  for (auto& [first, held] : held_) held.lease_end = time_point{};
  next_renewal_ = now;
}

void owner::page_adopted(const assignment_page& page, const owner_report& report, step& step) {
  std::map<key_hash, held_range> kept;
  bool is_new = false;
  for (const auto& assignment : page.ranges) {
    if (assignment.owner != self_.id) continue;
    auto& held = kept[assignment.range.first];
    const auto old = held_.find(assignment.range.first);
    if (old != held_.end() && old->second.assignment.token >= assignment.token) {
      held = old->second;
    } else {
      held.assignment = assignment;
      is_new = true;
    }
  }
  held_ = std::move(kept);
  if (draining_) {
    for (auto& [first, held] : held_) finish(held, step);
  }
  if (is_new) send_renewals(page, report, false, step);
}

void owner::tick(const assignment_page& page, const owner_report& report, step& step) {
  const bool unanswered = unanswered_since_ && step.now - *unanswered_since_ >= answer_timeout;
  if (step.now < next_renewal_ && !unanswered) return;
  send_renewals(page, report, unanswered, step);
}

void owner::send_renewals(const assignment_page& page, const owner_report& report, bool to_all,
                          step& step) {
  renew_request request{.group = name_of(page),
                        .owner = self_.id,
                        .request = next_request_++,
                        .sequence = page.sequence,
                        .leaving = draining_,
                        .released = {},
                        .config_digest = report.config_digest,
                        .config_revision = report.config_revision,
                        .schema_version_max = self_.schema_version_max,
                        .busy_slots = report.busy_slots,
                        .reads_whole_grants = true};
  for (const auto& [first, held] : held_) {
    if (held.state == phase::released) request.released.push_back(held.assignment.token);
  }
  sent_[request.request] = step.now;
  while (sent_.size() > outstanding_requests_max) sent_.erase(sent_.begin());
  for (const auto& renewer : page.renewers) {
    if (renewer.withdrawn) continue;
    step.send(renewer.control, request);
    if (!to_all) break;
  }
  if (!unanswered_since_ || to_all) unanswered_since_ = step.now;
  next_renewal_ = step.now + timing_.renewal_interval;
}

owner::held_range* owner::held_range_for(const range_assignment& granted, bool may_create) {
  const auto found = held_.find(granted.range.first);
  if (found != held_.end() && found->second.assignment.token == granted.token) {
    return &found->second;
  }
  if (!may_create) return nullptr;
  if (found != held_.end() && found->second.assignment.token > granted.token) return nullptr;
  auto& held = held_[granted.range.first];
  held = {};
  held.assignment = granted;
  return &held;
}

void owner::handle(const renew_reply& reply, std::uint64_t page_sequence, step& step) {
  const auto request = sent_.find(reply.request);
  if (reply.owner != self_.id && !faults_.incarnation_ignored) return;
  if (request == sent_.end()) return;
  unanswered_since_.reset();
  last_answer_ = step.now;
  const duration margin = faults_.margin_removed ? duration{} : timing_.margin;
  const time_point counted_from = faults_.lease_from_reply ? step.now : request->second;
  const time_point end =
      counted_from + bounds_.for_holder(std::min(reply.lease, timing_.lease)) - margin;
  for (const auto& granted : reply.granted) {
    auto* held = held_range_for(granted, reply.sequence >= page_sequence);
    if (held == nullptr || held->state == phase::released) continue;
    held->lease_end = std::max(held->lease_end, end);
    if (!held->owned_since) {
      held->owned_since = granted.had_earlier_owner ? step.now : time_point::min();
    }
    if (draining_) finish(*held, step);
  }
}

void owner::finish(held_range& held, step& step) {
  if (held.state != phase::held) return;
  held.state = phase::finishing;
  const std::string service = self_.upstream ? self_.upstream->service : std::string{};
  step.out.emplace_back(finish_range{service, held.assignment.range});
}

void owner::handle(const release_request& request, step& step) {
  for (auto& [first, held] : held_) {
    if (std::ranges::find(request.tokens, held.assignment.token) != request.tokens.end()) {
      finish(held, step);
    }
  }
}

void owner::range_idle(const hash_range& range, const assignment_page& page,
                       const owner_report& report, step& step) {
  const auto found = held_.find(range.first);
  if (found == held_.end() || found->second.state != phase::finishing) return;
  found->second.state = phase::released;
  found->second.lease_end = time_point{};
  send_renewals(page, report, false, step);
}

void owner::set_draining(bool draining, step& step) {
  if (draining_ == draining) return;
  draining_ = draining;
  next_renewal_ = step.now;
  if (!draining) return;
  for (auto& [first, held] : held_) finish(held, step);
}

void owner::release_all(const assignment_page& page, const owner_report& report, step& step) {
  for (auto& [first, held] : held_) {
    held.state = phase::released;
    held.lease_end = time_point{};
  }
  draining_ = true;
  send_renewals(page, report, false, step);
}

std::optional<admission_ticket> owner::admit(key_hash hash, time_point now) {
  detect_pause(now);
  auto after = held_.upper_bound(hash);
  if (after == held_.begin()) return std::nullopt;
  const auto& held = std::prev(after)->second;
  if (!held.assignment.range.contains(hash) || held.state != phase::held) return std::nullopt;
  const bool in_force = held.lease_end > now || faults_.lease_end_unchecked;
  if (!in_force || !held.owned_since) return std::nullopt;
  return admission_ticket{held.assignment.range, held.assignment.token, held.lease_end,
                          *held.owned_since};
}

std::size_t owner::leased(time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(held_ | std::views::values, [&](auto& e) {
    return e.state == phase::held && e.lease_end > now;
  }));
}

bool owner::empty() const {
  return std::ranges::all_of(held_ | std::views::values,
                             [](const auto& held) { return held.state == phase::released; });
}

}  // namespace masticshunt::ownership
