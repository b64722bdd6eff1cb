#include "fleet/internal/gate_service.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

#include "fleet/internal/spawn.h"
#include "masticshunt/support/clock.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration key_poll_interval = std::chrono::milliseconds{15};
/// Share of the remaining time that a request may wait for its key.
constexpr double key_wait_share = 0.25;
constexpr duration answer_grace = std::chrono::milliseconds{40};
/// Assumed length of a body without Content-Length.
constexpr std::uint64_t body_length_default = 64 * 1024;
constexpr std::chrono::milliseconds body_retry_after{300};
constexpr double service_time_weight = 0.05;
constexpr duration idle_limit_default = std::chrono::seconds{4};
constexpr duration idle_limit_margin = std::chrono::milliseconds{1'500};
/// An older statement about the present speed says nothing to others.
constexpr duration slowdown_lifetime = std::chrono::milliseconds{300};
constexpr std::chrono::milliseconds evacuated_retry_after{300};
constexpr std::chrono::milliseconds heartbeat_retry_after{200};
constexpr unsigned first_failure_status = 300;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

std::optional<duration> answer_idle_limit(const answer_head& head) {
  const auto limit = platform::read_answer_metadata(head.result_int(), head).idle_limit;
  if (!limit) return std::nullopt;
  return std::max<duration>(*limit - idle_limit_margin, std::chrono::milliseconds{500});
}

bool claims_not_run(unsigned status) {
  return status == status_timeout || status == status_misdirected || status == status_too_many ||
         status == status_unavailable;
}

}  // namespace

gate_service::gate_service(const asio::any_io_executor& executor, gate_settings settings,
                           support::event_log& log, support::metrics_registry& metrics)
    : executor_(executor),
      settings_(std::move(settings)),
      log_(log),
      metrics_(metrics),
      pool_(executor, {.idle_limit = idle_limit_default}),
      transfers_({.bytes_per_second = settings_.link_bytes_per_second}),
      queue_(requests::admission_settings{}),
      limit_timer_(executor) {
  pool_.on_refused([this](const endpoint&) { connection_refused_at_ = boot_now(); });
}

void gate_service::update_upstream(std::optional<routing::upstream_incarnation> incarnation,
                                   const std::string& service, std::uint32_t slots) {
  if (incarnation != incarnation_) {
    pool_.drop_idle(settings_.upstream);
    connect_failures_ = 0;
  }
  if (incarnation && incarnation != last_incarnation_) {
    if (last_incarnation_) queue_.reset_limit();
    last_incarnation_ = incarnation;
  }
  incarnation_ = std::move(incarnation);
  service_ = service;
  if (slots == slots_) return;
  slots_ = slots;
  queue_.set_slots(slots);
}

void gate_service::tick(time_point now) {
  pool_.sweep(now);
  if (probe_is_due(now)) spawn(executor_, probe_cold());
  if (queue_.waiting() == 0) return;
  requests::admission_actions actions;
  queue_.tick(now, actions);
  carry_out(actions);
}

routing::load_report gate_service::load() const {
  const auto now = boot_now();
  return {.running = static_cast<std::uint32_t>(queue_.running()),
          .waiting = static_cast<std::uint32_t>(queue_.waiting()),
          .slots = slots_,
          .service_time = service_time_,
          .request_limit = queue_.rate(now),
          .limit_wait = queue_.expected_limit_wait(now),
          .leaving = draining_since_ ? incarnation_ : std::nullopt,
          .slowdown = now - slowdown_at_ < slowdown_lifetime ? slowdown_ : 1};
}

std::uint32_t gate_service::usable_slots() const {
  const auto limit = queue_.rate(boot_now());
  if (!limit || service_time_ == duration{}) return slots_;
  const double busy = *limit * std::chrono::duration<double>(service_time_).count();
  return std::clamp(static_cast<std::uint32_t>(std::lround(std::min<double>(busy, slots_))), 1U,
                    slots_);
}

double gate_service::retry_share() const {
  return static_cast<double>(retries_running_) /
         static_cast<double>(std::max<std::size_t>(queue_.running(), 1));
}

std::vector<claims::key_load> gate_service::key_loads(time_point now) {
  std::vector<claims::key_range> ranges;
  if (holder_ == nullptr) return {};
  for (const auto& each : holder_->map().claims)
    if (holder_->state_of(each.keys.first, now) == claims::hold_state::held)
      ranges.push_back(each.keys);
  return meter_.loads(ranges, service_time_, now);
}

