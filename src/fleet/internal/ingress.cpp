#include "fleet/internal/ingress.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "masticshunt/support/clock.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds shortest_attempt{5};
constexpr duration owner_poll = milliseconds{25};
constexpr double owner_wait_share = 0.25;  // of the time that the request has
constexpr int gates_tried_max = 4;
constexpr int attempts_max = 16;
constexpr std::size_t trail_bytes_max = 400;
constexpr milliseconds come_back_soon{60};
constexpr double come_back_share = 0.3;  // of the time left; callers heed no more than a third
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;
constexpr unsigned first_server_error = 500;

std::string text_of(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

/// One request on its way.
struct ingress::job {
  std::shared_ptr<server_request> request;
  platform::request_metadata stamp;
  std::string route;
  std::string service;
  std::uint32_t upstreams_max = 1;
  bool idempotent = false;
  bool keyed = false;
  time_point deadline;
  std::shared_ptr<attempt> what;
  std::vector<std::string> tried;
  std::uint32_t reached = 0;  ///< Attempts that an upstream saw.
  std::uint32_t ran = 0;      ///< Attempts that may have run.
  int attempts = 0;
  int gates_full = 0;
  std::optional<time_point> pending_since;  ///< Since the owner is waited for.
  refusal last_refusal = refusal::no_upstream;
  milliseconds retry_after{0};
  std::string detail;
  std::string agent;
  std::string owner;  ///< Of a keyed request: its service and the agent that owns the key.
  std::string trail;  ///< Each attempt's agent, result, reason and time, for the log.
  std::optional<attempt_outcome> fallback;  ///< The upstream's failure, kept while trying again.
};

ingress::ingress(const asio::any_io_executor& executor, const fleet_settings& settings,
                 fleet_view& known, gate_service& gate, peer_service& peers, claims_driver& claims,
                 support::event_log& log, support::metrics_registry& metrics)
    : executor_(executor),
      settings_(settings),
      view_(known),
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
  asio::co_spawn(executor_, serve(std::move(request)), asio::detached);
}

asio::awaitable<void> ingress::serve(std::shared_ptr<server_request> request) {
  job now{.request = request, .stamp = platform::read_request_metadata(request->head)};
  now.deadline = request->arrived + now.stamp.caller_timeout.value_or(come_back_soon);
  if (view_.routes().version() == 0) {
    answer_refused(now, refusal::none, come_back_soon);
    co_return;
  }
  const std::string target = text_of(request->head.target());
  const auto* route =
      view_.routes().match(text_of(request->head[boost::beast::http::field::host]), target);
  if (route == nullptr) {
    request->respond({.status = status_not_found,
                      .headers = platform::request_id_header(now.stamp.id),
                      .text = "no route leads here\n"});
    record(now, "no_route", status_not_found, target);
    co_return;
  }
  const auto hash = XXH64(now.stamp.id.data(), now.stamp.id.size(), 0);
  now.route = route->name;
  now.service = routing::service_for(route->services, hash);
  now.upstreams_max = std::max(1U, route->upstreams_max);
  now.idempotent = route->retries == routing::retry_rule::idempotent;
  const auto* service = view_.routes().find_service(now.service);
  now.keyed = service != nullptr && service->keyed && now.stamp.key;
  now.deadline = request->arrived +
                 std::min(now.stamp.caller_timeout.value_or(route->timeout), route->timeout);
  budget_.requested(now.service, request->arrived);
  if (now.service != settings_.service)
    budget_.charge(now.service, gate_.retry_share(), request->arrived);

  now.what = std::make_shared<attempt>();
  attempt& what = *now.what;
  what.id = now.stamp.id;
  what.method = text_of(request->head.method_string());
  what.target = target;
  what.headers = headers_for_upstream(request->head);
  what.body = body_of(*request);
  what.service = now.service;
  what.caller_service = settings_.service;
  what.rank = route->rank;
  what.idempotent = now.idempotent;
  if (now.keyed) what.key = now.stamp.key;
  what.latency_target = route->target;
  what.target_time = request->arrived + route->target;
  if (now.stamp.caller_timeout) {
    auto& profile = profiles_[route->name];
    profile.arrived(*now.stamp.caller_timeout);
    what.target_time -= profile.waited_before(*now.stamp.caller_timeout);
  }
  what.deadline = now.deadline;
  what.left = &request->left;

  if (what.body && !what.body->ready()) {
    asio::steady_timer changed(executor_);
    what.body->on_change([&changed, body = what.body.get()] {
      if (body->ready()) changed.cancel();
    });
    boost::system::error_code ignored;
    changed.expires_after(std::max(duration{}, now.deadline - boot_now()));
    co_await changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    what.body->on_change(nullptr);
    if (what.body->failed()) co_return;
  }
  co_await run(now);
}

