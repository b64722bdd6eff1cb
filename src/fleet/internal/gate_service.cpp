#include "fleet/internal/gate_service.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "masticshunt/support/clock.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration key_wait_step = std::chrono::milliseconds{15};
constexpr double key_wait_share = 0.25;  // of the time left
constexpr duration answer_grace = std::chrono::milliseconds{40};
/// Taken for the length of a body that states none.
constexpr std::uint64_t body_length_unstated = 64 * 1024;
constexpr std::chrono::milliseconds body_retry_after{300};
constexpr double service_time_step = 0.05;
constexpr duration idle_limit_unstated = std::chrono::seconds{4};
constexpr duration idle_limit_margin = std::chrono::milliseconds{1'500};
constexpr unsigned first_failure_status = 300;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_wrong_place = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

std::string stated_id(const answer_head& head) {
  return platform::read_answer_metadata(head.result_int(), head).id;
}

std::optional<duration> stated_idle_limit(const answer_head& head) {
  const auto limit = platform::read_answer_metadata(head.result_int(), head).idle_limit;
  if (!limit) return std::nullopt;
  return std::max<duration>(*limit - idle_limit_margin, std::chrono::milliseconds{500});
}

bool promises_not_run(unsigned status) {
  return status == status_timeout || status == status_wrong_place || status == status_too_many ||
         status == status_unavailable;
}

}  // namespace

gate_service::gate_service(const asio::any_io_executor& executor, gate_settings settings,
                           support::event_log& log, support::metrics_registry& metrics)
    : executor_(executor),
      settings_(std::move(settings)),
      log_(log),
      metrics_(metrics),
      pool_(executor, {.idle_limit = idle_limit_unstated}),
      transfers_({.bytes_per_second = settings_.link_bytes_per_second}),
      queue_(requests::admission_settings{}) {}

void gate_service::update_upstream(std::optional<routing::upstream_incarnation> incarnation,
                                   const std::string& service, std::uint32_t slots) {
  if (incarnation != incarnation_) {
    pool_.drop_idle(settings_.upstream);
    connect_failures_ = 0;
  }
  incarnation_ = std::move(incarnation);
  service_ = service;
  if (slots == slots_) return;
  slots_ = slots;
  queue_.set_slots(slots);
}

void gate_service::tick(time_point now) {
  pool_.sweep(now);
  if (queue_.waiting() == 0) return;
  requests::admission_actions actions;
  queue_.tick(now, actions);
  carry_out(actions);
}

