#include "fleet/internal/agent_process.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>

#include "fleet/internal/agent_gauges.h"
#include "fleet/internal/spawn.h"
#include "masticshunt/decisions/routing/residency.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration listen_log_interval = std::chrono::seconds{1};
constexpr duration housekeeping_interval = std::chrono::milliseconds{100};
/// The first change is applied at once; further changes within this time form one batch.
constexpr duration registration_batching = std::chrono::milliseconds{900};
constexpr double bytes_of_megabit = 125'000;
constexpr std::uint64_t bytes_of_megabyte = std::uint64_t{1} << 20U;
/// Descriptors for everything but callers' connections, as a share of all: the store, the upstream,
/// peers, readiness, heartbeats, logs.
constexpr double reserved_descriptors = 0.25;
constexpr duration peer_idle_timeout = std::chrono::seconds{30};
constexpr duration peer_pool_idle = std::chrono::seconds{20};
/// How long a version spreads among peers faster than usual if the watches may not bring it.
constexpr duration version_spread_time = std::chrono::seconds{2};
constexpr std::string_view state_from_peer = "peer";
constexpr unsigned status_not_ready = 503;
constexpr unsigned status_not_found = 404;

/// Returns an incarnation that is unique in the fleet: start time in milliseconds, and in the low
/// bits a hash of the agent's name.
std::uint64_t incarnation_of_process(const std::string& name) {
  constexpr unsigned name_bits = 16;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto start = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  return (start << name_bits) | (std::hash<std::string>{}(name) & ((1U << name_bits) - 1));
}

}  // namespace

agent_process::agent_process(asio::io_context& context, fleet_settings settings, std::string path)
    : context_(context),
      settings_(std::move(settings)),
      path_(std::move(path)),
      log_(STDOUT_FILENO, settings_.name),
      incarnation_(incarnation_of_process(settings_.name)),
      budget_({.memory = settings_.memory_megabytes * bytes_of_megabyte}),
      view_(settings_),
      peer_pool_(context.get_executor(), {.idle_limit = peer_pool_idle}),
      store_(context.get_executor(), settings_.store, log_),
      gate_(context.get_executor(),
            {.upstream = settings_.upstream,
             .drain = settings_.drain,
             .link_bytes_per_second = settings_.link_megabits * bytes_of_megabit,
             .evacuation_handover = settings_.evacuation_handover()},
            log_, metrics_),
      claims_(context.get_executor(), settings_, view_, store_, gate_, peer_pool_, log_,
              incarnation_),
      evacuations_(settings_, view_, store_, log_),
      upstream_(context.get_executor(), settings_, view_, store_, gate_, log_),
      peers_(context.get_executor(), settings_, view_, gate_, claims_, peer_pool_, log_),
      ingress_(context.get_executor(), settings_, view_, gate_, peers_, claims_, log_, metrics_),
      callers_server_(context.get_executor(),
                      [this](auto request) { ingress_.handle(std::move(request)); }),
      readiness_server_(
          context.get_executor(),
          [this](auto request) { request->respond({.status = ready() ? 200 : status_not_ready}); }),
      upstream_server_(context.get_executor(),
                       [this](auto request) { upstream_.handle(std::move(request)); }),
      peer_server_(context.get_executor(),
                   [this](auto request) { peers_.handle(std::move(request)); }),
      metrics_server_(context.get_executor(), [this](auto request) { answer_metrics(request); }),
      housekeeping_timer_(context),
      claims_timer_(context),
      signals_(context, SIGTERM, SIGINT, SIGHUP),
      state_confirmation_({.bound = settings_.config}),
      random_(incarnation_) {
  limit_resources();
  for (auto* server :
       {&callers_server_, &readiness_server_, &upstream_server_, &peer_server_, &metrics_server_})
    server->on_accept_failed([this](const std::string& why) {
      support::event_text line("accept_failed");
      line.add_quoted("why", why).add_quoted("remedy", "raise the limit of open descriptors");
      log_event(line.text());
    });
  add_agent_gauges(metrics_, {view_, gate_, claims_, store_, log_, budget_});
  server_limits peer_limits;
  peer_limits.idle_timeout = peer_idle_timeout;
  peer_limits.header_bytes = 64 * 1024;
  peer_limits.handler_sends_continue = true;
  peer_limits.body_bytes = std::uint64_t{1} << 32U;
  peer_server_.set_limits(peer_limits);
  peers_.on_state([this](const std::string& text) { update_state(text, state_from_peer); });
  peers_.on_evacuations(
      [this](const routing::evacuation_set& set) { evacuations_.stated_by_peer(set); });
  evacuations_.on_change([this] { evacuations_changed(); });
  gate_.on_region_check([this](const attempt& request) { return region_allows(request); });
  upstream_.on_change([this] { fleet_changed(); });
  upstream_.on_keys([this](auto request, const claims::reported_keys& keys, bool changed) {
    claims_.heartbeat_received(std::move(request), keys, changed, boot_now());
  });
}

