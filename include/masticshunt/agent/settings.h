/// @file
/// The settings of one agent, as its INI file states them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/types.h"
#include "masticshunt/decisions/requests/retry.h"
#include "masticshunt/platform/store_client.h"

namespace masticshunt::agent {

/// Limits on what callers and peers may hold.
struct limit_settings {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_held_bytes = 64 * 1024;  ///< Bodies up to this size can be sent again.
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds tcp_user_timeout{1'500};
  std::chrono::milliseconds pool_idle_age{20'000};    ///< Of connections to upstreams and agents.
  std::chrono::milliseconds caller_idle_age{60'000};  ///< Of callers' connections.
};

/// Everything an agent is told before it starts. Port 0 takes any free port.
struct agent_settings {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string address;  ///< The VM's IP number.
  std::uint16_t caller_port = 7000;
  std::uint16_t forward_port = 7100;
  std::uint16_t control_port = 7200;
  std::uint16_t upstream_port = 7300;
  std::uint16_t operator_port = 7400;
  std::uint32_t workers = 2;
  std::chrono::milliseconds drain_timeout{30'000};
  platform::store_client_settings store;
  limit_settings limits;
  ownership::lease_timing lease;
  requests::retry_settings retry;
};

}  // namespace masticshunt::agent
