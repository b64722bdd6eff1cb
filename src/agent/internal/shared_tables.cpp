#include "agent/internal/shared_tables.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "masticshunt/support/clock.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
using requests::refusal_reason;

namespace {

/// The name under which the outlier detector tracks the local upstream, its only member.
constexpr std::string_view own_upstream = "upstream";
/// Ranks with a longer target and requests with larger bodies may take long at a healthy upstream,
/// so their results are not reported to the outlier detector.
constexpr std::chrono::milliseconds health_target_max{1'000};
constexpr std::uint64_t health_body_bytes_max = 64 * 1024;

requests::attempt_id attempt_of(const requests::gate_action& action) {
  return std::visit([](const auto& each) { return each.attempt; }, action);
}

/// Returns `result`, or `cancelled` for a timeout within `health_target_max`: the caller's deadline
/// was too short to say anything about the health of the upstream.
requests::attempt_result result_for_health(const local_permit& permit,
                                           requests::attempt_result result, time_point now) {
  const bool too_short =
      result == requests::attempt_result::timed_out && now - permit.granted_at < health_target_max;
  return too_short ? requests::attempt_result::cancelled : result;
}

/// Delivers a decision of the gate to the waiting session, on the session's executor.
void deliver(const std::shared_ptr<gate_waiter>& waiter, const requests::gate_action& action) {
  asio::post(waiter->executor, [waiter, action] {
    if (std::holds_alternative<requests::cancel_attempt>(action) && waiter->cancel) {
      waiter->cancel();
    }
    waiter->verdict = action;
    waiter->wake.cancel();
  });
}

}  // namespace

shared_tables::shared_tables(ownership::core_settings core, requests::retry_settings retry,
                             event_sink sink)
    : sink_(std::move(sink)),
      core_(std::move(core)),
      gate_(requests::gate_settings{{{"default", 0, 1, std::chrono::seconds{1}}}, 1, 1}),
      ledger_(requests::ledger_settings{}),
      health_(requests::outlier_settings{}),
      retry_(retry) {
  health_.add_member(own_upstream, false, boot_now());
}

ownership::actions shared_tables::handle(const ownership::event& event, time_point now) {
  const std::scoped_lock guard(core_lock_);
  return core_.handle(event, now);
}

std::optional<ownership::route_answer> shared_tables::route(std::string_view service,
                                                            key_hash hash) const {
  const std::scoped_lock guard(core_lock_);
  return core_.route(service, hash);
}

bool shared_tables::accepts_callers() const {
  const std::scoped_lock guard(core_lock_);
  return core_.accepts_callers();
}

asio::awaitable<local_verdict> shared_tables::admit(requests::request_descriptor request,
                                                    std::shared_ptr<const service_view> service,
                                                    asio::any_io_executor executor) {
  request.attempt = next_attempt_++;
  std::optional<ownership::admission_ticket> ticket;
  {
    const std::scoped_lock guard(core_lock_);
    ticket = core_.admit(service->record.name, request.hash, boot_now());
  }
  if (!ticket) {
    co_return local_refusal{requests::outcome::not_run, refusal_reason::not_owner, {}};
  }
  auto waiter = std::make_shared<gate_waiter>(executor);
  requests::gate_actions actions;
  {
    const std::scoped_lock guard(gate_lock_);
    if (!request.idempotent) {
      const auto verdict = ledger_.begin(
          request, requests::ownership_view{ticket->owned_since, ticket->token}, boot_now());
      if (const auto* answered = std::get_if<requests::already_answered>(&verdict)) {
        co_return *answered;
      }
      if (const auto* refused = std::get_if<requests::must_not_run>(&verdict)) {
        co_return local_refusal{refused->outcome, refused->reason, {}};
      }
    }
    waiters_[request.attempt] = waiter;
    actions = gate_.offer(request, boot_now());
    const auto own_action = std::ranges::find(actions, request.attempt, attempt_of);
    if (own_action != actions.end()) waiter->verdict = *own_action;
  }
  perform(actions);
  while (!waiter->verdict) {
    waiter->wake.expires_at(asio::steady_timer::time_point::max());
    co_await waiter->wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (const auto* refused = std::get_if<requests::refuse_attempt>(&*waiter->verdict)) {
    abandon_attempt(request);
    co_return local_refusal{requests::outcome::not_run, refused->reason, refused->retry_after};
  }
  if (std::holds_alternative<requests::cancel_attempt>(*waiter->verdict)) {
    release_slot(request);
    co_return local_refusal{requests::outcome::not_run, refusal_reason::deadline_passed, {}};
  }
  std::optional<ownership::admission_ticket> renewed;
  if (!enter_range(request, *ticket, renewed)) {
    release_slot(request);
    co_return local_refusal{requests::outcome::not_run, refusal_reason::not_owner, {}};
  }
  co_return make_permit(request, *renewed, *service, waiter);
}

void shared_tables::release_slot(const requests::request_descriptor& request) {
  abandon_attempt(request);
  requests::gate_actions actions;
  {
    const std::scoped_lock guard(gate_lock_);
    actions = gate_.finished(request.attempt, requests::attempt_result::cancelled, boot_now());
  }
  perform(actions);
}

local_permit shared_tables::make_permit(const requests::request_descriptor& request,
                                        const ownership::admission_ticket& ticket,
                                        const service_view& service,
                                        std::shared_ptr<gate_waiter> waiter) {
  const bool short_target = request.rank >= service.ranks.size() ||
                            service.ranks[request.rank].target <= health_target_max;
  const std::scoped_lock guard(gate_lock_);
  local_permit permit{request,
                      ticket,
                      upstream_.value_or(ownership::upstream_description{}),
                      request.deadline,
                      std::move(waiter),
                      false,
                      boot_now()};
  permit.counts_for_health = short_target && request.body_bytes <= health_body_bytes_max;
  if (!permit.upstream.checks_fences) {
    permit.deadline = std::min(permit.deadline, ticket.lease_end);
  }
  if (permit.counts_for_health) health_.sent(own_upstream, boot_now());
  return permit;
}

bool shared_tables::enter_range(const requests::request_descriptor& request,
                                const ownership::admission_ticket& ticket,
                                std::optional<ownership::admission_ticket>& renewed) {
  const std::scoped_lock core_guard(core_lock_);
  renewed = core_.admit(request.service, request.hash, boot_now());
  if (!renewed || renewed->token != ticket.token || renewed->owned_since != ticket.owned_since) {
    return false;
  }
  const std::scoped_lock gate_guard(gate_lock_);
  const auto found = std::ranges::find(running_ranges_, renewed->range,
                                       &std::pair<hash_range, std::size_t>::first);
  if (found == running_ranges_.end()) {
    running_ranges_.emplace_back(renewed->range, 1);
  } else {
    ++found->second;
  }
  return true;
}

void shared_tables::leave_range(const hash_range& range) {
  const auto found =
      std::ranges::find(running_ranges_, range, &std::pair<hash_range, std::size_t>::first);
  if (found == running_ranges_.end()) return;
  if (--found->second > 0) return;
  running_ranges_.erase(found);
  if (std::erase(draining_ranges_, range) > 0) sink_(ownership::range_idle{range});
}

void shared_tables::finish_range(const hash_range& range) {
  bool idle = false;
  {
    const std::scoped_lock guard(gate_lock_);
    idle = std::ranges::find(running_ranges_, range, &std::pair<hash_range, std::size_t>::first) ==
           running_ranges_.end();
    if (!idle) draining_ranges_.push_back(range);
  }
  if (idle) sink_(ownership::range_idle{range});
}

void shared_tables::abandon_attempt(const requests::request_descriptor& request) {
  const std::scoped_lock guard(gate_lock_);
  waiters_.erase(request.attempt);
  if (!request.idempotent) {
    ledger_.ended(request, requests::execution_status::did_not_run, {}, boot_now());
  }
}

void shared_tables::finish(const local_permit& permit, requests::attempt_result result,
                           requests::execution_status execution,
                           requests::already_answered response) {
  requests::gate_actions actions;
  {
    const std::scoped_lock guard(gate_lock_);
    waiters_.erase(permit.request.attempt);
    if (!permit.request.idempotent) {
      ledger_.ended(permit.request, execution, std::move(response), boot_now());
    }
    leave_range(permit.ticket.range);
    if (permit.counts_for_health) {
      health_.ended(own_upstream, result_for_health(permit, result, boot_now()), boot_now());
    }
    actions = gate_.finished(permit.request.attempt, result, boot_now());
  }
  perform(actions);
  check_upstream_health(boot_now());
}

void shared_tables::check_upstream_health(time_point now) {
  {
    const std::scoped_lock guard(gate_lock_);
    if (!upstream_ || health_.ejected(now) == 0) return;
    upstream_.reset();
  }
  sink_(ownership::upstream_lost{"its requests failed or timed out"});
}

bool shared_tables::upstream_healthy(time_point now) const {
  const std::scoped_lock guard(gate_lock_);
  return health_.ejected(now) == 0;
}

bool shared_tables::still_owned(const local_permit& permit) {
  const std::scoped_lock guard(core_lock_);
  const auto ticket = core_.admit(permit.request.service, permit.request.hash, boot_now());
  return ticket && ticket->token == permit.ticket.token;
}

void shared_tables::perform(const requests::gate_actions& actions) {
  std::vector<std::pair<std::shared_ptr<gate_waiter>, requests::gate_action>> deliveries;
  {
    const std::scoped_lock guard(gate_lock_);
    for (const auto& action : actions) {
      const auto found = waiters_.find(attempt_of(action));
      if (found != waiters_.end()) deliveries.emplace_back(found->second, action);
    }
  }
  for (const auto& [waiter, action] : deliveries) deliver(waiter, action);
}

requests::gate_settings shared_tables::gate_settings_of(
    const ownership::upstream_description& upstream) const {
  requests::gate_settings settings;
  settings.slots = upstream.slots;
  const auto service = catalog_.find(upstream.service);
  settings.ranks = to_rank_policies(service ? *service : service_view{});
  return settings;
}

void shared_tables::record_in_force(const ownership::store_object& object) {
  catalog_.apply(object);
  std::optional<ownership::upstream_description> upstream;
  {
    const std::scoped_lock guard(gate_lock_);
    upstream = upstream_;
  }
  if (upstream) upstream_announced(*upstream);
}

void shared_tables::upstream_announced(const ownership::upstream_description& upstream) {
  const auto settings = gate_settings_of(upstream);
  const std::scoped_lock guard(gate_lock_);
  upstream_ = upstream;
  gate_.reconfigure(settings, boot_now());
}

void shared_tables::upstream_refused_connection(const ownership::upstream_description& upstream) {
  {
    const std::scoped_lock guard(gate_lock_);
    if (!upstream_ || *upstream_ != upstream) return;
    upstream_.reset();
  }
  sink_(ownership::upstream_lost{"it refused a connection"});
}

bool shared_tables::has_upstream() const {
  const std::scoped_lock guard(gate_lock_);
  return upstream_.has_value();
}

void shared_tables::tick(time_point now) {
  requests::gate_actions actions;
  {
    const std::scoped_lock guard(gate_lock_);
    if (gate_.waiting() == 0 && gate_.running() == 0) return;
    actions = gate_.tick(now);
    health_.tick(now);
  }
  perform(actions);
  check_upstream_health(now);
}

void shared_tables::first_attempt() {
  const std::scoped_lock guard(retry_lock_);
  retry_.first_attempt();
}

std::optional<duration> shared_tables::retry_delay(const requests::request_descriptor& request,
                                                   const requests::failed_attempt& last,
                                                   double jitter, time_point now) {
  const std::scoped_lock guard(retry_lock_);
  return retry_.next_delay(request, last, jitter, now);
}

std::size_t shared_tables::running() const {
  const std::scoped_lock guard(gate_lock_);
  return gate_.running();
}

std::string shared_tables::dump(time_point now) const {
  const auto parsed = [](const std::string& text) {
    return nlohmann::json::parse(text, nullptr, false);
  };
  nlohmann::json state;
  {
    const std::scoped_lock guard(core_lock_);
    state["ownership"] = parsed(core_.dump(now));
  }
  {
    const std::scoped_lock guard(gate_lock_);
    state["gate"] = parsed(gate_.dump(now));
    state["repeat_ledger"]["identities"] = ledger_.size();
  }
  state["requests"] = {{"served", counts.served.load()},
                       {"not_run", counts.not_run.load()},
                       {"may_have_run", counts.may_have_run.load()},
                       {"failed", counts.failed.load()},
                       {"forwarded", counts.forwarded.load()},
                       {"retries", counts.retries.load()},
                       {"redirects", counts.redirects.load()}};
  return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace masticshunt::agent