void agent_process::limit_resources() {
  using requests::memory_share;
  callers_server_.use_budget({&budget_, memory_share::callers},
                             [this](auto request) { ingress_.refuse_for_memory(request); });
  peer_server_.use_budget({&budget_, memory_share::peers},
                          [this](auto request) { peers_.refuse(request); });
  for (auto* server : {&callers_server_, &peer_server_})
    server->on_evicted([this](const eviction& closed) {
      const auto now = boot_now();
      support::event_text line("connection_evicted");
      line.add("why", closed.why)
          .add("sender", closed.sender)
          .add("bytes", closed.bytes)
          .add("age_ms", closed.age);
      log_.line(support::line_class::failure, line.text(), now);
    });
  callers_server_.set_limits(caller_limits());
}

server_limits agent_process::caller_limits() const {
  const auto& configured = view_.routes().state().limits;
  server_limits limits;
  limits.header_bytes = static_cast<std::uint32_t>(configured.header_bytes);
  limits.body_bytes = configured.body_bytes;
  limits.header_timeout = configured.header_timeout;
  limits.idle_timeout = configured.idle_timeout;
  limits.connections_max = static_cast<std::size_t>(static_cast<double>(settings_.descriptors) *
                                                    (1 - reserved_descriptors));
  return limits;
}

void agent_process::log_event(const std::string& text) {
  log_.line(support::line_class::process, text, boot_now());
}

std::string agent_process::start() {
  if (const auto failed = listen()) return failed->describe();
  serve();
  return {};
}

std::optional<listen_failure> agent_process::listen() {
  const std::string ip = settings_.ip + ":";
  const std::array<std::pair<http_server*, endpoint>, 5> servers{
      std::pair{&callers_server_, settings_.callers},
      std::pair{&readiness_server_, settings_.readiness},
      std::pair{&upstream_server_, settings_.upstream_heartbeats},
      std::pair{&peer_server_, settings_.peer_address()},
      std::pair{&metrics_server_, ip + std::to_string(settings_.metrics_port)}};
  for (const auto& [server, address] : servers)
    if (auto failed = server->listen(address)) return failed;
  return std::nullopt;
}

void agent_process::log_exception(std::string_view what) {
  support::event_text line("handler_failed");
  line.add_quoted("why", what);
  log_event(line.text());
  log_.flush(boot_now());
}

void agent_process::log_listen_failure(const listen_failure& failed) {
  const auto now = boot_now();
  if (now < next_listen_log_) return;
  next_listen_log_ = now + listen_log_interval;
  support::event_text line("listen_failed");
  line.add("address", failed.address)
      .add_quoted("why", failed.why.message())
      .add_quoted("remedy", "free the address, or change it in " + path_);
  log_event(line.text());
  log_.flush(now);
}

void agent_process::serve() {
  log_event("start version=" MASTICSHUNT_VERSION " zone=" + settings_.zone +
            " service=" + settings_.service + " upstream=" + settings_.upstream +
            " store=" + settings_.store + " life=" + std::to_string(incarnation_));
  watch_store();
  housekeeping();
  wait_for_signal();
}

