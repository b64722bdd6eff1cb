#include "fleet/internal/upstream_registrar.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr double silent_beats = 3.5;
constexpr duration silence_slack = std::chrono::milliseconds{500};
constexpr duration publish_timeout = std::chrono::milliseconds{700};
constexpr duration publish_pause = std::chrono::milliseconds{250};
constexpr duration ack_wait_max = std::chrono::milliseconds{500};
constexpr std::uint32_t failures_until_down = 2;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;

duration silence_after(const fleet_settings& settings) {
  return std::chrono::duration_cast<duration>(settings.heartbeat * silent_beats) + silence_slack;
}

}  // namespace

upstream_registrar::upstream_registrar(const asio::any_io_executor& executor,
                                       const fleet_settings& settings, fleet_view& known,
                                       store_client& store, gate_service& gate,
                                       support::event_log& log)
    : executor_(executor),
      settings_(settings),
      view_(known),
      store_(store),
      gate_(gate),
      log_(log),
      watch_(silence_after(settings)) {}

routing::registration upstream_registrar::registration(time_point now) const {
  routing::registration entry{.agent = settings_.name,
                              .address = settings_.peer_address(),
                              .zone = settings_.zone,
                              .region = settings_.region,
                              .service = settings_.service};
  if (const auto& word = watch_.last()) {
    entry.service = word->service;
    entry.incarnation = word->incarnation;
    entry.slots = word->slots;
    entry.stage = watch_.stage(now);
  } else {
    entry.stage = routing::upstream_stage::gone;
  }
  return entry;
}

void upstream_registrar::registrations_loaded() {
  const auto* entry = view_.directory.find(settings_.name);
  if (entry == nullptr) return;
  published_ = *entry;
  if (watch_.last()) return;
  watch_.restore(*entry);
  apply(boot_now());
}

void upstream_registrar::handle(std::shared_ptr<server_request> request) {
  const auto method = request->head.method_string();
  const auto target = request->head.target();
  auto what =
      platform::read_agent_request({method.data(), method.size()}, {target.data(), target.size()});
  if (what.kind != platform::agent_request_kind::heartbeat &&
      what.kind != platform::agent_request_kind::deregistration) {
    request->respond({.status = status_not_found, .text = "no such call\n"});
    return;
  }
  asio::co_spawn(executor_, acknowledge(std::move(request), std::move(what)), asio::detached);
}

asio::awaitable<void> upstream_registrar::acknowledge(std::shared_ptr<server_request> request,
                                                      platform::agent_request what) {
  asio::steady_timer pause(executor_);
  while (!request->body->complete() && !request->body->failed() && !request->left.requested()) {
    boost::system::error_code ignored;
    pause.expires_after(std::chrono::milliseconds{5});
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  const auto now = boot_now();
  bool changed = false;
  const auto before = registration(now);
  if (what.kind == platform::agent_request_kind::heartbeat) {
    failure reason;
    const auto beat =
        platform::decode_heartbeat(what.upstream_id, request->body->buffered(), reason);
    const bool known_service = beat && (view_.routes().version() == 0 ||
                                        view_.routes().find_service(beat->service) != nullptr);
    if (!known_service) {
      log_.line(support::line_class::process,
                "heartbeat_refused upstream=" + what.upstream_id + " why=\"" +
                    (beat ? "service " + beat->service + " is not known" : reason.describe()) +
                    "\"",
                now);
      request->respond({.status = status_bad_request, .text = "heartbeat can't be used\n"});
      co_return;
    }
    watch_.heartbeat_received({.incarnation = beat->incarnation,
                               .service = beat->service,
                               .slots = beat->slots,
                               .leaving = beat->draining,
                               .sequence = beat->sequence},
                              now);
  } else {
    watch_.gone(what.upstream_id, now);
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
    // The store is to know before the upstream does that it has been heard.
    const auto until = now + ack_wait_max;
    while (published_ != after && boot_now() < until) {
      boost::system::error_code ignored;
      pause.expires_after(std::chrono::milliseconds{10});
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
  request->respond({.headers = "Content-Type: application/json\r\n", .text = "{}"});
}

void upstream_registrar::apply(time_point now) {
  const auto entry = registration(now);
  const bool usable = watch_.last() && !down_ && (watch_.present(now) || !watch_.confirmed()) &&
                      entry.incarnation.id == watch_.last()->incarnation.id;
  gate_.update_upstream(usable ? std::optional(entry.incarnation) : std::nullopt, entry.service,
                        entry.slots);
  gate_.set_draining_since(watch_.draining_since());
  if (on_change_) on_change_();
  if (!publishing_ && published_ != entry && watch_.confirmed())
    asio::co_spawn(executor_, publish(), asio::detached);
}

void upstream_registrar::tick(time_point now) {
  const bool fails = gate_.connect_failures() >= failures_until_down;
  if (fails && !down_) {
    down_ = true;
    log_.line(support::line_class::process, "upstream_lost why=\"no connection\"", now);
    apply(now);
    asio::co_spawn(
        executor_,
        [this]() -> asio::awaitable<void> {
          // One probe at a time until a connection can be opened again.
          while (down_) {
            cancellation nobody;
            auto connection = co_await gate_.pool().acquire(
                settings_.upstream, boot_now() + std::chrono::milliseconds{400}, nobody);
            if (connection) {
              gate_.pool().release(connection);
              down_ = false;
              gate_.reset_connect_failures();
              log_.line(support::line_class::process, "upstream_regained", boot_now());
              apply(boot_now());
              co_return;
            }
            asio::steady_timer pause(executor_, std::chrono::milliseconds{250});
            boost::system::error_code ignored;
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
          }
        },
        asio::detached);
  }
  if (!watch_.confirmed()) return;
  const auto entry = registration(now);
  if (published_ && published_->stage != entry.stage) apply(now);
  if (!publishing_ && published_ != entry && now >= next_publish_)
    asio::co_spawn(executor_, publish(), asio::detached);
}

asio::awaitable<void> upstream_registrar::publish() {
  publishing_ = true;
  const auto entry = registration(boot_now());
  const auto text = platform::encode_registration(entry);
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
    published_ = entry;
    view_.directory.put(entry, boot_now());
  } else {
    next_publish_ = boot_now() + publish_pause;
  }
}

}  // namespace masticshunt::fleet