std::optional<attempt_outcome> gate_service::refusal_if_closed(const attempt& request,
                                                               time_point now) const {
  if (request.service != service_) return refused(refusal::no_upstream);
  if (!incarnation_ && awaits_heartbeat_)
    return refused(refusal::no_upstream, heartbeat_retry_after,
                   "no heartbeat since the agent started");
  if (!incarnation_) return refused(refusal::no_upstream);
  const bool draining = draining_since_ && now >= *draining_since_ + settings_.drain / 2;
  if (stopping_ || draining) return refused(refusal::leaving);
  const bool moves_on = request.key && holder_ != nullptr;
  const auto closes_after = moves_on ? settings_.evacuation_handover : duration{};
  if (evacuated_since_ && now >= *evacuated_since_ + closes_after)
    return refused(refusal::evacuated, evacuated_retry_after);
  if (region_allowed_ && !region_allowed_(request)) return refused(refusal::region);
  return std::nullopt;
}

bool gate_service::may_get_key_after_heartbeat(const attempt& request) const {
  return awaits_heartbeat_ && request.service == service_ && request.key && holder_ != nullptr;
}

asio::awaitable<attempt_outcome> gate_service::serve(std::shared_ptr<attempt> request) {
  const auto arrived = boot_now();
  std::optional<time_point> began;
  auto outcome = co_await admit_and_send(request, began);
  if (outcome.result == attempt_result::not_run && outcome.detail.empty())
    outcome.detail = refusal_detail(*request, arrived);
  record(*request, outcome, arrived, began);
  co_return outcome;
}

asio::awaitable<attempt_outcome> gate_service::admit_and_send(std::shared_ptr<attempt> request,
                                                              std::optional<time_point>& began) {
  ++counts_.offered;
  if (request->request_limit) queue_.limit_learned(*request->request_limit, boot_now());
  std::optional<attempt_outcome> refusal_outcome;
  if (!may_get_key_after_heartbeat(*request))
    refusal_outcome = refusal_if_closed(*request, boot_now());
  if (!refusal_outcome && request->key && holder_ != nullptr) {
    refusal_outcome = co_await await_key(request);
    if (!refusal_outcome) {
      meter_.arrived(*request->key, boot_now());
      refusal_outcome = refusal_if_closed(*request, boot_now());
    }
  }
  if (refusal_outcome) {
    ++counts_.refused;
    if (refusal_outcome->why == refusal::evacuated) ++counts_.refused_evacuated;
    if (refusal_outcome->why == refusal::region) ++counts_.refused_region;
    co_return std::move(*refusal_outcome);
  }
  const auto id = next_id_++;
  if (auto refusal = co_await await_body(request, id)) {
    ++counts_.refused;
    co_return std::move(*refusal);
  }
  if (auto refusal = co_await await_admission(request, id)) {
    ++counts_.refused;
    co_return std::move(*refusal);
  }
  began = boot_now();
  if (request->retry) ++retries_running_;
  auto outcome = co_await send(request);
  if (request->retry) --retries_running_;
  const auto now = boot_now();
  const bool ran = outcome.result == attempt_result::answered;
  if (ran) {
    outcome.ran_for = now - *began;
    update_service_time(outcome.ran_for);
  }
  requests::admission_actions actions;
  queue_.finished(id, ran, now, actions);
  carry_out(actions);
  ++(ran                                         ? counts_.answered
     : outcome.result == attempt_result::not_run ? counts_.refused
                                                 : counts_.lost);
  co_return outcome;
}

