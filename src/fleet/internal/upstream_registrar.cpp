#include "fleet/internal/upstream_registrar.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "fleet/internal/spawn.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr double missed_heartbeats_max = 3.5;
constexpr duration suspicion_slack = std::chrono::milliseconds{500};
constexpr duration publish_timeout = std::chrono::milliseconds{700};
constexpr duration publish_retry_delay = std::chrono::milliseconds{250};
constexpr duration ack_wait_max = std::chrono::milliseconds{500};
constexpr std::uint32_t connect_failures_max = 2;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;

duration suspicion_timeout(const fleet_settings& settings) {
  return std::chrono::duration_cast<duration>(settings.heartbeat * missed_heartbeats_max) +
         suspicion_slack;
}

}  // namespace

upstream_registrar::upstream_registrar(const asio::any_io_executor& executor,
                                       const fleet_settings& settings, fleet_view& view,
                                       store_client& store, gate_service& gate,
                                       support::event_log& log)
    : executor_(executor),
      settings_(settings),
      view_(view),
      store_(store),
      gate_(gate),
      log_(log),
      watch_(suspicion_timeout(settings)) {
  // The store may have lost the registration with all else that was written last.
  store_.on_era([this](store_era /*era*/) { published_.reset(); });
  gate_.on_leaving([this](const auto& incarnation) { upstream_leaving(incarnation); });
}

void upstream_registrar::upstream_leaving(const routing::upstream_incarnation& incarnation) {
  const auto now = boot_now();
  if (!watch_.leaving(incarnation, now)) return;
  support::event_text line("upstream_leaving");
  line.add("upstream", incarnation.id).add("born", incarnation.start_ms);
  log_.line(support::line_class::process, line.text(), now);
  apply(now);
}

routing::registration upstream_registrar::registration(time_point now) const {
  routing::registration current{.agent = settings_.name,
                                .address = settings_.peer_address(),
                                .zone = settings_.zone,
                                .region = settings_.region,
                                .service = settings_.service};
  if (const auto& heartbeat = watch_.last()) {
    if (!heartbeat->service.empty()) current.service = heartbeat->service;
    current.incarnation = heartbeat->incarnation;
    current.slots = heartbeat->slots;
    current.stage = watch_.stage(now);
  } else {
    current.stage = routing::upstream_stage::gone;
  }
  return current;
}

void upstream_registrar::registrations_loaded() {
  const auto* current = view_.directory.find(settings_.name);
  if (current == nullptr) return;
  published_ = *current;
  if (watch_.last()) return;
  const auto now = boot_now();
  watch_.restore(*current, now);
  apply(now);
}

void upstream_registrar::handle(std::shared_ptr<server_request> request) {
  const auto method = request->head.method_string();
  const auto target = request->head.target();
  auto notification =
      platform::read_agent_request({method.data(), method.size()}, {target.data(), target.size()});
  if (notification.kind != platform::agent_request_kind::heartbeat &&
      notification.kind != platform::agent_request_kind::deregistration) {
    request->respond({.status = status_not_found, .text = "no such call\n"});
    return;
  }
  spawn(executor_, acknowledge(std::move(request), std::move(notification)));
}

