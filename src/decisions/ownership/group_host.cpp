#include "masticshunt/decisions/ownership/group_host.h"

#include <algorithm>
#include <ranges>
#include <set>

#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::ownership {
namespace {

constexpr duration takeover_backoff = std::chrono::seconds{2};
constexpr std::uint64_t takeover_backoff_doublings = 4;
constexpr std::size_t renewers_max = 16;

}  // namespace

group_host::group_host(agent_description self, lease_timing timing, fault_injection faults,
                       group_name name)
    : self_(std::move(self)), timing_(timing), faults_(faults), name_(std::move(name)) {
  page_.service = name_.service;
  page_.group = name_.group;
}

bool group_host::coordinates() const {
  return renewer_ && is_coordinator(page_, self_.id);
}

bool group_host::renews() const {
  const auto* own = renewer_ ? find_appointment(page_, renewer_->appointment()) : nullptr;
  return own != nullptr && !own->withdrawn;
}

bool group_host::adopt(const assignment_page& page, invariant_counters& invariants, step& step) {
  const bool is_newer = page.version > page_.version;
  if (!is_newer && !(faults_.epoch_unchecked && page.version < page_.version)) return false;
  if (!faults_.epoch_unchecked) {
    invariants.check(page.epoch >= page_.epoch, "page_epoch_never_falls");
    invariants.check(page.sequence > page_.sequence, "page_sequence_rises");
    invariants.check(page.owner_changes >= page_.owner_changes, "tokens_never_fall");
  }
  invariants.check(ranges_are_contiguous(page), "ranges_are_contiguous");
  writer_.observe_page(page);
  page_ = page;
  const auto* own = find_renewer(page_, self_.id);
  if (own == nullptr) {
    renewer_.reset();
    coordinator_.reset();
    return true;
  }
  if (!renewer_ || renewer_->appointment() != own->appointment) {
    renewer_.emplace(self_.id, own->appointment, timing_, faults_, step.now);
    coordinator_.emplace(self_, timing_, faults_, step.now);
    coordinator_->set_draining(draining_);
  }
  renewer_->page_adopted(page_, step);
  coordinator_->page_adopted(page_, *renewer_, step.now);
  return true;
}

std::vector<fence_token> group_host::tokens_in_change() const {
  std::vector<fence_token> tokens;
  const auto* next = writer_.next();
  if (next == nullptr) return tokens;
  std::set<fence_token> kept;
  for (const auto& entry : next->ranges) kept.insert(entry.token);
  for (const auto& entry : page_.ranges) {
    if (!kept.contains(entry.token)) tokens.push_back(entry.token);
  }
  return tokens;
}

bool group_host::tick(const group_intent& intent, invariant_counters& invariants, step& step) {
  static_cast<void>(invariants);
  if (!renewer_) return false;
  const bool coordinating = coordinates();
  if (coordinating) coordinator_->tick(page_, *renewer_, intent, !writer_.busy(), step);
  const bool needs_store = renewer_->tick(
      page_, coordinating ? coordinator_->next_stop() : 0,
      coordinating ? coordinator_->active_stops() : std::vector<std::uint64_t>{}, step);
  if (writer_.may_start(step.now)) consider_next_page(intent, step.now);
  return needs_store;
}

void group_host::consider_next_page(const group_intent& intent, time_point now) {
  if (auto next = coordinator_->next_page(page_, *renewer_, intent, now)) {
    propose(std::move(*next), now);
    return;
  }
  if (now < next_takeover_) return;
  if (auto next = coordinator_->takeover_page(page_, *renewer_, now)) {
    takeovers_ = std::min(takeovers_ + 1, takeover_backoff_doublings);
    next_takeover_ = now + takeover_backoff * (std::uint64_t{1} << takeovers_);
    propose(std::move(*next), now);
  }
}

void group_host::propose(assignment_page next, time_point now) {
  if (writer_.busy()) return;
  const std::string write_id = to_string(self_.id) + "/" + std::to_string(++writes_);
  writer_.start(std::move(next), page_.version, write_id, now);
}

void group_host::create(std::uint32_t groups, std::uint32_t ranges, time_point now) {
  if (writer_.busy() || page_.version != 0) return;
  assignment_page first = page_;
  first.sequence = 1;
  first.epoch = 1;
  first.renewers = {{self_.id, self_.control, self_.failure_domain, false, 1, true}};
  first.members = {self_};
  first.ranges = even_ranges(name_.group, groups, ranges);
  propose(std::move(first), now);
}