asio::awaitable<std::optional<attempt_outcome>> gate_service::await_key(
    std::shared_ptr<attempt> request) {
  const auto began = boot_now();
  const auto share =
      std::chrono::duration_cast<duration>((request->deadline - began) * key_wait_share);
  const claims::claim* range = holder_->map().find(*request->key);
  const auto name = std::to_string(range == nullptr ? *request->key : range->keys.first);
  const auto until = began + std::min(range_outages_.wait_limit(name, began), share);
  asio::steady_timer poll(executor_);
  for (;;) {
    const auto now = boot_now();
    const auto state = holder_->state_of(*request->key, now);
    if (state == claims::hold_state::held) {
      range_outages_.report_available(name);
      co_return std::nullopt;
    }
    const claims::claim* claim = holder_->map().find(*request->key);
    // If the ingress agent has a newer map, the key may be about to be granted here.
    const bool ingress_map_newer = request->map_revision > holder_->map().revision;
    if (state == claims::hold_state::not_owned && !ingress_map_newer) {
      auto outcome = refused(refusal::not_owner);
      if (claim != nullptr) outcome.owner = owner_hint{*claim, holder_->map().revision};
      co_return outcome;
    }
    if (request->cancel->requested())
      co_return attempt_outcome{.result = attempt_result::cancelled};
    range_outages_.report_unavailable(name, now);
    if (now >= until) co_return refused(refusal::owner_pending, std::chrono::milliseconds{100});
    boost::system::error_code ignored;
    poll.expires_after(key_poll_interval);
    co_await poll.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<std::optional<attempt_outcome>> gate_service::await_body(
    std::shared_ptr<attempt> request, requests::transfer_id id) {
  if (!request->send_continue) co_return std::nullopt;
  const auto pending = std::make_shared<waiter>(executor_);
  transfer_waiters_[id] = pending;
  requests::transfer_actions actions;
  transfers_.offer({.id = id,
                    .bytes = request->body->length().value_or(body_length_default),
                    .deadline = request->deadline},
                   boot_now(), actions);
  carry_out(actions);
  request->cancel->on_request([pending] {
    pending->cancelled = true;
    pending->changed.cancel();
  });
  boost::system::error_code ignored;
  pending->changed.expires_after(request->deadline - boot_now());
  if (!pending->started && !pending->refused)
    co_await pending->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  std::optional<attempt_outcome> result;
  if (pending->refused) result = refused(refusal::overloaded, body_retry_after, "the link is full");
  if (pending->started && !pending->cancelled) {
    request->send_continue();
    request->body->on_change([pending, body = request->body.get()] {
      if (body->ready()) pending->changed.cancel();
    });
    pending->changed.expires_after(request->deadline - boot_now());
    if (!request->body->ready())
      co_await pending->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    request->body->on_change(nullptr);
  }
  request->cancel->clear();
  transfer_waiters_.erase(id);
  transfers_.abandoned(id);
  requests::transfer_actions freed;
  transfers_.finished(id, freed);
  carry_out(freed);
  if (result) co_return result;
  if (pending->cancelled || request->cancel->requested() || request->body->failed())
    co_return attempt_outcome{.result = attempt_result::cancelled};
  if (!request->body->ready()) co_return refused(refusal::overloaded, {}, "the body came too late");
  co_return std::nullopt;
}

void gate_service::carry_out(const requests::transfer_actions& actions) {
  for (const auto& each : actions) {
    const auto found = transfer_waiters_.find(each.id);
    if (found == transfer_waiters_.end()) continue;
    if (each.decision == requests::transfer_action::kind::start)
      found->second->started = true;
    else
      found->second->refused = duration{};
    found->second->changed.cancel();
  }
}

asio::awaitable<std::optional<attempt_outcome>> gate_service::await_admission(
    std::shared_ptr<attempt> request, requests::admission_id id) {
  const auto pending = std::make_shared<waiter>(executor_);
  waiters_[id] = pending;
  requests::admission_actions actions;
  queue_.offer({.id = id,
                .rank = request->rank,
                .target = request->latency_target,
                .target_time = request->target_time,
                .deadline = request->deadline},
               boot_now(), actions);
  carry_out(actions);
  if (!pending->started && !pending->refused) {
    request->cancel->on_request([pending] {
      pending->cancelled = true;
      pending->changed.cancel();
    });
    boost::system::error_code ignored;
    pending->changed.expires_at(std::chrono::steady_clock::time_point::max());
    co_await pending->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    request->cancel->clear();
  }
  waiters_.erase(id);
  const auto now = boot_now();
  if (pending->refused)
    co_return refused(refusal::overloaded,
                      std::chrono::duration_cast<std::chrono::milliseconds>(*pending->refused));
  std::optional<attempt_outcome> refusal_outcome;
  if (pending->cancelled || request->cancel->requested())
    refusal_outcome = attempt_outcome{.result = attempt_result::cancelled};
  else if (pending->started)
    refusal_outcome = refusal_if_closed(*request, now);
  if (!refusal_outcome) co_return std::nullopt;
  requests::admission_actions freed;
  if (pending->started)
    queue_.finished(id, false, now, freed);
  else
    queue_.abandoned(id);
  carry_out(freed);
  co_return refusal_outcome;
}

void gate_service::carry_out(const requests::admission_actions& actions) {
  for (const auto& each : actions) {
    const auto found = waiters_.find(each.id);
    if (found == waiters_.end()) continue;
    if (each.decision == requests::admission_action::kind::start)
      found->second->started = true;
    else
      found->second->refused = each.retry_after;
    found->second->changed.cancel();
  }
  await_limit();
}

void gate_service::await_limit() {
  const auto wait = queue_.limit_wait(boot_now());
  if (!wait) return;
  limit_timer_.expires_after(*wait);
  limit_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    requests::admission_actions actions;
    queue_.tick(boot_now(), actions);
    carry_out(actions);
  });
}

