/// @file
/// Settings of the fleet agent, read from an INI file and validated.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/decisions/claims/claim_holder.h"

namespace masticshunt::fleet {

/// The settings of an agent. docs/SETTINGS.md describes each of them.
struct fleet_settings {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  bool first_start = false;

  endpoint callers;  ///< Listens for requests of callers and of the local upstream.
  endpoint readiness;
  endpoint upstream_heartbeats;  ///< Listens for heartbeats of the local upstream.
  std::uint64_t peer_port = 0;
  std::uint64_t metrics_port = 0;

  endpoint upstream;
  std::string service;
  std::chrono::milliseconds heartbeat{1'000};
  /// How the upstream takes its keys, if its service is sharded by key.
  claims::grant_transport grants = claims::grant_transport::call;

  endpoint store;

  double link_megabits = 1'000;  ///< Bandwidth of this VM's link in Mbit/s, each way.

  std::uint64_t memory_megabytes = 160;  ///< That the process may use.
  std::uint64_t descriptors = 4'100;     ///< That the process may open.

  std::chrono::milliseconds drain{2'000};
  std::chrono::milliseconds grace{6'000};
  std::chrono::milliseconds config{2'000};  ///< In which a new desired state must be in force.
  /// In which the upstreams of a failure domain must get no more requests after an operator's
  /// order; zero: there are no such orders.
  std::chrono::milliseconds evacuate{0};
  std::chrono::milliseconds hold_max{10'000};
  double repeat_ratio = 0.2;
  std::chrono::milliseconds repeat_window{10'000};
  double repeat_slack = 60;

  bool operator==(const fleet_settings&) const = default;

  /// Returns for how long after an order to evacuate its zone an owner still serves its keys.
  [[nodiscard]] std::chrono::milliseconds evacuation_handover() const { return evacuate / 2; }
  /// Returns the address at which peers reach this agent.
  [[nodiscard]] endpoint peer_address() const { return ip + ":" + std::to_string(peer_port); }
};

/// Parses settings from INI text. Returns nothing if they are invalid; `reason` then names the
/// setting, its line if it has one, and the remedy.
std::optional<fleet_settings> parse_fleet_settings(std::string_view file, std::string_view text,
                                                   failure& reason);
/// Reads settings from the file at `path`.
std::optional<fleet_settings> load_fleet_settings(const std::string& path, failure& reason);

/// Returns the settings whose values differ, as "section.key", separated by commas.
std::string changed_settings(const fleet_settings& before, const fleet_settings& after);

}  // namespace masticshunt::fleet
