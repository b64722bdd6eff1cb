/// @file
/// Registration of the local upstream: receives its heartbeats and publishes its state.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/internal/fleet_view.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/http_server.h"
#include "fleet/internal/store_client.h"
#include "masticshunt/decisions/routing/upstream_watch.h"
#include "masticshunt/fleet/settings.h"

namespace masticshunt::fleet {

/// Receives and acknowledges heartbeats and deregistrations of the upstream, and publishes its
/// registration when it changes.
///
/// Draining, also said in an answer, and deregistration take effect locally at once, and are
/// written to the store before they are acknowledged, so that peers see them too. If the store does
/// not answer in time, the acknowledgement is sent without it: the next process on this VM does not
/// depend on it, as it uses an upstream only after a heartbeat. Thread safety: none.
class upstream_registrar {
 public:
  upstream_registrar(const boost::asio::any_io_executor& executor, const fleet_settings& settings,
                     fleet_view& view, store_client& store, gate_service& gate,
                     support::event_log& log);

  /// Answers a request from the upstream.
  void handle(std::shared_ptr<server_request> request);
  /// Takes from the store which incarnation an earlier process on this VM has published.
  void registrations_loaded();
  /// Detects connection failures and missed heartbeats, and publishes a changed registration.
  void tick(time_point now);
  /// Sets the callback that runs after each heartbeat or change of the upstream's state.
  void on_change(std::function<void()> action) { on_change_ = std::move(action); }
  /// Sets the callback that answers heartbeats which report keys. `changed`: the heartbeat changed
  /// the registration.
  using keys_handler = std::function<void(std::shared_ptr<server_request>,
                                          const claims::reported_keys&, bool changed)>;
  void on_keys(keys_handler action) { on_keys_ = std::move(action); }

  [[nodiscard]] const routing::upstream_watch& watch() const { return watch_; }
  /// Returns the registration to publish at `now`.
  [[nodiscard]] routing::registration registration(time_point now) const;

 private:
  boost::asio::awaitable<void> acknowledge(std::shared_ptr<server_request> request,
                                           platform::agent_request notification);
  boost::asio::awaitable<void> publish();
  void upstream_leaving(const routing::upstream_incarnation& incarnation);
  void apply(time_point now);
  /// Logs once for each incarnation if its heartbeats contradict the setting `grants`.
  void check_grants(const platform::heartbeat& heartbeat, time_point now);

  boost::asio::any_io_executor executor_;
  const fleet_settings& settings_;
  fleet_view& view_;
  store_client& store_;
  gate_service& gate_;
  support::event_log& log_;
  routing::upstream_watch watch_;
  std::optional<routing::registration> published_;
  bool publishing_ = false;
  time_point next_publish_{};
  bool unreachable_ = false;
  std::optional<routing::upstream_incarnation> grants_checked_;
  std::function<void()> on_change_;
  keys_handler on_keys_;
};

}  // namespace masticshunt::fleet
