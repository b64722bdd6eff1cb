/// @file
/// Executes the actions of the claim holder and of the leaders (shard assignment).
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet/internal/fleet_view.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/heartbeat_responder.h"
#include "fleet/internal/key_calls.h"
#include "fleet/internal/store_client.h"
#include "masticshunt/decisions/claims/claim_holder.h"
#include "masticshunt/decisions/claims/leader.h"
#include "masticshunt/fleet/settings.h"

namespace masticshunt::fleet {

/// Runs the claim holder of the local upstream, and a leader for each service that is sharded by
/// key.
///
/// Life cycle: call `tick` about every `tick_interval`, and after each event that may cause an
/// action. Thread safety: none.
class claims_driver {
 public:
  static constexpr duration tick_interval = std::chrono::milliseconds{50};

  claims_driver(const boost::asio::any_io_executor& executor, const fleet_settings& settings,
                fleet_view& view, store_client& store, gate_service& gate, connection_pool& peers,
                support::event_log& log, std::uint64_t incarnation);

  /// Executes the actions that are due at `now`. Returns false if no further ticks are needed.
  bool tick(time_point now);
  /// The store is in `era`: what it said in earlier ones no longer counts.
  void begin_era(store_era era, time_point now);
  /// Handles a change of the known services or agents.
  void fleet_changed(time_point now);
  /// Sets the current incarnation of the local upstream, or nothing if there is none.
  void update_upstream(const std::optional<routing::upstream_incarnation>& incarnation,
                       const std::string& service, bool not_draining, std::uint32_t slots,
                       time_point last_heartbeat_at, time_point now);
  /// Sets whether the local upstream must own no keys because of where it stands.
  void set_relocating(bool relocating);
  /// Answers a heartbeat that reported `keys`, at once or later. `at_once`: it must not wait for
  /// keys to be granted or released.
  void heartbeat_received(std::shared_ptr<server_request> request,
                          const claims::reported_keys& keys, bool at_once, time_point now);
  /// Handles a claim map from the store or from a peer.
  void map_seen(const claims::claim_map& map, time_point now);
  /// Handles an update of a claim map from a peer. Fetches the map if the update follows a newer
  /// one than is known here.
  void update_seen(const claims::map_update& update, time_point now);
  /// Returns what changed in the map of `service` since `revision`, or nothing without a map.
  [[nodiscard]] std::optional<claims::map_update> changes_since(const std::string& service,
                                                                store_revision revision) const;
  /// Handles the report of an owner. Returns the reply.
  claims::leader_reply report_received(const claims::owner_report& report, time_point now);
  /// Fetches a newer claim map of `service` from its leader, or else from the store.
  void refresh_map(const std::string& service);
  /// Prepares for the end of this process: the leaders resign, and keys are granted for longer, so
  /// that the upstream holds them until the next process on this VM has started.
  void shut_down();
  /// Returns true while this agent is the leader of any service.
  [[nodiscard]] bool leads(time_point now) const;
  [[nodiscard]] const claims::claim_holder* holder() const { return holder_.get(); }

 private:
  void carry_out(const claims::holder_action& action);
  void carry_out(const std::string& service, const claims::leader_action& action);

  [[nodiscard]] bool in_era(const std::string& service, store_era era) const;
  /// Deletes an object of the era before `era`, which nobody reads any more.
  boost::asio::awaitable<void> discard_of_earlier_era(std::string kind, std::string name,
                                                      store_era era);

  boost::asio::awaitable<void> call_lease(platform::call call, bool writes);
  boost::asio::awaitable<void> report(claims::send_report outgoing);
  boost::asio::awaitable<void> grant(claims::grant_keys request);
  boost::asio::awaitable<void> release(claims::release_keys request);
  boost::asio::awaitable<void> read_leader_map(std::string service);
  boost::asio::awaitable<void> write_leader_map(std::string service, claims::write_map write);
  boost::asio::awaitable<void> read_owner_lease(std::string service, std::string agent);
  boost::asio::awaitable<void> delete_owner_lease(std::string service,
                                                  claims::delete_owner_lease request);
  boost::asio::awaitable<void> push(std::string service, claims::push_map pushed);
  boost::asio::awaitable<void> refresh(std::string service);
  boost::asio::awaitable<exchange_outcome> call_peer(endpoint to, std::string method,
                                                     std::string target, std::string body,
                                                     duration timeout, std::string headers = {});
  void log_event(const std::string& text);

  boost::asio::any_io_executor executor_;
  const fleet_settings& settings_;
  fleet_view& view_;
  store_client& store_;
  gate_service& gate_;
  connection_pool& peers_;
  support::event_log& log_;
  std::uint64_t incarnation_;
  claims::claim_timing timing_;
  key_calls key_calls_;
  std::unique_ptr<claims::claim_holder> holder_;
  std::string holder_service_;
  bool relocating_ = false;
  heartbeat_responder heartbeats_;
  std::map<std::string, std::unique_ptr<claims::leader>> leaders_;
  time_point earlier_leases_end_{};  ///< Of all leases that were granted in earlier eras.
  std::map<std::string, bool> is_candidate_;
  std::map<std::string, time_point> refresh_after_;
  time_point next_load_update_{};
};

/// @name Paths of calls between agents.
/// @{
inline constexpr std::string_view report_path = "/masticshunt/report";
inline constexpr std::string_view map_path = "/masticshunt/map/";
/// Header of a request for a map: the revision that the sender knows.
inline constexpr std::string_view map_known_header = "Masticshunt-Map-Known";
inline constexpr std::string_view state_path = "/masticshunt/state";
inline constexpr std::string_view version_gossip_path = "/masticshunt/greeting/";
inline constexpr std::string_view evacuations_path = "/masticshunt/evacuations";
/// Header of a gossip message: the revision at which the evacuated zones last changed.
inline constexpr std::string_view evacuations_known_header = "Masticshunt-Evacuations";
/// @}

}  // namespace masticshunt::fleet
