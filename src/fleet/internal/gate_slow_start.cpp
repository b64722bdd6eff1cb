/// What a gate learns of its upstream's slow start.
#include "fleet/internal/gate_service.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration probe_interval = std::chrono::milliseconds{250};
constexpr duration probe_timeout = std::chrono::milliseconds{500};
constexpr unsigned first_failure_status = 300;

}  // namespace

void gate_service::set_evacuated_since(std::optional<time_point> when) {
  const bool taken_back = evacuated_since_ && !when;
  evacuated_since_ = when;
  if (!taken_back) return;
  const bool cold_before = cold();
  queue_.start_up().state_unknown(boot_now());
  slow_start_changed(cold_before);
}

void gate_service::set_slow_start(std::optional<double> rate, const std::string& health_path) {
  const bool cold_before = cold();
  health_path_ = health_path;
  queue_.start_up().set_rate(rate, boot_now());
  slow_start_changed(cold_before);
}

void gate_service::heartbeat_said_cold(duration cold_for) {
  const bool cold_before = cold();
  queue_.start_up().heartbeat_received(cold_for, boot_now());
  slow_start_changed(cold_before);
}

bool gate_service::cold() const {
  return queue_.start_up().cold(boot_now());
}

void gate_service::slow_start_changed(bool cold_before) {
  const auto now = boot_now();
  const auto& start_up = queue_.start_up();
  if (cold_before == start_up.cold(now)) return;
  support::event_text line("upstream_cold");
  line.add("upstream", upstream_id())
      .add("cold", cold_before ? "no" : "yes")
      .add("per_second", start_up.rate(now))
      .add("running", queue_.running())
      .add("waiting", queue_.waiting());
  log_.line(support::line_class::process, line.text(), now);
  requests::admission_actions actions;
  queue_.rate_changed(now, actions);
  carry_out(actions);
}

bool gate_service::probe_is_due(time_point now) const {
  return queue_.start_up().needs_answer() && incarnation_ && !evacuated_since_ && !probing_ &&
         now >= next_probe_ && !health_path_.empty();
}

asio::awaitable<void> gate_service::probe_cold() {
  probing_ = true;
  const auto asked = boot_now();
  const auto incarnation = *incarnation_;
  cancellation never_cancelled;
  exchange_request request{.head = "GET " + health_path_ +
                                   " HTTP/1.1\r\nHost: " + settings_.upstream + "\r\n" +
                                   platform::expected_upstream_header(incarnation.id),
                           .deadline = asked + probe_timeout};
  const auto exchange =
      co_await run_exchange(pool_, settings_.upstream, std::move(request), never_cancelled);
  probing_ = false;
  const auto now = boot_now();
  next_probe_ = now + probe_interval;
  if (exchange.result != exchange_result::answered || incarnation != incarnation_) co_return;
  const auto answer = platform::read_answer_metadata(exchange.status, exchange.head);
  if (answer.upstream_id != incarnation.id) co_return;
  // A healthy upstream that says nothing of a start is warm; an unhealthy one may say less.
  if (!answer.cold_for && exchange.status >= first_failure_status) co_return;
  const bool cold_before = cold();
  queue_.start_up().health_answered(answer.cold_for.value_or(std::chrono::milliseconds{0}), asked,
                                    now);
  slow_start_changed(cold_before);
}

}  // namespace masticshunt::fleet