asio::awaitable<void> upstream_registrar::acknowledge(std::shared_ptr<server_request> request,
                                                      platform::agent_request notification) {
  asio::steady_timer pause(executor_);
  while (!request->body->complete() && !request->body->failed() && !request->cancel.requested()) {
    boost::system::error_code ignored;
    pause.expires_after(std::chrono::milliseconds{5});
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  const auto now = boot_now();
  bool changed = false;
  std::optional<claims::reported_keys> keys;
  const auto before = registration(now);
  if (notification.kind == platform::agent_request_kind::heartbeat) {
    failure reason;
    auto heartbeat =
        platform::decode_heartbeat(notification.upstream_id, request->body->buffered(), reason);
    const bool known_service =
        heartbeat && (view_.routes().version() == 0 ||
                      view_.routes().find_service(heartbeat->service) != nullptr);
    if (!known_service) {
      log_.line(
          support::line_class::process,
          "heartbeat_refused upstream=" + notification.upstream_id + " why=\"" +
              (heartbeat ? "service " + heartbeat->service + " is not known" : reason.describe()) +
              "\"",
          now);
      request->respond({.status = status_bad_request, .text = "heartbeat can't be used\n"});
      co_return;
    }
    const bool newest = watch_.heartbeat_received({.incarnation = heartbeat->incarnation,
                                                   .service = heartbeat->service,
                                                   .slots = heartbeat->slots,
                                                   .draining = heartbeat->draining,
                                                   .sequence = heartbeat->sequence},
                                                  now);
    check_grants(*heartbeat, now);
    if (newest) {
      keys = std::move(heartbeat->keys);
      gate_.heartbeat_said_cold(heartbeat->warm_up_remaining);
    }
  } else {
    watch_.gone(notification.upstream_id, now);
  }
  const auto after = registration(now);
  changed = before != after;
  apply(now);
  if (changed) {
    log_.line(support::line_class::process,
              "upstream_changed upstream=" + after.incarnation.id + " born=" +
                  std::to_string(after.incarnation.start_ms) + " service=" + after.service +
                  " stage=" + std::string(routing::to_string(after.stage)) +
                  " slots=" + std::to_string(after.slots),
              now);
  }
  if (changed && after.stage != routing::upstream_stage::ready) {
    // The store must have the change before the upstream receives the acknowledgement.
    const auto until = now + ack_wait_max;
    while (published_ != after && boot_now() < until) {
      boost::system::error_code ignored;
      pause.expires_after(std::chrono::milliseconds{10});
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
  if (keys && on_keys_) {
    on_keys_(std::move(request), *keys, changed);
    co_return;
  }
  request->respond({.headers = "Content-Type: application/json\r\n",
                    .text = platform::encode_heartbeat_answer(std::nullopt)});
}

void upstream_registrar::check_grants(const platform::heartbeat& heartbeat, time_point now) {
  const auto* service = view_.routes().find_service(heartbeat.service);
  if (service == nullptr || !service->keyed || grants_checked_ == heartbeat.incarnation) return;
  grants_checked_ = heartbeat.incarnation;
  const bool by_heartbeat = settings_.grants == claims::grant_transport::heartbeat;
  if (heartbeat.keys.has_value() == by_heartbeat) return;
  log_.line(support::line_class::process,
            "grants_mismatch upstream=" + heartbeat.incarnation.id +
                " setting=" + (by_heartbeat ? "heartbeat" : "call") + " reports_keys=" +
                (heartbeat.keys ? "yes" : "no") + " remedy=\"correct [upstream] grants\"",
            now);
}

void upstream_registrar::apply(time_point now) {
  const auto current = registration(now);
  const bool usable = watch_.present(now) && !unreachable_ &&
                      current.incarnation.id == watch_.last()->incarnation.id;
  gate_.update_upstream(usable ? std::optional(current.incarnation) : std::nullopt, current.service,
                        current.slots);
  gate_.set_awaits_heartbeat(watch_.last() && !watch_.settled(now));
  gate_.set_draining_since(watch_.draining_since());
  if (on_change_) on_change_();
  if (!publishing_ && published_ != current && watch_.settled(now)) spawn(executor_, publish());
}

void upstream_registrar::tick(time_point now) {
  const bool unreachable = gate_.connect_failures() >= connect_failures_max;
  if (unreachable && !unreachable_) {
    unreachable_ = true;
    log_.line(support::line_class::process, "upstream_lost why=\"no connection\"", now);
    apply(now);
    spawn(executor_, [this]() -> asio::awaitable<void> {
      // Probes one connection at a time until one can be opened.
      while (unreachable_) {
        cancellation never_cancelled;
        auto connection = co_await gate_.pool().acquire(
            settings_.upstream, boot_now() + std::chrono::milliseconds{400}, never_cancelled);
        if (connection) {
          gate_.pool().release(connection);
          unreachable_ = false;
          gate_.reset_connect_failures();
          log_.line(support::line_class::process, "upstream_regained", boot_now());
          apply(boot_now());
          co_return;
        }
        asio::steady_timer pause(executor_, std::chrono::milliseconds{250});
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
    });
  }
  if (!watch_.settled(now)) return;
  const auto current = registration(now);
  if (published_ && published_->stage != current.stage) apply(now);
  if (!publishing_ && published_ != current && now >= next_publish_) spawn(executor_, publish());
}

asio::awaitable<void> upstream_registrar::publish() {
  publishing_ = true;
  const auto current = registration(boot_now());
  const auto text = platform::encode_registration(current);
  auto answer = co_await store_.call(
      platform::replace_object(platform::kind_registrations, settings_.name, text, std::nullopt),
      publish_timeout);
  if (answer.verdict == platform::store_verdict::missing) {
    answer = co_await store_.call(
        platform::create_object(platform::kind_registrations, settings_.name, text),
        publish_timeout);
  }
  publishing_ = false;
  if (answer.done()) {
    published_ = current;
    view_.directory.put(current, boot_now());
  } else {
    next_publish_ = boot_now() + publish_retry_delay;
  }
}

}  // namespace masticshunt::fleet