void agent_process::watch_store() {
  state_watch_ = std::make_unique<store_watch>(
      store_, std::string(platform::kind_desired_state), store_watch::reading{},
      store_watch::handlers{.listed =
                                [this](const std::vector<platform::stored_object>& objects) {
                                  for (const auto& each : objects)
                                    if (each.name == platform::desired_state_name)
                                      update_state(each.spec, "store");
                                },
                            .changed =
                                [this](const platform::stored_change& change) {
                                  if (!change.deleted &&
                                      change.object.name == platform::desired_state_name)
                                    update_state(change.object.spec, "store");
                                },
                            .up_to_date =
                                [this](std::uint64_t /*revision*/) {
                                  view_.confirm_state(boot_now());
                                  state_confirmation_.store_answered();
                                }});
  // Gates refuse what an ingress agent sends to the wrong place, so registrations may be seconds
  // old. Only a restarted agent needs its own latest registration, which its first listing holds.
  const auto first_listing =
      settings_.first_start ? platform::freshness::seconds_old : platform::freshness::current;
  registration_watch_ = std::make_unique<store_watch>(
      store_, std::string(platform::kind_registrations),
      store_watch::reading{.first_listing = first_listing,
                           .changes = platform::freshness::seconds_old,
                           .batching = registration_batching},
      store_watch::handlers{
          .listed =
              [this](const std::vector<platform::stored_object>& objects) {
                std::vector<routing::registration> registrations;
                for (const auto& each : objects) {
                  failure reason;
                  auto registration = platform::decode_registration(each.name, each.spec, reason);
                  if (registration)
                    registrations.push_back(std::move(*registration));
                  else
                    log_event("registration_unreadable why=\"" + reason.describe() + "\"");
                }
                view_.directory.replace_all(std::move(registrations), boot_now());
                view_.directory_loaded = true;
                log_unknown_regions();
                upstream_.registrations_loaded();
                fleet_changed();
              },
          .changed =
              [this](const platform::stored_change& change) {
                if (change.deleted) {
                  view_.directory.remove(change.object.name);
                  fleet_changed();
                } else {
                  apply_registration(change.object);
                }
              }});
  spawn(context_, state_watch_->run());
  spawn(context_, registration_watch_->run());
  evacuations_.start();
}

void agent_process::update_state(const std::string& text, std::string_view from) {
  failure reason;
  auto state = platform::decode_desired_state(text, reason);
  if (!state) {
    log_event("state_unreadable from=" + std::string(from) + " why=\"" + reason.describe() + "\"");
    return;
  }
  const auto version = state->version;
  const auto unconfirmed_for = view_.state_age(boot_now()).value_or(duration{});
  if (!view_.update_state(std::move(*state), text)) return;
  if (from == state_from_peer) state_confirmation_.version_learned_from_peer(boot_now());
  if (from == state_from_peer || unconfirmed_for > version_spread_time)
    spread_until_ = boot_now() + version_spread_time;
  const auto& in_force = view_.routes().state();
  callers_server_.set_limits(caller_limits());
  support::event_text line("state_in_force");
  line.add("version", version)
      .add("from", from)
      .add("routes", in_force.routes.size())
      .add("unconfirmed_ms", unconfirmed_for);
  log_event(line.text());
  log_unknown_regions();
  fleet_changed();
}

void agent_process::log_unknown_regions() {
  if (!view_.directory_loaded) return;
  const auto unknown = routing::unknown_regions(
      view_.routes().state(),
      [this](const std::string& region) { return view_.directory.has_region(region); });
  for (const auto& each : unknown) {
    support::event_text line("route_names_unknown_region");
    line.add("route", each.route)
        .add("region", each.region)
        .add_quoted("remedy", "correct the region; no VM is registered there, so it serves nobody");
    log_event(line.text());
  }
}