asio::awaitable<attempt_outcome> gate_service::send(std::shared_ptr<attempt> request) {
  const auto now = boot_now();
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(request->deadline - now);
  if (remaining < std::chrono::milliseconds{1}) co_return refused(refusal::overloaded);
  if (draining_since_ && now > *draining_since_ + settings_.drain) ++counts_.sent_after_drain;
  const auto incarnation = *incarnation_;
  exchange_request http_request{
      .head = request->method + ' ' + request->target + " HTTP/1.1\r\n" + request->headers +
              platform::upstream_headers(remaining, incarnation.id, request->caller_service),
      .body = request->body,
      .is_head = request->method == "HEAD",
      .answer_held = request->answer_share.hold(),
      .id = request->id,
      .id_of = [](const answer_head& head) { return platform::answer_id(head); },
      .answer_key = request->id,
      .answer_key_until = request->deadline,
      .idle_limit_of = &answer_idle_limit,
      .deadline = request->deadline + answer_grace};
  auto exchange =
      co_await run_exchange(pool_, settings_.upstream, std::move(http_request), *request->cancel);
  const bool not_connected = exchange.result == exchange_result::not_connected;
  connect_failures_ = not_connected ? connect_failures_ + 1 : 0;
  if (not_connected) {
    // It may start again, under the same id, before its next heartbeat.
    const bool cold_before = cold();
    queue_.start_up().state_unknown(boot_now());
    slow_start_changed(cold_before);
  }
  co_return classify(*request, std::move(exchange), incarnation);
}

attempt_outcome gate_service::classify(const attempt& request, exchange_outcome exchange,
                                       const routing::upstream_incarnation& incarnation) {
  attempt_outcome outcome{.reached_upstream = exchange.result != exchange_result::not_connected,
                          .detail = std::move(exchange.detail)};
  switch (exchange.result) {
    case exchange_result::not_connected:
    case exchange_result::too_late:
      outcome.result = attempt_result::not_run;
      outcome.why = refusal::no_upstream;
      return outcome;
    case exchange_result::cancelled:
      outcome.result = attempt_result::cancelled;
      return outcome;
    case exchange_result::broken:
    case exchange_result::malformed:
    case exchange_result::timed_out:
      outcome.result = attempt_result::may_have_run;
      return outcome;
    case exchange_result::answered:
      break;
  }
  const auto metadata = platform::read_answer_metadata(exchange.status, exchange.head);
  note_statements(metadata, incarnation);
  // On a kept connection it may be the late copy of an earlier refusal.
  if (metadata.not_run && metadata.id.empty() && exchange.reused) {
    outcome.result = attempt_result::may_have_run;
    outcome.detail = "refusal without the request's id on a kept connection";
    return outcome;
  }
  if (metadata.not_run) {
    outcome.result = attempt_result::not_run;
    outcome.why = refusal::shed;
    if (exchange.status == status_misdirected && request.key) {
      outcome.why = refusal::owner_pending;
      if (on_missing_key_) on_missing_key_(*request.key);
    }
    return outcome;
  }
  const bool untrustworthy =
      metadata.encoded || (!metadata.is_signed && (exchange.status < first_failure_status ||
                                                   claims_not_run(exchange.status)));
  if (untrustworthy || (exchange.body && exchange.body->failed())) {
    outcome.result = attempt_result::may_have_run;
    outcome.detail = "answer without signature or not the upstream's own body";
    return outcome;
  }
  outcome.result = attempt_result::answered;
  outcome.status = exchange.status;
  outcome.headers = headers_for_caller(exchange.head);
  outcome.body = std::move(exchange.body);
  return outcome;
}

void gate_service::note_statements(const platform::answer_metadata& answer,
                                   const routing::upstream_incarnation& incarnation) {
  // An answer may come after another incarnation has taken over.
  if (answer.wrong_incarnation || incarnation != last_incarnation_) return;
  note_limit(answer);
  if (answer.load) {
    slowdown_ = answer.load->slowdown;
    slowdown_at_ = boot_now();
  }
  if (answer.leaving && on_leaving_) on_leaving_(incarnation);
}

void gate_service::note_limit(const platform::answer_metadata& answer) {
  const auto now = boot_now();
  if (answer.request_limit_unreadable && !answer.request_limit) {
    support::event_text line("upstream_limit_unreadable");
    line.add("upstream", upstream_id());
    log_.line(support::line_class::process, line.text(), now);
    return;
  }
  const auto before = queue_.limit();
  requests::admission_actions actions;
  queue_.limit_answered(answer.request_limit, now, actions);
  carry_out(actions);
  if (queue_.limit() == before) return;
  support::event_text line("upstream_limit");
  line.add("upstream", upstream_id())
      .add("per_second", queue_.limit())
      .add("before", before)
      .add("running", queue_.running())
      .add("waiting", queue_.waiting())
      .add("refused", refused_limited());
  log_.line(support::line_class::process, line.text(), now);
}

void gate_service::update_service_time(duration run_time) {
  if (service_time_ == duration{}) {
    service_time_ = run_time;
    return;
  }
  service_time_ +=
      std::chrono::duration_cast<duration>((run_time - service_time_) * service_time_weight);
}

}  // namespace masticshunt::fleet
