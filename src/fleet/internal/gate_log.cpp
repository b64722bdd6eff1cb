#include "fleet/internal/gate_service.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace {

constexpr unsigned first_server_error = 500;

}  // namespace

std::string gate_service::refusal_detail(const attempt& request, time_point arrived) const {
  const auto now = boot_now();
  support::event_text text("gate");
  text.add("waited_ms", now - arrived)
      .add("running", queue_.running())
      .add("waiting", queue_.waiting())
      .add("slots", slots_);
  if (queue_.limit()) text.add("limit", queue_.limit());
  if (request.key && holder_ != nullptr)
    text.add("right_ms", holder_->lease_end() - now).add("gate_map", holder_->map().revision);
  return text.text();
}

void gate_service::record(const attempt& request, const attempt_outcome& outcome,
                          time_point arrived, std::optional<time_point> began) {
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
  line.add("id", request.id).add("service", request.service);
  if (request.key) line.add("key", *request.key);
  line.add("result", to_string(outcome.result))
      .add("why", to_string(outcome.why))
      .add("status", outcome.status)
      .add("reached", outcome.reached_upstream ? "yes" : "no")
      .add("upstream", incarnation_ ? incarnation_->id : "none")
      .add("waited_ms", began.value_or(now) - arrived)
      .add("ran_ms", began ? now - *began : duration{})
      .add("left_ms", request.deadline - now)
      .add("target_left_ms", request.target_time - now)
      .add("rank", request.rank)
      .add("running", queue_.running())
      .add("waiting", queue_.waiting())
      .add("slots", slots_)
      .add("usual_ms", service_time_);
  if (queue_.limit()) line.add("limit", queue_.limit());
  if (request.key && holder_ != nullptr)
    line.add("map", holder_->map().revision)
        .add("entry_map", request.map_revision)
        .add("right_ms", holder_->lease_end() - now);
  line.add_quoted("detail", outcome.detail);
  log_.write_admitted(line.text());
}

}  // namespace masticshunt::fleet