bool agent_process::region_allows(const attempt& request) const {
  const auto& routes = view_.routes();
  if (routes.version() <= request.state_version) return true;
  const auto* route = routes.match(request.host, request.target);
  return route == nullptr || routing::allows_region(route->regions, settings_.region);
}

bool agent_process::upstream_is_misplaced() const {
  const auto& heartbeat = upstream_.watch().last();
  const std::string& service = heartbeat ? heartbeat->service : settings_.service;
  const auto regions = routing::owner_regions(view_.routes().state(), service);
  return view_.evacuations.evacuated_since(settings_.zone) ||
         !routing::allows_region(regions, settings_.region);
}

void agent_process::evacuations_changed() {
  gate_.set_evacuated_since(view_.evacuations.evacuated_since(settings_.zone));
  fleet_changed();
}

void agent_process::apply_registration(const platform::stored_object& object) {
  failure reason;
  auto registration = platform::decode_registration(object.name, object.spec, reason);
  if (!registration) {
    log_event("registration_unreadable why=\"" + reason.describe() + "\"");
    return;
  }
  if (registration->agent == settings_.name) return;
  const std::string text = "registration agent=" + registration->agent +
                           " upstream=" + registration->incarnation.id +
                           " service=" + registration->service +
                           " stage=" + std::string(routing::to_string(registration->stage));
  if (!view_.directory.put(std::move(*registration), boot_now())) return;
  log_event(text);
  fleet_changed();
}

void agent_process::fleet_changed() {
  const auto now = boot_now();
  claims_.fleet_changed(now);
  const auto& heartbeat = upstream_.watch().last();
  if (heartbeat) {
    if (const auto* service = view_.routes().find_service(heartbeat->service))
      gate_.set_slow_start(service->slow_start_rate, service->health_path);
    claims_.set_relocating(upstream_is_misplaced());
    const bool present = upstream_.watch().confirmed() && upstream_.watch().present(now);
    const bool not_draining = !upstream_.watch().draining_since();
    claims_.update_upstream(present ? std::optional(heartbeat->incarnation) : std::nullopt,
                            heartbeat->service, not_draining, gate_.usable_slots(),
                            upstream_.watch().last_heartbeat_at(), now);
  }
  for (const auto& [name, service] : view_.routes().state().services)
    if (service.keyed && view_.find_map(name) == nullptr) claims_.refresh_map(name);
  schedule_claims();
}

void agent_process::schedule_claims() {
  if (claims_scheduled_) return;
  const auto now = boot_now();
  if (!claims_.tick(now)) return;
  claims_scheduled_ = true;
  claims_timer_.expires_after(claims_driver::tick_interval);
  claims_timer_.async_wait([this](const boost::system::error_code& error) {
    claims_scheduled_ = false;
    if (!error) schedule_claims();
  });
}

void agent_process::housekeeping() {
  // First of all, so that what fails below is tried again.
  housekeeping_timer_.expires_after(housekeeping_interval);
  housekeeping_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) housekeeping();
  });
  const auto now = boot_now();
  for (auto* server :
       {&callers_server_, &readiness_server_, &upstream_server_, &peer_server_, &metrics_server_})
    server->sweep(now);
  peer_pool_.sweep(now);
  store_.sweep(now);
  gate_.tick(now);
  upstream_.tick(now);
  confirm_state(now);
  evacuations_.tick(now, std::uniform_real_distribution<double>(0, 1)(random_));
  peers_.tick(now, !store_.reached() || (spread_until_ && now < *spread_until_));
  for (const auto& [name, service] : view_.routes().state().services)
    if (service.keyed && view_.find_map(name) == nullptr) claims_.refresh_map(name);
  schedule_claims();
  if (shutdown_) advance_shutdown(now);
  return_memory();
  log_.flush(now);
}

void agent_process::return_memory() {
  using requests::memory_share;
  const bool pressed =
      budget_.under_pressure(memory_share::callers) || budget_.under_pressure(memory_share::peers);
  // The allocator keeps freed memory between blocks that are in use.
  if (std::exchange(memory_was_pressed_, pressed) && !pressed) ::malloc_trim(0);
}

