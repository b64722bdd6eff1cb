/// @file
/// Communication between agents: requests from peers, requests to peers, and version gossip.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "fleet/internal/attempt.h"
#include "fleet/internal/claims_driver.h"
#include "fleet/internal/fleet_view.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/http_client.h"
#include "masticshunt/decisions/routing/version_fetch.h"
#include "masticshunt/support/event_log.h"

namespace masticshunt::fleet {

/// Serves requests of peers at the local gate, and forwards requests to peers.
///
/// Thread safety: none.
class peer_service {
 public:
  peer_service(const boost::asio::any_io_executor& executor, const fleet_settings& settings,
               fleet_view& view, gate_service& gate, claims_driver& claims, connection_pool& peers,
               support::event_log& log);

  /// Answers a request from a peer.
  void handle(std::shared_ptr<server_request> request);

  /// Refuses a request for whose body there is no memory.
  void refuse(const std::shared_ptr<server_request>& request);

  /// Sends an attempt to `agent` at the address `to`.
  boost::asio::awaitable<attempt_outcome> send(std::shared_ptr<attempt> outgoing, std::string agent,
                                               endpoint to);

  /// Sends the version of the desired state to a random peer when the gossip interval has passed,
  /// so that an agent that does not get the state from the store can fetch it from a peer. With
  /// `hurry` the interval is short.
  void tick(time_point now, bool hurry);

  /// Sets the callback for a desired state, in its stored form, that was fetched from a peer.
  void on_state(std::function<void(const std::string&)> action) { on_state_ = std::move(action); }
  /// Sets the callback for evacuated zones that were fetched from a peer.
  void on_evacuations(std::function<void(const routing::evacuation_set&)> action) {
    on_evacuations_ = std::move(action);
  }

 private:
  boost::asio::awaitable<void> serve(std::shared_ptr<server_request> request,
                                     std::shared_ptr<attempt> forwarded);
  boost::asio::awaitable<void> serve_call(std::shared_ptr<server_request> request);
  boost::asio::awaitable<void> gossip_version(endpoint peer);
  void observe_version(const endpoint& peer, std::uint64_t state_version);
  boost::asio::awaitable<void> fetch_states(endpoint peer);
  boost::asio::awaitable<void> fetch_state(endpoint peer);
  void observe_evacuations(const endpoint& peer, std::uint64_t changed_at);
  boost::asio::awaitable<void> fetch_evacuations(endpoint peer);
  /// Returns the document at `path` of `peer`, or nothing after logging why there is none.
  boost::asio::awaitable<std::optional<std::string>> fetch_document(endpoint peer,
                                                                    std::string_view path);
  std::string state_document() const;

  boost::asio::any_io_executor executor_;
  const fleet_settings& settings_;
  fleet_view& view_;
  gate_service& gate_;
  claims_driver& claims_;
  connection_pool& peers_;
  support::event_log& log_;
  std::function<void(const std::string&)> on_state_;
  std::function<void(const routing::evacuation_set&)> on_evacuations_;
  routing::version_fetch version_fetch_;
  routing::version_fetch evacuations_fetch_;
  time_point next_gossip_{};
  std::mt19937_64 random_;
};

}  // namespace masticshunt::fleet
