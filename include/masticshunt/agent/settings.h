/// @file
/// The settings of one agent, as its INI file states them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/types.h"
#include "masticshunt/decisions/requests/retry.h"
#include "masticshunt/store/store_client.h"

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

/// How an agent writes its log.
struct log_settings {
  std::string level = "info";        ///< trace, debug, info, warn, error or off.
  std::string format = "key-value";  ///< key-value or json.
};

/// The share of the links between regions that this agent may use.
struct link_share_settings {
  std::uint64_t bytes_per_second = 500'000'000;  ///< 4 Gbit/s.
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
  store::store_client_settings store;
  limit_settings limits;
  ownership::lease_timing lease;
  requests::retry_settings retry;
  log_settings log;
  link_share_settings link;
};

/// Reads settings from INI text; `file` names it in errors. Every key is checked for its name,
/// unit and range, and the lease timing for consistency.
/// Returns the settings, or nothing with `reason` filled: file, line, fault and remedy.
std::optional<agent_settings> parse_agent_settings(std::string_view file, std::string_view text,
                                                   failure& reason);

/// Reads settings from the INI file at `path`.
std::optional<agent_settings> load_agent_settings(const std::string& path, failure& reason);

/// Describes one setting, for the documentation's test and for remedies.
struct setting_description {
  std::string_view section;
  std::string_view key;
  bool required = false;
};

/// Returns all settings in the order of docs/SETTINGS.md.
std::vector<setting_description> setting_descriptions();

}  // namespace masticshunt::agent
