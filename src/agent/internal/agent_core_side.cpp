// Feeds events to the ownership core, carries out its actions, and serves the upstream and operator
// endpoints.
#include <spdlog/spdlog.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "agent/internal/agent_implementation.h"
#include "masticshunt/support/clock.h"
#include "masticshunt/upstream/announcement.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds announcement_age_max{3};
constexpr unsigned route_samples = 256;

short_response method_not_allowed(const short_request& request) {
  return make_response(
      request, http::status::method_not_allowed, "application/json",
      R"({"message":"the path does not take this method","remedy":"see INTERFACES.md"})");
}

short_response not_found(const short_request& request) {
  return make_response(request, http::status::not_found, "application/json",
                       R"({"message":"no such path","remedy":"see INTERFACES.md"})");
}

void add_counter(std::string& text, const std::string& name, const std::string& labels,
                 std::uint64_t value) {
  text += "masticshunt_" + name + labels + " " + std::to_string(value) + "\n";
}

void add_latencies(std::string& text, const std::string& name,
                   const support::latency_metric& latencies) {
  text += "# TYPE masticshunt_" + name + " histogram\n";
  const auto bounds = latencies.bounds();
  const auto counts = latencies.cumulative();
  for (std::size_t index = 0; index < std::min(bounds.size(), counts.size()); ++index) {
    add_counter(text, name + "_bucket", "{le=\"" + std::to_string(bounds[index]) + "\"}",
                counts[index]);
  }
  add_counter(text, name + "_bucket", "{le=\"+Inf\"}", latencies.count());
  add_counter(text, name + "_count", "", latencies.count());
  const double sum_s = std::chrono::duration<double>(latencies.sum()).count();
  text += "masticshunt_" + name + "_sum " + std::to_string(sum_s) + "\n";
}

}  // namespace

void agent::implementation::post_event(ownership::event event) {
  asio::post(core_context(), [this, event = std::move(event)] { handle(event); });
}

void agent::implementation::handle(const ownership::event& event) {
  const auto actions = tables_->handle(event, boot_now());
  for (const auto& action : actions) perform(action);
}

void agent::implementation::perform(const ownership::action& action) {
  std::visit([this](const auto& each) { execute(each); }, action);
}

void agent::implementation::execute(const ownership::send_message& action) {
  control_->send(action.to, ownership::encode(action.body, self_.control));
}

void agent::implementation::execute(const ownership::store_read& action) {
  store_->async_read(action, [this](ownership::store_read_done done) { handle(std::move(done)); });
}

void agent::implementation::execute(const ownership::store_write& action) {
  store_->async_write(action,
                      [this](ownership::store_write_done done) { handle(std::move(done)); });
}

void agent::implementation::execute(const ownership::store_list& action) {
  store_->async_list(action, [this](ownership::store_list_done done) { handle(std::move(done)); });
}

void agent::implementation::execute(const ownership::wake_at& action) {
  wake_timer_->expires_after(std::max(action.when - boot_now(), duration::zero()));
  wake_timer_->async_wait([this](boost::system::error_code error) {
    if (!error) handle(ownership::timer_fired{});
  });
}

void agent::implementation::execute(const ownership::record_in_force& action) {
  tables_->record_in_force(action.object);
}

void agent::implementation::execute(const ownership::finish_range& action) {
  tables_->finish_range(action.range);
}

void agent::implementation::execute(const ownership::stopped& /*action*/) {
  finish_stop();
}

void agent::implementation::execute(const ownership::log_event& action) {
  spdlog::info("agent={} {}", settings_.name, action.text);
}

void agent::implementation::receive_control(const std::string& bytes) {
  failure reason;
  auto received = ownership::decode(bytes, reason);
  if (!received) {
    ++messages_unreadable_;
    return;
  }
  handle(ownership::message_received{std::move(received->from), std::move(received->body)});
}

void agent::implementation::expire_announcement() {
  if (!announced_ || boot_now() - last_announcement_ < announcement_age_max) return;
  announced_.reset();
  handle(ownership::upstream_lost{"no announcement within the time limit"});
}

short_response agent::implementation::on_upstream_request(const short_request& request) {
  if (request.target() != "/announce") return not_found(request);
  if (request.method() != http::verb::post) return method_not_allowed(request);
  failure reason;
  const auto announcement = upstream::parse_announcement(request.body(), reason);
  if (!announcement) {
    const nlohmann::json body = {{"message", reason.message}, {"remedy", reason.remedy}};
    return make_response(request, http::status::bad_request, "application/json", body.dump());
  }
  last_announcement_ = boot_now();
  if (announcement->state != upstream::readiness::ready) {
    if (announced_) {
      announced_.reset();
      handle(ownership::upstream_lost{"it announced that it accepts no more requests"});
    }
  } else if (!tables_->upstream_healthy(boot_now())) {
    announced_.reset();
  } else if (announced_ != announcement->upstream || !tables_->has_upstream()) {
    announced_ = announcement->upstream;
    tables_->upstream_announced(announcement->upstream);
    handle(ownership::upstream_announced{announcement->upstream});
  }
  return make_response(request, http::status::ok, "application/json", "{}");
}

