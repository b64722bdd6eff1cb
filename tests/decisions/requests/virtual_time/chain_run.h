/// @file
/// A randomised simulation of the whole request chain: callers that retry at other agents, ingress
/// agents that retry, owners with gate and ledger, upstreams that shed, freeze and lose answers,
/// and planned and unplanned owner changes. All invariants are checked after the run.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "decisions/requests/virtual_time/chain_events.h"
#include "decisions/requests/virtual_time/chain_owner.h"
#include "decisions/requests/virtual_time/chain_types.h"
#include "decisions/requests/virtual_time/draws.h"
#include "decisions/requests/virtual_time/event_queue.h"
#include "masticshunt/decisions/requests/answer_match.h"
#include "masticshunt/decisions/requests/retry.h"

namespace masticshunt::testing {

/// One randomised simulation; equal settings give equal runs.
class chain_run {
 public:
  explicit chain_run(const chain_settings& settings) : settings_(settings), random_(settings.seed) {
    for (std::uint32_t agent = 0; agent < settings.agents; ++agent) {
      owners_.emplace_back(settings);
      retries_.emplace_back(requests::retry_settings{});
      matches_.emplace_back();
      views_.emplace_back(settings.ranges);
    }
    owner_of_.resize(settings.ranges);
    for (std::uint32_t range = 0; range < settings.ranges; ++range) {
      owner_of_[range] = range % settings.agents;
      owners_[owner_of_[range]].ranges[range] = {.owned = true, .finishing = false, .view = {}};
      for (auto& view : views_) view[range] = {owner_of_[range], {}};
    }
  }

  /// Runs all calls to completion and returns the findings.
  chain_findings run() {
    add(settings_.between_calls, new_call{});
    add(settings_.between_moves, move_range{});
    add(settings_.between_freezes, freeze{});
    add(tick_every, tick{});
    while (!events_.empty() && !(calls_.size() == settings_.calls && now_ > settled_after_)) {
      now_ = events_.next_time();
      std::visit([this](const auto& event) { handle(event); }, events_.take());
    }
    check_invariants();
    return found_;
  }

 private:
  static constexpr duration tick_every = std::chrono::milliseconds{10};
  static constexpr duration settle_time = std::chrono::seconds{15};
  static constexpr std::uint32_t attempts_max = 5;

  void add(duration after, chain_event event) { events_.add(now_ + after, std::move(event)); }

