/// @file
/// The settings of one agent, read from its INI file.
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

/// Limits on connections and requests of callers and peers.
struct limit_settings {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_held_bytes = 64 * 1024;  ///< Bodies up to this size are buffered for retries.
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds tcp_user_timeout{1'500};
  std::chrono::milliseconds pool_idle_age{20'000};    ///< For upstream and agent connections.
  std::chrono::milliseconds caller_idle_age{60'000};  ///< For callers' connections.
};

/// The level and format of an agent's log.
struct log_settings {
  std::string level = "info";        ///< trace, debug, info, warn, error or off.
  std::string format = "key-value";  ///< key-value or json.
};

/// The bandwidth of the links between regions that this agent may use.
struct link_share_settings {
  std::uint64_t bytes_per_second = 500'000'000;  ///< 4 Gbit/s.
};

/// All settings of an agent. Port 0 selects any free port.
struct agent_settings {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string address;  ///< The VM's IP address.
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

/// Parses settings from INI text; error messages refer to it as `file`. Checks the name, unit and
/// range of every key, and the consistency of the lease timing.
/// Returns nothing on failure and sets `reason` to the file, line, fault and remedy.
std::optional<agent_settings> parse_agent_settings(std::string_view file, std::string_view text,
                                                   failure& reason);

/// Reads and parses the INI file at `path`, as `parse_agent_settings` does.
std::optional<agent_settings> load_agent_settings(const std::string& path, failure& reason);

/// Names one setting and states whether it is required. Tests compare the settings with the sample
/// file and the documentation.
struct setting_description {
  std::string_view section;
  std::string_view key;
  bool required = false;
};

/// Returns the descriptions of all settings in the order of docs/SETTINGS.md.
std::vector<setting_description> setting_descriptions();

}  // namespace masticshunt::agent