asio::awaitable<void> ingress::run(job& now) {
  for (; now.attempts < attempts_max; ++now.attempts) {
    if (now.request->left.requested()) {
      record(now, "caller_left", 0, now.detail);
      co_return;
    }
    if (now.deadline - boot_now() < shortest_attempt) break;
    const auto agent = choose(now);
    if (!agent) {
      if (now.keyed && co_await await_owner(now)) continue;
      break;
    }
    now.agent = *agent;
    auto outcome = co_await run_attempt(now, *agent);
    if (outcome.result == attempt_result::answered && outcome.load)
      profiles_[now.route].answered(outcome.ran_for, outcome.load->service_time,
                                    outcome.body ? outcome.body->received() : 0);
    append_trail(now, outcome);
    if (now.keyed) report_owner_availability(now, outcome);
    switch (classify(now, *agent, outcome)) {
      case next_step::answer:
        answer(now, std::move(outcome));
        co_return;
      case next_step::again:
        if (outcome.result == attempt_result::answered) {
          now.fallback = std::move(outcome);
        } else if (now.keyed && outcome.why != refusal::not_owner && !co_await await_owner(now)) {
          break;
        }
        continue;
      case next_step::refuse:
      case next_step::fail:
        break;
    }
    break;
  }
  if (now.request->left.requested()) {
    record(now, "caller_left", 0, now.detail);
    co_return;
  }
  if (now.fallback) {
    answer(now, std::move(*now.fallback));
  } else if (now.ran > 0) {
    answer_failed(now, now.detail);
  } else {
    answer_refused(now, now.last_refusal, now.retry_after);
  }
}

void ingress::report_owner_availability(const job& now, const attempt_outcome& outcome) {
  if (outcome.result == attempt_result::answered || outcome.why == refusal::overloaded)
    owner_outages_.report_available(now.owner);
  else if (outcome.result == attempt_result::unreachable || outcome.why == refusal::owner_pending ||
           outcome.why == refusal::no_upstream)
    owner_outages_.report_unavailable(now.owner, boot_now());
}

void ingress::append_trail(job& now, const attempt_outcome& outcome) {
  if (now.trail.size() > trail_bytes_max) return;
  const auto at =
      std::chrono::duration_cast<milliseconds>(boot_now() - now.request->arrived).count();
  now.trail.append(now.trail.empty() ? "" : ";").append(now.agent);
  now.trail.append(":").append(to_string(outcome.result));
  if (outcome.why != refusal::none) now.trail.append("/").append(to_string(outcome.why));
  if (outcome.status != 0) now.trail.append("/").append(std::to_string(outcome.status));
  now.trail.append("@").append(std::to_string(at));
}

std::optional<std::string> ingress::choose(job& now) {
  const auto moment = boot_now();
  if (!now.keyed) {
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto bytes = now.what->body ? now.what->body->length().value_or(0) : 0;
    return view_.directory.choose(now.service, now.tried, draw, moment,
                                  profiles_[now.route].estimate(bytes));
  }
  const auto owner = view_.owner_of(now.service, *now.stamp.key);
  now.owner = now.service + '/' + (owner ? owner->agent : std::string{});
  if (!owner) {
    owner_outages_.report_unavailable(now.owner, moment);
    claims_.refresh_map(now.service);
    now.last_refusal = refusal::owner_pending;
    return std::nullopt;
  }
  if (!view_.directory.reachable(owner->agent, moment) ||
      view_.directory.find(owner->agent) == nullptr) {
    owner_outages_.report_unavailable(now.owner, moment);
    claims_.refresh_map(now.service);
    now.last_refusal = refusal::owner_pending;
    return std::nullopt;
  }
  now.what->map_revision = owner->map_revision;
  return owner->agent;
}

asio::awaitable<bool> ingress::await_owner(job& now) {
  const auto whole = now.deadline - now.request->arrived;
  const auto moment = boot_now();
  const auto most = std::min(owner_outages_.wait_limit(now.owner, moment),
                             std::chrono::duration_cast<duration>(whole * owner_wait_share));
  if (!now.pending_since) now.pending_since = moment;
  if (moment - *now.pending_since >= most) co_return false;
  asio::steady_timer pause(executor_, owner_poll);
  boost::system::error_code ignored;
  co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return true;
}

asio::awaitable<attempt_outcome> ingress::run_attempt(job& now, const std::string& agent) {
  now.what->state_version = view_.routes().version();
  now.what->retry = now.reached > 0;
  if (agent == settings_.name) {
    view_.directory.sent(agent);
    auto outcome = co_await gate_.serve(now.what);
    outcome.load = gate_.load();
    view_.directory.ended(agent, health_of(outcome), gate_.load(), boot_now());
    co_return outcome;
  }
  const auto* peer = view_.directory.find(agent);
  if (peer == nullptr) co_return refused(refusal::no_upstream);
  const endpoint to = peer->address;
  co_return co_await peers_.send(now.what, agent, to);
}

bool ingress::may_retry(job& now) {
  const bool resendable = !now.what->body || now.what->body->fully_buffered();
  return resendable && now.reached < now.upstreams_max &&
         now.deadline - boot_now() > shortest_attempt &&
         budget_.take(now.service, view_.directory.all().size(), boot_now());
}