  duration random_duration(int min_ms, int max_ms) {
    const auto span = static_cast<std::uint64_t>(max_ms - min_ms) * 1'000;
    return std::chrono::milliseconds{min_ms} + std::chrono::microseconds{random_.below(span + 1)};
  }
  /// Returns the delay of a message: mostly short, sometimes almost the delivery bound.
  duration transit() {
    return random_.chance(0.01) ? random_duration(200, 2'400) : random_duration(0, 15);
  }

  // Callers.

  void handle(const new_call& /*event*/) {
    if (calls_.size() == settings_.calls) return;
    chain_call call;
    call.idempotent = random_.chance(0.3);
    call.declares_attempts = random_.chance(0.6);
    call.caller = static_cast<std::uint32_t>(random_.below(50));
    call.key = random_.bits();
    call.first_sent = now_;
    calls_.push_back(call);
    handle(caller_sends{static_cast<std::uint32_t>(calls_.size() - 1)});
    add(random_.exponential(settings_.between_calls), new_call{});
    settled_after_ = now_ + settle_time;
  }

  void handle(const caller_sends& event) {
    chain_call& call = calls_[event.call];
    const bool too_late = now_ - call.first_sent > settings_.repeat_window;
    if (call.satisfied || too_late || call.attempts == attempts_max) return;
    ++call.attempts;
    ++found_.attempts;
    chain_attempt attempt;
    attempt.call = event.call;
    attempt.number = call.attempts;
    attempt.ingress = static_cast<std::uint32_t>(random_.below(settings_.agents));
    attempt.allowed = random_duration(50, 800);
    attempts_.push_back(attempt);
    const auto index = static_cast<std::uint32_t>(attempts_.size() - 1);
    add(transit(), attempt_arrives{index});
    const bool resends_early = !call.declares_attempts && random_.chance(0.1);
    if (resends_early) add(random_duration(0, 100), caller_sends{event.call});
    const duration grace =
        call.declares_attempts ? settings_.delivery_bound : random_duration(0, 50);
    add(attempt.allowed + grace, caller_times_out{index});
  }

  void handle(const outcome_arrives& event) {
    chain_attempt& attempt = attempts_[event.attempt];
    if (attempt.outcome_received) return;
    attempt.outcome_received = true;
    chain_call& call = calls_[attempt.call];
    if (event.outcome == requests::outcome::served) {
      ++found_.served;
      if (event.body != attempt.call) ++found_.foreign_answers;
      call.satisfied = true;
      return;
    }
    if (event.outcome == requests::outcome::not_run) {
      ++found_.reported_not_run;
      call.not_run_reported = std::max(call.not_run_reported, attempt.number);
    } else {
      ++found_.reported_may_have_run;
    }
    if (random_.chance(0.7)) add(random_duration(0, 1'500), caller_sends{attempt.call});
  }

  void handle(const caller_times_out& event) {
    chain_attempt& attempt = attempts_[event.attempt];
    if (attempt.outcome_received) return;
    attempt.outcome_received = true;
    if (random_.chance(0.8)) handle(caller_sends{attempt.call});
  }

  // Ingress agents.

  [[nodiscard]] std::uint32_t range_of(key_hash key) const {
    return static_cast<std::uint32_t>(key % settings_.ranges);
  }

  requests::request_descriptor descriptor_of(const chain_attempt& attempt) const {
    const chain_call& call = calls_[attempt.call];
    requests::request_descriptor request;
    request.service = "booking-ledger";
    request.hash = call.key;
    request.caller = std::to_string(call.caller);
    request.rank = call.idempotent ? 0 : 1;
    request.idempotent = call.idempotent;
    request.idempotency_key = std::to_string(attempt.call);
    if (call.declares_attempts) request.declared_attempt = attempt.number;
    request.deadline = attempt.deadline;
    return request;
  }

  void handle(const attempt_arrives& event) {
    chain_attempt& attempt = attempts_[event.attempt];
    attempt.deadline = now_ + attempt.allowed;
    retries_[attempt.ingress].first_attempt();
    events_.add(attempt.deadline, ingress_deadline{event.attempt});
    const bool paused = random_.chance(0.005);
    add(paused ? random_duration(100, 1'500) : duration{}, forward_due{event.attempt});
  }

  void handle(const forward_due& event) {
    chain_attempt& attempt = attempts_[event.attempt];
    if (!attempt.open || now_ >= attempt.deadline) return;
    const routed_owner route = views_[attempt.ingress][range_of(calls_[attempt.call].key)];
    ++found_.forwards;
    ++attempt.forwards;
    forwards_.push_back({event.attempt, attempt.forwards, route.owner, route.fence, {}});
    matches_[attempt.ingress].sent(event.attempt, attempt.forwards);
    const auto index = static_cast<std::uint32_t>(forwards_.size() - 1);
    const bool link_breaks = random_.chance(settings_.link_break_share);
    add(link_breaks ? random_duration(0, 2'400) : transit(),
        forward_arrives{index, attempt.deadline - now_});
    if (!link_breaks) return;
    chain_reply broken;
    broken.forward = index;
    broken.outcome = requests::outcome::may_have_run;
    add(transit(), reply_arrives{broken});
  }

  void handle(const reply_arrives& event) {
    const chain_forward& forward = forwards_[event.reply.forward];
    chain_attempt& attempt = attempts_[forward.attempt];
    if (event.reply.outcome == requests::outcome::served)
      return answer_arrives(event.reply, attempt);
    if (!attempt.open || forward.number != attempt.forwards) return;
    const bool proven = event.reply.outcome == requests::outcome::not_run;
    const bool treated_as_not_run = proven || settings_.faults.retry_unproven;
    attempt.may_have_run = attempt.may_have_run || !treated_as_not_run;
    const requests::failed_attempt last{
        attempt.forwards, treated_as_not_run ? requests::outcome::not_run : event.reply.outcome,
        event.reply.reason, event.reply.retry_after};
    const auto delay =
        retries_[attempt.ingress].next_delay(descriptor_of(attempt), last, random_.unit(), now_);
    if (delay) {
      ++found_.retries;
      add(*delay, forward_due{forward.attempt});
    } else {
      refuse(forward.attempt);
    }
  }

  void answer_arrives(const chain_reply& reply, chain_attempt& attempt) {
    const chain_forward& forward = forwards_[reply.forward];
    const auto verdict = matches_[attempt.ingress].arrived(forward.attempt, forward.number);
    if (verdict == requests::answer_verdict::deliver) {
      attempt.open = false;
      add(transit(), outcome_arrives{forward.attempt, requests::outcome::served, reply.body});
      return;
    }
    ++found_.late_answers_dropped;
    if (!settings_.faults.deliver_any_answer) return;
    const auto newest = std::ranges::find_if(attempts_.rbegin(), attempts_.rend(),
                                             [](const auto& each) { return each.open; });
    if (newest == attempts_.rend()) return;
    newest->open = false;
    const auto index = static_cast<std::uint32_t>(attempts_.rend() - newest - 1);
    add(transit(), outcome_arrives{index, requests::outcome::served, reply.body});
  }

  void handle(const ingress_deadline& event) {
    chain_attempt& attempt = attempts_[event.attempt];
    if (!attempt.open) return;
    attempt.may_have_run = attempt.may_have_run || attempt.forwards > 0;
    refuse(event.attempt);
  }

  void refuse(std::uint32_t index) {
    chain_attempt& attempt = attempts_[index];
    attempt.open = false;
    matches_[attempt.ingress].ended(index);
    auto outcome = requests::refusal_outcome(descriptor_of(attempt));
    if (attempt.may_have_run) outcome = requests::outcome::may_have_run;
    if (settings_.faults.claim_not_run) outcome = requests::outcome::not_run;
    if (!random_.chance(0.03)) add(transit(), outcome_arrives{index, outcome, 0});
  }

  // Owners.

  requests::request_descriptor descriptor_at_owner(std::uint32_t index) const {
    const chain_forward& forward = forwards_[index];
    requests::request_descriptor request = descriptor_of(attempts_[forward.attempt]);
    request.attempt = index;
    request.deadline = forward.deadline;
    request.routed_fence = forward.fence;
    return request;
  }

  void reply(std::uint32_t forward, requests::outcome outcome, requests::refusal_reason reason,
             std::uint32_t body = 0, duration retry_after = {}) {
    if (random_.chance(0.02)) return;
    add(transit(), reply_arrives{{forward, outcome, reason, retry_after, body}});
  }

  chain_range& range_at_owner(std::uint32_t index) {
    const chain_forward& forward = forwards_[index];
    return owners_[forward.owner].ranges[range_of(calls_[attempts_[forward.attempt].call].key)];
  }

  /// Returns the reason why the owner may not start work on the forward's range, or `none`.
  requests::refusal_reason refusal_for(std::uint32_t index) {
    const chain_range& range = range_at_owner(index);
    if (!range.owned) return requests::refusal_reason::not_owner;
    return range.finishing ? requests::refusal_reason::draining : requests::refusal_reason::none;
  }

  void handle(const forward_arrives& event) {
    chain_forward& forward = forwards_[event.forward];
    forward.deadline = now_ + event.remaining;
    if (const auto reason = refusal_for(event.forward); reason != requests::refusal_reason::none)
      return reply(event.forward, requests::outcome::not_run, reason);
    requests::gate_actions actions;
    owners_[forward.owner].gate.offer(descriptor_at_owner(event.forward), now_, actions);
    perform(forward.owner, actions);
  }

  void perform(std::uint32_t agent, requests::gate_actions& actions) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const requests::gate_action action = actions[i];
      if (const auto* start = std::get_if<requests::start_attempt>(&action)) {
        start_forward(agent, static_cast<std::uint32_t>(start->attempt), actions);
      } else if (const auto* refusal = std::get_if<requests::refuse_attempt>(&action)) {
        reply(static_cast<std::uint32_t>(refusal->attempt), requests::outcome::not_run,
              refusal->reason, 0, refusal->retry_after);
      } else if (const auto* cancel = std::get_if<requests::cancel_attempt>(&action)) {
        cancel_forward(agent, static_cast<std::uint32_t>(cancel->attempt), actions);
      }
    }
  }

  void start_forward(std::uint32_t agent, std::uint32_t index, requests::gate_actions& actions) {
    chain_owner& owner = owners_[agent];
    const requests::request_descriptor request = descriptor_at_owner(index);
    const auto release = [&] {
      owner.gate.finished(index, requests::attempt_result::cancelled, now_, actions);
    };
    const auto reason = refusal_for(index);
    if (reason != requests::refusal_reason::none && !settings_.faults.start_after_loss) {
      reply(index, requests::outcome::not_run, reason);
      return release();
    }
    if (!request.idempotent) {
      const auto verdict = owner.ledger.begin(request, range_at_owner(index).view, now_);
      found_.ledger_size_max = std::max(found_.ledger_size_max, owner.ledger.size());
      if (const auto* answered = std::get_if<requests::already_answered>(&verdict)) {
        ++found_.answered_from_ledger;
        reply(index, requests::outcome::served, requests::refusal_reason::none,
              static_cast<std::uint32_t>(std::stoul(answered->body)));
        return release();
      }
      if (const auto* refusal = std::get_if<requests::must_not_run>(&verdict)) {
        reply(index, refusal->outcome, refusal->reason);
        return release();
      }
    }
    send_to_upstream(agent, index, request, actions);
  }

  void send_to_upstream(std::uint32_t agent, std::uint32_t index,
                        const requests::request_descriptor& request,
                        requests::gate_actions& actions) {
    chain_owner& owner = owners_[agent];
    const bool frozen = now_ < owner.frozen_until;
    const bool shed = !frozen && random_.chance(0.04);
    const bool never_sent = !frozen && random_.chance(0.01);
    if (shed || never_sent) {
      if (!request.idempotent)
        owner.ledger.ended(request, requests::execution_status::did_not_run, {}, now_);
      reply(index, requests::outcome::not_run, requests::refusal_reason::upstream_shed);
      owner.gate.finished(index,
                          shed ? requests::attempt_result::shed : requests::attempt_result::error,
                          now_, actions);
      return;
    }
    owner.at_upstream[index] = {.starts_at = now_ + random_duration(0, 1),
                                .service = random_.lognormal(std::chrono::milliseconds{10}, 0.8),
                                .answer_lost = random_.chance(0.03)};
    events_.add(owner.at_upstream[index].starts_at, upstream_starts{index});
  }

  void cancel_forward(std::uint32_t agent, std::uint32_t index, requests::gate_actions& actions) {
    chain_owner& owner = owners_[agent];
    const requests::request_descriptor request = descriptor_at_owner(index);
    if (!request.idempotent)
      owner.ledger.ended(request, requests::execution_status::unknown, {}, now_);
    reply(index, requests::outcome::may_have_run, requests::refusal_reason::deadline_passed);
    if (const auto plan = owner.at_upstream.find(index); plan != owner.at_upstream.end())
      plan->second.cancelled = now_ >= owner.frozen_until;
    owner.gate.finished(index, requests::attempt_result::timed_out, now_, actions);
  }

  // Upstreams.

  void handle(const upstream_starts& event) {
    const chain_forward& forward = forwards_[event.forward];
    chain_owner& owner = owners_[forward.owner];
    upstream_plan& plan = owner.at_upstream[event.forward];
    if (now_ < owner.frozen_until) return events_.add(owner.frozen_until, event);
    if (plan.cancelled) {
      owner.at_upstream.erase(event.forward);
      return;
    }
    chain_attempt& attempt = attempts_[forward.attempt];
    chain_call& call = calls_[attempt.call];
    ++found_.runs;
    ++call.runs;
    call.first_attempt_run = call.first_attempt_run == 0
                                 ? attempt.number
                                 : std::min(call.first_attempt_run, attempt.number);
    add(plan.service, upstream_ends{event.forward});
  }

  void handle(const upstream_ends& event) {
    const chain_forward& forward = forwards_[event.forward];
    chain_owner& owner = owners_[forward.owner];
    if (now_ < owner.frozen_until) return events_.add(owner.frozen_until, event);
    const upstream_plan plan = owner.at_upstream[event.forward];
    owner.at_upstream.erase(event.forward);
    if (plan.answer_lost) return;
    const std::uint32_t call = attempts_[forward.attempt].call;
    const requests::request_descriptor request = descriptor_at_owner(event.forward);
    if (!request.idempotent)
      owner.ledger.ended(request, requests::execution_status::answered,
                         {200, "text/plain", std::to_string(call), true}, now_);
    reply(event.forward, requests::outcome::served, requests::refusal_reason::none, call);
    requests::gate_actions actions;
    owner.gate.finished(event.forward, requests::attempt_result::answered, now_, actions);
    perform(forward.owner, actions);
  }

  void handle(const freeze& /*event*/) {
    chain_owner& owner = owners_[random_.below(settings_.agents)];
    owner.frozen_until = now_ + random_duration(200, 9'000);
    ++found_.freezes;
    add(random_.exponential(settings_.between_freezes), freeze{});
  }

  void handle(const tick& event) {
    for (std::uint32_t agent = 0; agent < settings_.agents; ++agent) {
      requests::gate_actions actions;
      owners_[agent].gate.tick(now_, actions);
      perform(agent, actions);
    }
    add(tick_every, event);
  }

  // Owner changes.

  void handle(const move_range& event) {
    add(random_.exponential(settings_.between_moves), event);
    const auto index = static_cast<std::uint32_t>(random_.below(settings_.ranges));
    const auto next = static_cast<std::uint32_t>(random_.below(settings_.agents));
    chain_range& range = owners_[owner_of_[index]].ranges[index];
    if (next == owner_of_[index] || !range.owned || range.finishing) return;
    if (!random_.chance(settings_.unplanned_share)) {
      range.finishing = true;
      add(std::chrono::milliseconds{20},
          export_due{index, next, now_ + random_duration(50, 3'000)});
      return;
    }
    ++found_.unplanned_moves;
    range.owned = false;
    const duration gap = random_duration(0, 300);
    add(gap,
        ownership_begins{index, next, {.owned_since = now_ + gap, .fence = next_fence(index)}});
  }

  void handle(const export_due& event) {
    chain_owner& owner = owners_[owner_of_[event.range]];
    chain_range& range = owner.ranges[event.range];
    const bool idle = std::ranges::none_of(owner.at_upstream, [&](const auto& each) {
      return range_of(calls_[attempts_[forwards_[each.first].attempt].call].key) == event.range;
    });
    if (!idle && now_ < event.latest) return add(std::chrono::milliseconds{20}, event);
    ++found_.planned_moves;
    range.owned = range.finishing = false;
    const auto given = export_of(owner, event.range, range.view.owned_since);
    const auto known_since = owners_[event.next].ledger.import_range(given, now_);
    const fence_token fence = next_fence(event.range);
    handle(ownership_begins{event.range, event.next, {known_since.value_or(now_), fence}});
  }

  /// Returns the hand-over of a range, filtered by key: in the simulation, the keys of a range are
  /// distributed over the whole hash space.
  requests::ledger_hand_over export_of(const chain_owner& owner, std::uint32_t range,
                                       time_point owned_since) const {
    auto given = owner.ledger.export_range("booking-ledger", {0, UINT64_MAX}, owned_since, now_);
    std::erase_if(given.entries, [&](const auto& entry) { return range_of(entry.hash) != range; });
    if (settings_.faults.hide_hand_over) given.entries.clear();
    return given;
  }

  void handle(const ownership_begins& event) {
    owner_of_[event.range] = event.owner;
    owners_[event.owner].ranges[event.range] = {true, false, event.view};
    for (std::uint32_t ingress = 0; ingress < settings_.agents; ++ingress)
      add(random_duration(0, 200),
          view_changes{ingress, event.range, event.owner, event.view.fence});
  }

  void handle(const view_changes& event) {
    routed_owner& cached = views_[event.ingress][event.range];
    if (event.fence > cached.fence) cached = {event.owner, event.fence};
  }

  fence_token next_fence(std::uint32_t /*range*/) { return {1, ++last_sequence_}; }

  void check_invariants() {
    for (const chain_call& call : calls_) {
      if (call.idempotent) continue;
      if (call.runs > 1) ++found_.double_runs;
      if (call.runs > 0 && call.first_attempt_run <= call.not_run_reported) ++found_.false_not_run;
    }
    for (const chain_owner& owner : owners_) {
      const requests::gate_counts& gate = owner.gate.counts();
      found_.floors_broken += gate.floor_broken;
      found_.queue_bounds_broken += gate.queue_bound_broken;
      found_.late_starts += gate.started_late;
      found_.key_bounds_broken += gate.key_bound_broken;
      const requests::ledger_counts& ledger = owner.ledger.counts();
      found_.ledger_bounds_broken += ledger.over_capacity + ledger.evicted_early;
    }
    found_.calls = calls_.size();
  }

  chain_settings settings_;
  draws random_;
  time_point now_{std::chrono::seconds{100}};
  time_point settled_after_ = time_point::max();
  event_queue<chain_event> events_;
  std::vector<chain_call> calls_;
  std::vector<chain_attempt> attempts_;
  std::vector<chain_forward> forwards_;
  std::vector<chain_owner> owners_;
  std::vector<requests::retry_policy> retries_;
  std::vector<requests::answer_match> matches_;
  std::vector<std::vector<routed_owner>> views_;
  std::vector<std::uint32_t> owner_of_;
  std::uint64_t last_sequence_ = 0;
  chain_findings found_;
};

}  // namespace masticshunt::testing
