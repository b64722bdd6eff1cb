#include "fleet/internal/ingress.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "fleet/internal/spawn.h"
#include "masticshunt/decisions/routing/residency.h"
#include "masticshunt/support/clock.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds attempt_time_min{5};
constexpr duration owner_poll_interval = milliseconds{25};
/// Share of a request's total time that it may wait for the owner of its key.
constexpr double owner_wait_share = 0.25;
constexpr int gates_tried_max = 4;
constexpr int attempts_max = 16;
constexpr std::size_t trail_bytes_max = 400;
constexpr milliseconds retry_after_min{60};
/// For a large body that finds no memory: about the time that others of its size take to pass.
constexpr milliseconds memory_retry_after{500};
/// For a request that none of the regions of its route can serve at present.
constexpr milliseconds region_retry_after{500};
/// Largest Retry-After as a share of the remaining time; callers accept at most a third.
constexpr double retry_after_share = 0.3;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;
constexpr unsigned first_server_error = 500;

std::string text_of(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

/// The state of a request that is being served.
struct ingress::request_state {
  std::shared_ptr<server_request> request;
  platform::request_metadata metadata;
  std::string route;
  std::string service;
  std::uint32_t upstreams_max = 1;
  std::vector<std::string> regions;  ///< That may handle the request; empty: all.
  bool idempotent = false;
  bool keyed = false;
  time_point deadline;
  std::shared_ptr<attempt> outgoing;
  std::vector<std::string> tried;
  std::uint32_t reached = 0;  ///< Attempts that reached an upstream.
  std::uint32_t ran = 0;      ///< Attempts that may have run.
  int attempts = 0;
  int gates_full = 0;
  std::optional<time_point> pending_since;  ///< Start of the wait for the key's owner.
  refusal last_refusal = refusal::no_upstream;
  milliseconds retry_after{0};
  std::string detail;
  std::string agent;
  std::string owner;  ///< Service and agent that owns the key, of a keyed request.
  std::string trail;  ///< Agent, result, reason and time of each attempt, for the log.
  /// An upstream's failure, used as the answer if the retry fails.
  std::optional<attempt_outcome> fallback;
};

ingress::ingress(const asio::any_io_executor& executor, const fleet_settings& settings,
                 fleet_view& view, gate_service& gate, peer_service& peers, claims_driver& claims,
                 support::event_log& log, support::metrics_registry& metrics)
    : executor_(executor),
      settings_(settings),
      view_(view),
      gate_(gate),
      peers_(peers),
      claims_(claims),
      log_(log),
      metrics_(metrics),
      budget_({.ratio = settings.repeat_ratio,
               .window = settings.repeat_window,
               .slack = settings.repeat_slack}),
      random_(std::hash<std::string>{}(settings.name)) {}

void ingress::handle(std::shared_ptr<server_request> request) {
  spawn(executor_, serve(std::move(request)));
}

void ingress::refuse_for_memory(const std::shared_ptr<server_request>& request) {
  request_state state{.request = request,
                      .metadata = platform::read_request_metadata(request->head)};
  state.deadline = request->arrived + state.metadata.caller_timeout.value_or(memory_retry_after);
  state.detail = "no memory for the body";
  answer_refused(state, refusal::overloaded, memory_retry_after);
}

asio::awaitable<void> ingress::serve(std::shared_ptr<server_request> request) {
  request_state state{.request = request,
                      .metadata = platform::read_request_metadata(request->head)};
  state.deadline = request->arrived + state.metadata.caller_timeout.value_or(retry_after_min);
  if (view_.routes().version() == 0) {
    answer_refused(state, refusal::none, retry_after_min);
    co_return;
  }
  const std::string target = text_of(request->head.target());
  const std::string host = text_of(request->head[boost::beast::http::field::host]);
  const auto* route = view_.routes().match(host, target);
  if (route == nullptr) {
    request->respond({.status = status_not_found,
                      .headers = platform::request_id_header(state.metadata.id),
                      .text = "no route leads here\n"});
    record(state, "no_route", status_not_found, target);
    co_return;
  }
  const auto hash = XXH64(state.metadata.id.data(), state.metadata.id.size(), 0);
  state.route = route->name;
  state.service = routing::service_for(route->services, hash);
  state.upstreams_max = std::max(1U, route->upstreams_max);
  state.regions = route->regions;
  state.idempotent = route->retries == routing::retry_rule::idempotent;
  const auto* service = view_.routes().find_service(state.service);
  state.keyed = service != nullptr && service->keyed && state.metadata.key;
  state.deadline = request->arrived +
                   std::min(state.metadata.caller_timeout.value_or(route->timeout), route->timeout);
  if (shutdown_ && !shutdown_->takes_request(request->arrived, state.deadline)) {
    answer_refused(state, refusal::leaving, retry_after_min);
    co_return;
  }
  budget_.record_request(state.service, request->arrived);
  if (state.service != settings_.service)
    budget_.charge(state.service, gate_.retry_share(), request->arrived);

  state.outgoing = std::make_shared<attempt>();
  attempt& outgoing = *state.outgoing;
  outgoing.id = state.metadata.id;
  outgoing.method = text_of(request->head.method_string());
  outgoing.host = host;
  outgoing.target = target;
  outgoing.headers = headers_for_upstream(request->head);
  outgoing.body = body_of(*request);
  outgoing.service = state.service;
  outgoing.caller_service = settings_.service;
  outgoing.rank = route->rank;
  outgoing.idempotent = state.idempotent;
  if (state.keyed) outgoing.key = state.metadata.key;
  outgoing.latency_target = route->target;
  outgoing.target_time = request->arrived + route->target;
  if (state.metadata.caller_timeout) {
    auto& profile = profiles_[route->name];
    profile.arrived(*state.metadata.caller_timeout);
    outgoing.target_time -= profile.waited_before(*state.metadata.caller_timeout);
  }
  outgoing.deadline = state.deadline;
  outgoing.cancel = &request->cancel;
  outgoing.answer_share = request->share();

  if (outgoing.body && !outgoing.body->ready()) {
    asio::steady_timer changed(executor_);
    outgoing.body->on_change([&changed, body = outgoing.body.get()] {
      if (body->ready()) changed.cancel();
    });
    boost::system::error_code ignored;
    changed.expires_after(std::max(duration{}, state.deadline - boot_now()));
    co_await changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    outgoing.body->on_change(nullptr);
    if (outgoing.body->failed()) co_return;
  }
  co_await run(state);
}

asio::awaitable<void> ingress::run(request_state& state) {
  for (; state.attempts < attempts_max; ++state.attempts) {
    if (state.request->cancel.requested()) {
      record(state, "caller_left", 0, state.detail);
      co_return;
    }
    if (state.deadline - boot_now() < attempt_time_min) break;
    const auto agent = choose(state);
    if (!agent) {
      // A key whose owner stands in another region moves for seconds, if at all.
      const bool owner_may_come = state.keyed && state.last_refusal != refusal::region;
      if (owner_may_come && co_await await_owner(state)) continue;
      const bool none_there = state.last_refusal != refusal::overloaded;
      if (!state.regions.empty() && none_there)
        state.retry_after = std::max(state.retry_after, region_retry_after);
      break;
    }
    state.agent = *agent;
    auto outcome = co_await run_attempt(state, *agent);
    if (outcome.result == attempt_result::answered && outcome.load)
      profiles_[state.route].answered(outcome.ran_for, outcome.load->service_time,
                                      outcome.body ? outcome.body->received() : 0);
    append_trail(state, outcome);
    if (state.keyed) report_owner_availability(state, outcome);
    switch (classify(state, *agent, outcome)) {
      case next_step::answer:
        answer(state, std::move(outcome));
        co_return;
      case next_step::retry:
        if (outcome.result == attempt_result::answered) {
          state.fallback = std::move(outcome);
        } else if (state.keyed && outcome.why != refusal::not_owner &&
                   !co_await await_owner(state)) {
          break;
        }
        continue;
      case next_step::refuse:
      case next_step::fail:
        break;
    }
    break;
  }
  if (state.request->cancel.requested()) {
    record(state, "caller_left", 0, state.detail);
    co_return;
  }
  if (state.fallback) {
    answer(state, std::move(*state.fallback));
  } else if (state.ran > 0) {
    answer_failed(state, state.detail);
  } else {
    answer_refused(state, state.last_refusal, state.retry_after);
  }
}

void ingress::report_owner_availability(const request_state& state,
                                        const attempt_outcome& outcome) {
  if (outcome.result == attempt_result::answered || outcome.why == refusal::overloaded)
    owner_outages_.report_available(state.owner);
  else if (outcome.result == attempt_result::unreachable || outcome.why == refusal::owner_pending ||
           outcome.why == refusal::no_upstream)
    owner_outages_.report_unavailable(state.owner, boot_now());
}

void ingress::append_trail(request_state& state, const attempt_outcome& outcome) {
  if (state.trail.size() > trail_bytes_max) return;
  const auto at =
      std::chrono::duration_cast<milliseconds>(boot_now() - state.request->arrived).count();
  state.trail.append(state.trail.empty() ? "" : ";").append(state.agent);
  state.trail.append(":").append(to_string(outcome.result));
  if (outcome.why != refusal::none) state.trail.append("/").append(to_string(outcome.why));
  if (outcome.status != 0) state.trail.append("/").append(std::to_string(outcome.status));
  state.trail.append("@").append(std::to_string(at));
}

std::optional<std::string> ingress::choose(request_state& state) {
  const auto now = boot_now();
  if (!state.keyed) {
    const double random_draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto bytes = state.outgoing->body ? state.outgoing->body->length().value_or(0) : 0;
    return view_.directory.choose(
        {.service = state.service,
         .tried = state.tried,
         .regions = state.regions,
         .estimate = profiles_[state.route].estimate(bytes),
         .answer_by =
             state.gates_full > 0 ? std::optional(state.outgoing->target_time) : std::nullopt,
         .draw = random_draw},
        now);
  }
  const auto owner = view_.owner_of(state.service, *state.metadata.key);
  state.owner = state.service + '/' + (owner ? owner->agent : std::string{});
  if (!owner) {
    owner_outages_.report_unavailable(state.owner, now);
    claims_.refresh_map(state.service);
    state.last_refusal = refusal::owner_pending;
    return std::nullopt;
  }
  if (!owner_takes_requests(owner->agent, now)) {
    owner_outages_.report_unavailable(state.owner, now);
    claims_.refresh_map(state.service);
    state.last_refusal = refusal::owner_pending;
    return std::nullopt;
  }
  if (!routing::allows_region(state.regions, view_.directory.find(owner->agent)->region)) {
    // The key moves to another region, or its service has routes that exclude one another.
    claims_.refresh_map(state.service);
    state.last_refusal = refusal::region;
    return std::nullopt;
  }
  state.outgoing->map_revision = owner->map_revision;
  return owner->agent;
}

bool ingress::owner_takes_requests(const std::string& agent, time_point now) const {
  const auto* owner = view_.directory.find(agent);
  if (owner == nullptr || !view_.directory.reachable(agent, now)) return false;
  const auto leaving_since = view_.directory.leaving_since(agent);
  const auto evacuated_since = view_.evacuations.evacuated_since(owner->zone);
  const bool has_left = leaving_since && now >= *leaving_since + settings_.drain / 2;
  const bool is_evacuated =
      evacuated_since && now >= *evacuated_since + settings_.evacuation_handover();
  return !has_left && !is_evacuated;
}

asio::awaitable<bool> ingress::await_owner(request_state& state) {
  const auto total = state.deadline - state.request->arrived;
  const auto now = boot_now();
  const auto wait_max = std::min(owner_outages_.wait_limit(state.owner, now),
                                 std::chrono::duration_cast<duration>(total * owner_wait_share));
  if (!state.pending_since) state.pending_since = now;
  if (now - *state.pending_since >= wait_max) co_return false;
  asio::steady_timer poll_timer(executor_, owner_poll_interval);
  boost::system::error_code ignored;
  co_await poll_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return true;
}

asio::awaitable<attempt_outcome> ingress::run_attempt(request_state& state,
                                                      const std::string& agent) {
  state.outgoing->state_version = view_.routes().version();
  state.outgoing->evacuations_changed_at = view_.evacuations.set().changed_at;
  state.outgoing->retry = state.reached > 0;
  state.outgoing->request_limit = view_.directory.request_limit(agent, boot_now());
  if (agent == settings_.name) {
    view_.directory.sent(agent);
    auto outcome = co_await gate_.serve(state.outgoing);
    outcome.load = gate_.load();
    view_.directory.ended(agent, health_of(outcome), gate_.load(), boot_now());
    co_return outcome;
  }
  const auto* peer = view_.directory.find(agent);
  if (peer == nullptr) co_return refused(refusal::no_upstream);
  const endpoint to = peer->address;
  co_return co_await peers_.send(state.outgoing, agent, to);
}

bool ingress::may_retry(request_state& state) {
  const bool resendable = !state.outgoing->body || state.outgoing->body->fully_buffered();
  return resendable && state.reached < state.upstreams_max &&
         state.deadline - boot_now() > attempt_time_min &&
         budget_.take(state.service, view_.directory.all().size(), boot_now());
}

ingress::next_step ingress::classify(request_state& state, const std::string& agent,
                                     const attempt_outcome& outcome) {
  if (outcome.reached_upstream) ++state.reached;
  state.detail = outcome.detail;
  const bool resendable = !state.outgoing->body || state.outgoing->body->fully_buffered();
  switch (outcome.result) {
    case attempt_result::answered:
      ++state.ran;
      state.tried.push_back(agent);
      if (outcome.status < first_server_error || !state.idempotent || state.fallback)
        return next_step::answer;
      return may_retry(state) ? next_step::retry : next_step::answer;
    case attempt_result::cancelled:
      return next_step::fail;
    case attempt_result::unreachable:
      state.tried.push_back(agent);
      state.last_refusal = refusal::no_upstream;
      if (state.keyed) claims_.refresh_map(state.service);
      return resendable ? next_step::retry : next_step::refuse;
    case attempt_result::may_have_run:
      ++state.ran;
      state.tried.push_back(agent);
      return state.idempotent && may_retry(state) ? next_step::retry : next_step::fail;
    case attempt_result::not_run:
      break;
  }
  state.last_refusal = outcome.why;
  state.retry_after = outcome.retry_after;
  if (!resendable) return next_step::refuse;
  switch (outcome.why) {
    case refusal::not_owner:
      if (!outcome.owner ||
          !view_.add_owner_hint(state.service, outcome.owner->claim, outcome.owner->revision))
        claims_.refresh_map(state.service);
      return next_step::retry;
    case refusal::owner_pending:
    case refusal::leaving:
    case refusal::no_upstream:
    case refusal::evacuated:
    case refusal::region:
      state.tried.push_back(agent);
      return state.reached == 0 || may_retry(state) ? next_step::retry : next_step::refuse;
    case refusal::overloaded:
      state.tried.push_back(agent);
      return !state.keyed && ++state.gates_full < gates_tried_max ? next_step::retry
                                                                  : next_step::refuse;
    case refusal::shed:
      state.tried.push_back(agent);
      return !state.keyed && may_retry(state) ? next_step::retry : next_step::refuse;
    case refusal::none:
      break;
  }
  return next_step::refuse;
}

void ingress::answer(request_state& state, attempt_outcome outcome) {
  record(state, "answered", outcome.status, {});
  state.request->respond(
      {.status = outcome.status, .headers = std::move(outcome.headers), .body = outcome.body});
}

void ingress::answer_refused(request_state& state, refusal why, milliseconds retry_after) {
  const auto remaining = std::chrono::duration_cast<milliseconds>(state.deadline - boot_now());
  const auto wait_max = std::max(
      milliseconds{0}, std::chrono::duration_cast<milliseconds>(remaining * retry_after_share));
  const auto after = std::clamp(std::max(retry_after, retry_after_min), milliseconds{0}, wait_max);
  record(state, "refused", status_unavailable, to_string(why));
  state.request->respond({.status = status_unavailable,
                          .headers = platform::request_id_header(state.metadata.id) +
                                     platform::retry_after_header(after),
                          .text = "not run: " + std::string(to_string(why)) + "\n"});
}

void ingress::answer_failed(request_state& state, const std::string& why) {
  const bool late = state.deadline - boot_now() < attempt_time_min;
  const unsigned status = late ? status_timeout : status_bad_gateway;
  record(state, "failed", status, why);
  state.request->respond({.status = status,
                          .headers = platform::request_id_header(state.metadata.id),
                          .text = "may have run\n"});
}

void ingress::record(const request_state& state, std::string_view outcome, unsigned status,
                     std::string_view why) {
  const auto now = boot_now();
  const auto took = now - state.request->arrived;
  metrics_
      .make_counter({"masticshunt_requests_total",
                     "Requests of callers by outcome",
                     {{"service", state.service}, {"outcome", std::string(outcome)}}})
      .add();
  metrics_
      .make_latency({"masticshunt_request_seconds",
                     "Time from a request's head to its answer",
                     {{"service", state.service}}})
      .record(took);
  const bool served = status >= 200 && status < 400;
  const auto kind = served ? support::line_class::success : support::line_class::failure;
  if (!log_.admits(kind, now)) return;
  support::event_text line("request");
  line.add("id", state.metadata.id).add("route", state.route).add("service", state.service);
  if (state.metadata.key) line.add("key", *state.metadata.key);
  line.add("outcome", outcome)
      .add("status", status)
      .add_quoted("why", why)
      .add("agent", state.agent)
      .add("attempts", state.attempts + 1)
      .add("reached", state.reached)
      .add_quoted("trail", state.trail)
      .add_quoted("detail", state.detail)
      .add("rank", state.outgoing ? state.outgoing->rank : 0)
      .add("repeats_left",
           static_cast<int>(budget_.remaining(state.service, view_.directory.all().size(), now)))
      .add("took_ms", took)
      .add("left_ms", state.deadline - now)
      .add("state", view_.routes().version())
      .add("state_age_ms", view_.state_age(now).value_or(duration{}))
      .add("map", view_.map_revision(state.service));
  log_.write_admitted(line.text());
}

}  // namespace masticshunt::fleet
