/// @file
/// The upstream beside an agent: its heartbeats, and what the fleet is told of it.
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

/// Takes the upstream's words, acknowledges them, and publishes its registration when it changes.
///
/// A word that the upstream leaves is in force here at once, and in the store before it is
/// acknowledged, so that a successor of this process knows it too; only a store that does not
/// answer in time can't hold up the acknowledgement.
/// Thread safety: none.
class upstream_registrar {
 public:
  upstream_registrar(const boost::asio::any_io_executor& executor, const fleet_settings& settings,
                     fleet_view& known, store_client& store, gate_service& gate,
                     support::event_log& log);

  /// Answers a request of the upstream.
  void handle(std::shared_ptr<server_request> request);
  /// Takes over what an earlier process on this VM published.
  void registrations_loaded();
  /// Lets time act: silence, and publishing what has changed.
  void tick(time_point now);
  /// Sets who is told of every change.
  void on_change(std::function<void()> action) { on_change_ = std::move(action); }

  [[nodiscard]] const routing::upstream_watch& watch() const { return watch_; }
  /// Returns the registration as it should be published.
  [[nodiscard]] routing::registration registration(time_point now) const;

 private:
  boost::asio::awaitable<void> acknowledge(std::shared_ptr<server_request> request,
                                           platform::agent_request what);
  boost::asio::awaitable<void> publish();
  void apply(time_point now);

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
  bool down_ = false;
  std::function<void()> on_change_;
};

}  // namespace masticshunt::fleet