void group_host::take_over_as_outsider(time_point now) {
  if (writer_.busy() || page_.version == 0 || find_renewer(page_, self_.id) != nullptr) return;
  if (page_.renewers.size() >= renewers_max) return;
  assignment_page next = page_;
  ++next.sequence;
  ++next.epoch;
  for (auto& record : next.renewers) {
    if (record.id.name == self_.id.name) withdraw(record, next.sequence);
  }
  next.renewers.insert(next.renewers.begin(), {self_.id, self_.control, self_.failure_domain, false,
                                               next.sequence, next.renewers.empty()});
  std::ranges::stable_partition(next.renewers,
                                [](const renewer_record& record) { return !record.withdrawn; });
  propose(std::move(next), now);
}

bool group_host::handle_write_result(const store_write_done& answer, jitter_source& jitter,
                                     invariant_counters& invariants, step& step) {
  const auto write_outcome = writer_.handle_write_result(answer, jitter, step.now);
  if (write_outcome == page_writer::write_outcome::committed) {
    const auto written = *writer_.next();
    adopt(written, invariants, step);
    return false;
  }
  if (write_outcome != page_writer::write_outcome::must_read) return false;
  if (!answer.current) return true;
  failure reason;
  const auto current = page_from_object(*answer.current, reason);
  if (!current) return true;
  if (faults_.conflict_overwritten && writer_.next() != nullptr) {
    auto forced = *writer_.next();
    writer_.observe_page(*current);
    forced.sequence = std::max(forced.sequence, current->sequence + 1);
    writer_.start(std::move(forced), current->version, "forced", step.now);
    return false;
  }
  adopt(*current, invariants, step);
  return false;
}

void group_host::read_for_support(const assignment_page& page, time_point sent,
                                  invariant_counters& invariants, step& step) {
  adopt(page, invariants, step);
  if (!renewer_ || page.version < page_.version) return;
  const auto* own = find_appointment(page, renewer_->appointment());
  if (own != nullptr && !own->withdrawn && own->id == self_.id) {
    renewer_->supported_by_store(sent);
  }
}

void group_host::handle(const message& body, const endpoint& from, invariant_counters& invariants,
                        step& step) {
  if (!renewer_) return;
  std::visit(
      [&](const auto& typed) {
        if constexpr (requires { this->on(typed, from, invariants, step); }) {
          on(typed, from, invariants, step);
        }
      },
      body);
}

void group_host::on(const join_request& request, const endpoint& from, invariant_counters& /*i*/,
                    step& step) {
  coordinator_->handle(request, step.now);
  if (find_member(page_, request.agent.id.name) == nullptr && coordinates()) return;
  step.send(from, page_update{page_});
}

void group_host::on(const renew_request& request, const endpoint& from,
                    invariant_counters& invariants, step& step) {
  coordinator_->handle(request, page_, step.now);
  renewer_->handle(request, from, page_, tokens_in_change(), invariants, step);
  if (request.sequence < page_.sequence) step.send(from, page_update{page_});
}

void group_host::on(const support_request& request, const endpoint& from, invariant_counters& /*i*/,
                    step& step) {
  renewer_->handle(request, from, page_, step);
}

void group_host::on(const support_reply& reply, const endpoint& /*from*/, invariant_counters& /*i*/,
                    step& step) {
  renewer_->handle(reply, page_, step);
}

void group_host::on(const stop_request& request, const endpoint& from, invariant_counters& /*i*/,
                    step& step) {
  renewer_->handle(request, from, page_, step);
}

void group_host::on(const stop_reply& reply, const endpoint& /*from*/, invariant_counters& /*i*/,
                    step& step) {
  coordinator_->handle(reply, page_, step.now);
}

void group_host::on(const page_ack& ack, const endpoint& from, invariant_counters& /*i*/,
                    step& step) {
  const auto* sender = find_appointment(page_, ack.appointment);
  if (sender == nullptr) return;
  renewer_->record_contact(ack.appointment, ack.sequence, step.now);
  coordinator_->handle(ack, step.now);
  if (ack.sequence < page_.sequence) step.send(from, page_update{page_});
}

void group_host::reset_suspicion_timers(time_point now) {
  if (!renewer_) return;
  renewer_->reset_suspicion_timers(now);
  coordinator_->reset_suspicion_timers(now);
}

void group_host::set_draining(bool draining) {
  draining_ = draining;
  if (coordinator_) coordinator_->set_draining(draining);
}

void group_host::record_agent_ended(const std::string& name, std::uint64_t last_incarnation,
                                    time_point now) {
  if (coordinator_) coordinator_->record_agent_ended(name, last_incarnation, now);
}

}  // namespace masticshunt::ownership