ingress::next_step ingress::classify(job& now, const std::string& agent,
                                     const attempt_outcome& outcome) {
  if (outcome.reached_upstream) ++now.reached;
  now.detail = outcome.detail;
  const bool fully_buffered = !now.what->body || now.what->body->fully_buffered();
  switch (outcome.result) {
    case attempt_result::answered:
      ++now.ran;
      now.tried.push_back(agent);
      if (outcome.status < first_server_error || !now.idempotent || now.fallback)
        return next_step::answer;
      return may_retry(now) ? next_step::again : next_step::answer;
    case attempt_result::cancelled:
      return next_step::fail;
    case attempt_result::unreachable:
      now.tried.push_back(agent);
      now.last_refusal = refusal::no_upstream;
      if (now.keyed) claims_.refresh_map(now.service);
      return fully_buffered ? next_step::again : next_step::refuse;
    case attempt_result::may_have_run:
      ++now.ran;
      now.tried.push_back(agent);
      return now.idempotent && may_retry(now) ? next_step::again : next_step::fail;
    case attempt_result::not_run:
      break;
  }
  now.last_refusal = outcome.why;
  now.retry_after = outcome.retry_after;
  if (!fully_buffered) return next_step::refuse;
  switch (outcome.why) {
    case refusal::not_owner:
      if (!outcome.owner ||
          !view_.add_owner_hint(now.service, outcome.owner->claim, outcome.owner->revision))
        claims_.refresh_map(now.service);
      return next_step::again;
    case refusal::owner_pending:
    case refusal::leaving:
    case refusal::no_upstream:
      now.tried.push_back(agent);
      return now.reached == 0 || may_retry(now) ? next_step::again : next_step::refuse;
    case refusal::overloaded:
      now.tried.push_back(agent);
      return !now.keyed && ++now.gates_full < gates_tried_max ? next_step::again
                                                              : next_step::refuse;
    case refusal::shed:
      now.tried.push_back(agent);
      return !now.keyed && may_retry(now) ? next_step::again : next_step::refuse;
    case refusal::none:
      break;
  }
  return next_step::refuse;
}

void ingress::answer(job& now, attempt_outcome outcome) {
  record(now, "answered", outcome.status, {});
  now.request->respond(
      {.status = outcome.status, .headers = std::move(outcome.headers), .body = outcome.body});
}

void ingress::answer_refused(job& now, refusal why, milliseconds retry_after) {
  const auto left = std::chrono::duration_cast<milliseconds>(now.deadline - boot_now());
  const auto most =
      std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(left * come_back_share));
  const auto after = std::clamp(std::max(retry_after, come_back_soon), milliseconds{0}, most);
  record(now, "refused", status_unavailable, to_string(why));
  now.request->respond(
      {.status = status_unavailable,
       .headers = platform::request_id_header(now.stamp.id) + platform::retry_after_header(after),
       .text = "not run: " + std::string(to_string(why)) + "\n"});
}

void ingress::answer_failed(job& now, const std::string& why) {
  const bool late = now.deadline - boot_now() < shortest_attempt;
  const unsigned status = late ? status_timeout : status_bad_gateway;
  record(now, "failed", status, why);
  now.request->respond({.status = status,
                        .headers = platform::request_id_header(now.stamp.id),
                        .text = "may have run\n"});
}

void ingress::record(const job& now, std::string_view outcome, unsigned status,
                     std::string_view why) {
  const auto moment = boot_now();
  const auto took = moment - now.request->arrived;
  metrics_
      .make_counter({"masticshunt_requests_total",
                     "Requests of callers by outcome",
                     {{"service", now.service}, {"outcome", std::string(outcome)}}})
      .add();
  metrics_
      .make_latency({"masticshunt_request_seconds",
                     "Time from a request's head to its answer",
                     {{"service", now.service}}})
      .record(took);
  const bool served = status >= 200 && status < 400;
  const auto kind = served ? support::line_class::success : support::line_class::failure;
  if (!log_.admits(kind, moment)) return;
  support::event_text line("request");
  line.add("id", now.stamp.id).add("route", now.route).add("service", now.service);
  if (now.stamp.key) line.add("key", *now.stamp.key);
  line.add("outcome", outcome)
      .add("status", status)
      .add_quoted("why", why)
      .add("agent", now.agent)
      .add("attempts", now.attempts + 1)
      .add("reached", now.reached)
      .add_quoted("trail", now.trail)
      .add_quoted("detail", now.detail)
      .add("rank", now.what ? now.what->rank : 0)
      .add("repeats_left",
           static_cast<int>(budget_.left(now.service, view_.directory.all().size(), moment)))
      .add("took_ms", took)
      .add("left_ms", now.deadline - moment)
      .add("state", view_.routes().version())
      .add("map", view_.map_revision(now.service));
  log_.write_admitted(line.text());
}

}  // namespace masticshunt::fleet