void agent_process::confirm_state(time_point now) {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  if (state_confirmation_.due(now, view_.directory.size(), draw))
    spawn(context_, state_watch_->confirm());
}

bool agent_process::ready() const {
  return !shutdown_ && view_.routes().version() > 0 && view_.directory.all().size() > 1;
}

void agent_process::wait_for_signal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) return;
    signal == SIGHUP ? reload() : begin_shutdown();
    wait_for_signal();
  });
}

void agent_process::reload() {
  failure reason;
  auto reloaded = load_fleet_settings(path_, reason);
  if (!reloaded) {
    log_event("reload_refused why=\"" + reason.describe() + "\"");
    return;
  }
  const auto changed = changed_settings(settings_, *reloaded);
  settings_.drain = reloaded->drain;
  settings_.grace = reloaded->grace;
  settings_.repeat_ratio = reloaded->repeat_ratio;
  settings_.repeat_slack = reloaded->repeat_slack;
  gate_.set_drain(settings_.drain);
  ingress_.set_retry_bound(settings_.repeat_ratio, settings_.repeat_slack);
  log_event("reload changed=" + changed +
            " from_next_start=" + changed_settings(settings_, *reloaded));
}

void agent_process::begin_shutdown() {
  if (shutdown_) return;
  shutdown_.emplace(requests::shutdown_settings{.grace = settings_.grace}, boot_now());
  log_event("stop in_flight=" + std::to_string(callers_server_.open_requests()) +
            " gate=" + std::to_string(gate_.in_flight()));
  ingress_.begin_shutdown(*shutdown_);
  callers_server_.close_gracefully();
  claims_.shut_down();
}

void agent_process::advance_shutdown(time_point now) {
  if (!shutdown_->gate_is_open(now)) gate_.stop();
  if (!shutdown_->accepts_connections(now)) callers_server_.stop_accepting();
  const bool idle = callers_server_.idle() && gate_.in_flight() == 0 && peer_server_.idle();
  if (!shutdown_->ends(now, idle)) return;
  log_event("stopped in_flight=" + std::to_string(callers_server_.open_requests()));
  log_.flush(now);
  context_.stop();
}

void agent_process::answer_metrics(const std::shared_ptr<server_request>& request) {
  const auto target =
      std::string_view(request->head.target().data(), request->head.target().size());
  if (target == "/metrics") {
    request->respond(
        {.headers = "Content-Type: text/plain; version=0.0.4\r\n", .text = metrics_.text()});
  } else if (target == "/dump") {
    request->respond({.headers = "Content-Type: application/json\r\n", .text = dump(boot_now())});
  } else {
    request->respond({.status = status_not_found});
  }
}

std::string agent_process::dump(time_point now) const {
  using nlohmann::json;
  json upstreams = json::object();
  for (const auto* each : view_.directory.all())
    upstreams[each->agent] = {{"service", each->service},
                              {"upstream", each->incarnation.id},
                              {"stage", routing::to_string(each->stage)},
                              {"reachable", view_.directory.reachable(each->agent, now)}};
  json maps = json::object();
  for (const auto& [name, service] : view_.routes().state().services) {
    const auto* map = view_.find_map(name);
    if (map != nullptr) maps[name] = json::parse(claims::to_json_text(*map));
  }
  const auto load = gate_.load();
  return json{{"agent", settings_.name},
              {"state_version", view_.routes().version()},
              {"upstreams", upstreams},
              {"claims", maps},
              {"evacuated_zones", view_.evacuations.zones()},
              {"gate",
               {{"running", load.running},
                {"waiting", load.waiting},
                {"slots", load.slots},
                {"cold", gate_.cold()}}},
              {"leader", claims_.leads(now)},
              {"store_reached", store_.reached()}}
      .dump(2);
}

}  // namespace masticshunt::fleet
