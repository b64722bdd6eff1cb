/// @file
/// The agent process: creates the components of an agent and runs them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "fleet/internal/claims_driver.h"
#include "fleet/internal/evacuation_feed.h"
#include "fleet/internal/fleet_view.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/http_client.h"
#include "fleet/internal/http_server.h"
#include "fleet/internal/ingress.h"
#include "fleet/internal/peer_service.h"
#include "fleet/internal/store_client.h"
#include "fleet/internal/store_watch.h"
#include "fleet/internal/upstream_registrar.h"
#include "masticshunt/decisions/requests/shutdown_plan.h"
#include "masticshunt/decisions/routing/state_confirmation.h"
#include "masticshunt/fleet/settings.h"
#include "masticshunt/support/event_log.h"
#include "masticshunt/support/metrics.h"

namespace masticshunt::fleet {

/// An agent with one thread and one event loop.
///
/// Life cycle: construct, call `start`, or `listen` until it succeeds and then `serve`, and run the
/// context until it stops. After a stop signal the
/// agent resigns its leaderships, stops accepting requests, completes those in flight and stops
/// the context; it does not wait for them longer than the grace period.
class agent_process {
 public:
  agent_process(boost::asio::io_context& context, fleet_settings settings, std::string path);

  /// Opens the endpoints and starts the agent. Returns an empty text, or the reason of a failure.
  std::string start();
  /// Opens the endpoints that are not open yet. Returns why one of them can't be opened, or
  /// nothing; it may be called again after a failure.
  std::optional<listen_failure> listen();
  /// Serves at the open endpoints.
  void serve();
  /// Logs an exception that left a handler.
  void log_exception(std::string_view what);
  /// Logs that an endpoint can't be opened yet, from time to time.
  void log_listen_failure(const listen_failure& failed);

  /// Stops the agent as SIGTERM does.
  void begin_shutdown();

  /// Returns the version of the desired state in force; zero before the first.
  [[nodiscard]] std::uint64_t state_version() const { return view_.routes().version(); }

 private:
  /// Bounds what callers and peers can make this process hold.
  void limit_resources();
  [[nodiscard]] server_limits caller_limits() const;
  void watch_store();
  void update_state(const std::string& text, std::string_view from);
  void apply_registration(const platform::stored_object& object);
  void fleet_changed();
  void evacuations_changed();
  /// Returns true if the local upstream must own no keys because of where it stands.
  [[nodiscard]] bool upstream_is_misplaced() const;
  /// Returns true if the route of `request` in force here allows this region, or if its ingress
  /// agent has decided by the same version or a newer one.
  [[nodiscard]] bool region_allows(const attempt& request) const;
  void log_unknown_regions();
  void housekeeping();
  /// Gives freed memory back to the system after the budget was under pressure.
  void return_memory();
  void confirm_state(time_point now);
  void schedule_claims();
  void wait_for_signal();
  void reload();
  void advance_shutdown(time_point now);
  void answer_metrics(const std::shared_ptr<server_request>& request);
  [[nodiscard]] bool ready() const;
  [[nodiscard]] std::string dump(time_point now) const;
  void log_event(const std::string& text);

  boost::asio::io_context& context_;
  fleet_settings settings_;
  std::string path_;
  support::event_log log_;
  support::metrics_registry metrics_;
  std::uint64_t incarnation_;
  requests::memory_budget budget_;
  bool memory_was_pressed_ = false;
  fleet_view view_;
  connection_pool peer_pool_;
  store_client store_;
  gate_service gate_;
  claims_driver claims_;
  evacuation_feed evacuations_;
  upstream_registrar upstream_;
  peer_service peers_;
  ingress ingress_;
  http_server callers_server_;
  http_server readiness_server_;
  http_server upstream_server_;
  http_server peer_server_;
  http_server metrics_server_;
  std::unique_ptr<store_watch> state_watch_;
  std::unique_ptr<store_watch> registration_watch_;
  boost::asio::steady_timer housekeeping_timer_;
  boost::asio::steady_timer claims_timer_;
  boost::asio::signal_set signals_;
  std::optional<requests::shutdown_plan> shutdown_;
  bool claims_scheduled_ = false;
  routing::state_confirmation state_confirmation_;
  std::optional<time_point> spread_until_;  ///< Until then, peers may have missed the new version.
  std::mt19937_64 random_;
  time_point next_listen_log_{};
};

}  // namespace masticshunt::fleet