short_response agent::implementation::on_operator_request(const short_request& request) {
  const std::string_view target(request.target().data(), request.target().size());
  if (target == "/log-level") {
    if (request.method() != http::verb::post) return method_not_allowed(request);
    const auto level = spdlog::level::from_str(request.body());
    if (level == spdlog::level::off && request.body() != "off") {
      return make_response(
          request, http::status::bad_request, "application/json",
          R"({"message":"no such log level","remedy":"use trace, debug, info, warning, error or off"})");
    }
    spdlog::set_level(level);
    return make_response(request, http::status::ok, "application/json", "{}");
  }
  if (request.method() != http::verb::get) return method_not_allowed(request);
  if (target == "/dump")
    return make_response(request, http::status::ok, "application/json", dump());
  if (target == "/status") {
    return make_response(request, http::status::ok, "application/json", status());
  }
  if (target == "/metrics") {
    return make_response(request, http::status::ok, "text/plain; version=0.0.4", metrics());
  }
  return not_found(request);
}

std::string agent::implementation::status() const {
  nlohmann::json state = {{"agent", to_string(self_.id)},
                          {"version", MASTICSHUNT_VERSION},
                          {"region", self_.region},
                          {"failure_domain", self_.failure_domain},
                          {"caller", self_.caller},
                          {"forward", self_.forward},
                          {"control", self_.control},
                          {"config_revision", tables_->config_revision()},
                          {"accepts_callers", tables_->accepts_callers()},
                          {"stopping", stage_ != lifecycle_stage::serving},
                          {"running", tables_->running()}};
  if (announced_) {
    state["upstream"] = {{"service", announced_->service}, {"address", announced_->address}};
  }
  return state.dump();
}

std::string agent::implementation::metrics() const {
  const auto& counts = tables_->counts;
  std::string text = "# TYPE masticshunt_requests_total counter\n";
  add_counter(text, "requests_total", "{outcome=\"served\"}", counts.served);
  add_counter(text, "requests_total", "{outcome=\"not-run\"}", counts.not_run);
  add_counter(text, "requests_total", "{outcome=\"may-have-run\"}", counts.may_have_run);
  add_counter(text, "requests_total", "{outcome=\"failed\"}", counts.failed);
  add_latencies(text, "request_seconds", tables_->served_latency);
  add_counter(text, "forwarded_total", "", counts.forwarded);
  add_counter(text, "retries_total", "", counts.retries);
  add_counter(text, "redirects_total", "", counts.redirects);
  const auto control = control_->counts();
  add_counter(text, "control_messages_total", "{direction=\"sent\"}", control.messages_sent);
  add_counter(text, "control_messages_total", "{direction=\"received\"}",
              control.messages_received);
  add_counter(text, "control_bytes_total", "{direction=\"sent\"}", control.bytes_sent);
  add_counter(text, "control_bytes_total", "{direction=\"received\"}", control.bytes_received);
  add_counter(text, "control_messages_dropped_total", "", control.messages_dropped);
  add_counter(text, "control_messages_unreadable_total", "", messages_unreadable_);
  const auto store = store_->counts();
  add_counter(text, "store_calls_total", "{kind=\"read\"}", store.reads);
  add_counter(text, "store_calls_total", "{kind=\"write\"}", store.writes);
  add_counter(text, "store_calls_total", "{kind=\"watch\"}", store.watches);
  add_counter(text, "store_failures_total", "", store.failures);
  return text;
}

double agent::implementation::routable_share(std::string_view service) const {
  if (!tables_) return 0;
  constexpr key_hash spacing = ~key_hash{0} / route_samples;
  unsigned routable = 0;
  for (unsigned sample = 0; sample < route_samples; ++sample) {
    if (tables_->route(service, spacing * sample)) ++routable;
  }
  return static_cast<double>(routable) / route_samples;
}

std::string agent::implementation::dump() const {
  if (!tables_) return "{}";
  auto state = nlohmann::json::parse(tables_->dump(boot_now()), nullptr, false);
  const auto control = control_->counts();
  state["control"] = {
      {"messages_sent", control.messages_sent}, {"messages_received", control.messages_received},
      {"bytes_sent", control.bytes_sent},       {"bytes_received", control.bytes_received},
      {"dropped", control.messages_dropped},    {"unreadable", messages_unreadable_},
      {"connections", control.connections}};
  const auto store = store_->counts();
  state["store"] = {{"reads", store.reads},           {"writes", store.writes},
                    {"watches", store.watches},       {"failures", store.failures},
                    {"read_backs", store.read_backs}, {"held_by_budget", store.held_by_budget}};
  return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace masticshunt::agent