routing::load_report gate_service::load() const {
  return {.running = static_cast<std::uint32_t>(queue_.running()),
          .waiting = static_cast<std::uint32_t>(queue_.waiting()),
          .slots = slots_,
          .service_time = service_time_};
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

std::optional<attempt_outcome> gate_service::closed_for(const attempt& what, time_point now) const {
  if (!incarnation_ || what.service != service_) return refused(refusal::no_upstream);
  const bool leaves = draining_since_ && now >= *draining_since_ + settings_.drain / 2;
  if (stopping_ || leaves) return refused(refusal::leaving);
  return std::nullopt;
}

asio::awaitable<attempt_outcome> gate_service::serve(std::shared_ptr<attempt> what) {
  const auto arrived = boot_now();
  std::optional<time_point> began;
  auto outcome = co_await admit_and_send(what, began);
  if (outcome.result == attempt_result::not_run && outcome.detail.empty())
    outcome.detail = refusal_detail(*what, arrived);
  record(*what, outcome, arrived, began);
  co_return outcome;
}

std::string gate_service::refusal_detail(const attempt& what, time_point arrived) const {
  const auto now = boot_now();
  support::event_text text("gate");
  text.add("waited_ms", now - arrived)
      .add("running", queue_.running())
      .add("waiting", queue_.waiting())
      .add("slots", slots_);
  if (what.key && holder_ != nullptr)
    text.add("right_ms", holder_->lease_end() - now).add("gate_map", holder_->map().revision);
  return text.text();
}

void gate_service::record(const attempt& what, const attempt_outcome& outcome, time_point arrived,
                          std::optional<time_point> began) {
  const auto now = boot_now();
  metrics_
      .make_counter({"masticshunt_gate_requests_total",
                     "Requests at the gate by result and reason",
                     {{"result", std::string(to_string(outcome.result))},
                      {"why", std::string(to_string(outcome.why))}}})
      .add();
  metrics_.make_latency({"masticshunt_gate_wait_seconds", "Time before a request is sent on", {}})
      .record(began.value_or(now) - arrived);
  if (began)
    metrics_.make_latency({"masticshunt_upstream_seconds", "Time that the upstream takes", {}})
        .record(now - *began);
  const bool served =
      outcome.result == attempt_result::answered && outcome.status < first_server_error;
  const auto kind = served ? support::line_class::success : support::line_class::failure;
  if (!log_.admits(kind, now)) return;
  support::event_text line("gate");
  line.add("id", what.id).add("service", what.service);
  if (what.key) line.add("key", *what.key);
  line.add("result", to_string(outcome.result))
      .add("why", to_string(outcome.why))
      .add("status", outcome.status)
      .add("reached", outcome.reached_upstream ? "yes" : "no")
      .add("upstream", incarnation_ ? incarnation_->id : "none")
      .add("waited_ms", began.value_or(now) - arrived)
      .add("ran_ms", began ? now - *began : duration{})
      .add("left_ms", what.deadline - now)
      .add("target_left_ms", what.target_time - now)
      .add("rank", what.rank)
      .add("running", queue_.running())
      .add("waiting", queue_.waiting())
      .add("slots", slots_)
      .add("usual_ms", service_time_);
  if (what.key && holder_ != nullptr)
    line.add("map", holder_->map().revision)
        .add("entry_map", what.map_revision)
        .add("right_ms", holder_->lease_end() - now);
  line.add_quoted("detail", outcome.detail);
  log_.write_admitted(line.text());
}

asio::awaitable<attempt_outcome> gate_service::admit_and_send(std::shared_ptr<attempt> what,
                                                              std::optional<time_point>& began) {
  ++counts_.offered;
  auto closed = closed_for(*what, boot_now());
  if (!closed && what->key && holder_ != nullptr) {
    closed = co_await await_key(what);
    if (!closed) {
      meter_.arrived(*what->key, boot_now());
      closed = closed_for(*what, boot_now());
    }
  }
  if (closed) {
    ++counts_.refused;
    co_return std::move(*closed);
  }
  const auto number = next_number_++;
  if (auto refusal = co_await await_body(what, number)) {
    ++counts_.refused;
    co_return std::move(*refusal);
  }
  if (auto refusal = co_await await_admission(what, number)) {
    ++counts_.refused;
    co_return std::move(*refusal);
  }
  began = boot_now();
  if (what->retry) ++retries_running_;
  auto outcome = co_await send(what);
  if (what->retry) --retries_running_;
  const auto now = boot_now();
  const bool ran = outcome.result == attempt_result::answered;
  if (ran) {
    outcome.ran_for = now - *began;
    update_service_time(outcome.ran_for);
  }
  requests::admission_actions actions;
  queue_.finished(number, ran, now, actions);
  carry_out(actions);
  ++(ran                                         ? counts_.answered
     : outcome.result == attempt_result::not_run ? counts_.refused
                                                 : counts_.lost);
  co_return outcome;
}

asio::awaitable<std::optional<attempt_outcome>> gate_service::await_key(
    std::shared_ptr<attempt> what) {
  const auto began = boot_now();
  const auto share =
      std::chrono::duration_cast<duration>((what->deadline - began) * key_wait_share);
  const claims::claim* range = holder_->map().find(*what->key);
  const auto name = std::to_string(range == nullptr ? *what->key : range->keys.first);
  const auto until = began + std::min(range_outages_.wait_limit(name, began), share);
  asio::steady_timer step(executor_);
  for (;;) {
    const auto now = boot_now();
    const auto state = holder_->state_of(*what->key, now);
    if (state == claims::hold_state::held) {
      range_outages_.report_available(name);
      co_return std::nullopt;
    }
    const claims::claim* named = holder_->map().find(*what->key);
    // An entry that routed by a newer map may know that the key is about to be granted here.
    const bool newer_elsewhere = what->map_revision > holder_->map().revision;
    if (state == claims::hold_state::not_owned && !newer_elsewhere) {
      auto outcome = refused(refusal::not_owner);
      if (named != nullptr) outcome.owner = owner_hint{*named, holder_->map().revision};
      co_return outcome;
    }
    if (what->left->requested()) co_return attempt_outcome{.result = attempt_result::cancelled};
    range_outages_.report_unavailable(name, now);
    if (now >= until) co_return refused(refusal::owner_pending, std::chrono::milliseconds{100});
    boost::system::error_code ignored;
    step.expires_after(key_wait_step);
    co_await step.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<std::optional<attempt_outcome>> gate_service::await_body(
    std::shared_ptr<attempt> what, requests::transfer_id number) {
  if (!what->send_continue) co_return std::nullopt;
  const auto waits = std::make_shared<waiter>(executor_);
  transfer_waiters_[number] = waits;
  requests::transfer_actions actions;
  transfers_.offer({.id = number,
                    .bytes = what->body->length().value_or(body_length_unstated),
                    .deadline = what->deadline},
                   boot_now(), actions);
  carry_out(actions);
  what->left->on_request([waits] {
    waits->left = true;
    waits->changed.cancel();
  });
  boost::system::error_code ignored;
  waits->changed.expires_after(what->deadline - boot_now());
  if (!waits->started && !waits->refused)
    co_await waits->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  std::optional<attempt_outcome> end;
  if (waits->refused) end = refused(refusal::overloaded, body_retry_after, "the link is full");
  if (waits->started && !waits->left) {
    what->send_continue();
    what->body->on_change([waits, body = what->body.get()] {
      if (body->ready()) waits->changed.cancel();
    });
    waits->changed.expires_after(what->deadline - boot_now());
    if (!what->body->ready())
      co_await waits->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    what->body->on_change(nullptr);
  }
  what->left->clear();
  transfer_waiters_.erase(number);
  transfers_.abandoned(number);
  requests::transfer_actions freed;
  transfers_.finished(number, freed);
  carry_out(freed);
  if (end) co_return end;
  if (waits->left || what->left->requested() || what->body->failed())
    co_return attempt_outcome{.result = attempt_result::cancelled};
  if (!what->body->ready()) co_return refused(refusal::overloaded, {}, "the body came too late");
  co_return std::nullopt;
}

void gate_service::carry_out(const requests::transfer_actions& actions) {
  for (const auto& each : actions) {
    const auto found = transfer_waiters_.find(each.id);
    if (found == transfer_waiters_.end()) continue;
    if (each.what == requests::transfer_action::kind::start)
      found->second->started = true;
    else
      found->second->refused = duration{};
    found->second->changed.cancel();
  }
}

asio::awaitable<std::optional<attempt_outcome>> gate_service::await_admission(
    std::shared_ptr<attempt> what, requests::admission_id number) {
  const auto waits = std::make_shared<waiter>(executor_);
  waiters_[number] = waits;
  requests::admission_actions actions;
  queue_.offer({.id = number,
                .rank = what->rank,
                .target = what->latency_target,
                .target_time = what->target_time,
                .deadline = what->deadline},
               boot_now(), actions);
  carry_out(actions);
  if (!waits->started && !waits->refused) {
    what->left->on_request([waits] {
      waits->left = true;
      waits->changed.cancel();
    });
    boost::system::error_code ignored;
    waits->changed.expires_at(std::chrono::steady_clock::time_point::max());
    co_await waits->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    what->left->clear();
  }
  waiters_.erase(number);
  const auto now = boot_now();
  if (waits->refused)
    co_return refused(refusal::overloaded,
                      std::chrono::duration_cast<std::chrono::milliseconds>(*waits->refused));
  std::optional<attempt_outcome> closed;
  if (waits->left || what->left->requested())
    closed = attempt_outcome{.result = attempt_result::cancelled};
  else if (waits->started)
    closed = closed_for(*what, now);
  if (!closed) co_return std::nullopt;
  requests::admission_actions freed;
  if (waits->started)
    queue_.finished(number, false, now, freed);
  else
    queue_.abandoned(number);
  carry_out(freed);
  co_return closed;
}

void gate_service::carry_out(const requests::admission_actions& actions) {
  for (const auto& each : actions) {
    const auto found = waiters_.find(each.id);
    if (found == waiters_.end()) continue;
    if (each.what == requests::admission_action::kind::start)
      found->second->started = true;
    else
      found->second->refused = each.retry_after;
    found->second->changed.cancel();
  }
}

asio::awaitable<attempt_outcome> gate_service::send(std::shared_ptr<attempt> what) {
  const auto now = boot_now();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(what->deadline - now);
  if (left < std::chrono::milliseconds{1}) co_return refused(refusal::overloaded);
  if (draining_since_ && now > *draining_since_ + settings_.drain) ++counts_.sent_after_drain;
  exchange_request request{
      .head = what->method + ' ' + what->target + " HTTP/1.1\r\n" + what->headers +
              platform::upstream_headers(left, incarnation_->id, what->caller_service),
      .body = what->body,
      .is_head = what->method == "HEAD",
      .id = what->id,
      .id_of = &stated_id,
      .idle_limit_of = &stated_idle_limit,
      .deadline = what->deadline + answer_grace};
  auto end = co_await run_exchange(pool_, settings_.upstream, std::move(request), *what->left);
  connect_failures_ = end.result == exchange_result::not_connected ? connect_failures_ + 1 : 0;
  co_return classify(*what, std::move(end));
}

attempt_outcome gate_service::classify(const attempt& what, exchange_outcome end) {
  attempt_outcome outcome{.reached_upstream = end.result != exchange_result::not_connected,
                          .detail = std::move(end.detail)};
  switch (end.result) {
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
  const auto stamp = platform::read_answer_metadata(end.status, end.head);
  if (stamp.not_run) {
    outcome.result = attempt_result::not_run;
    outcome.why = refusal::shed;
    if (end.status == status_wrong_place && what.key) {
      outcome.why = refusal::owner_pending;
      if (on_missing_key_) on_missing_key_(*what.key);
    }
    return outcome;
  }
  const bool untrustworthy =
      stamp.encoded ||
      (!stamp.is_signed && (end.status < first_failure_status || promises_not_run(end.status)));
  if (untrustworthy || (end.body && end.body->failed())) {
    outcome.result = attempt_result::may_have_run;
    outcome.detail = "answer without signature or not the upstream's own body";
    return outcome;
  }
  outcome.result = attempt_result::answered;
  outcome.status = end.status;
  outcome.headers = headers_for_caller(end.head);
  outcome.body = std::move(end.body);
  return outcome;
}

void gate_service::update_service_time(duration took) {
  if (service_time_ == duration{}) {
    service_time_ = took;
    return;
  }
  service_time_ += std::chrono::duration_cast<duration>((took - service_time_) * service_time_step);
}

}  // namespace masticshunt::fleet
