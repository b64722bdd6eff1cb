#include "masticshunt/fleet/settings.h"

#include <algorithm>
#include <array>
#include <variant>
#include <vector>

#include "masticshunt/support/ini.h"
#include "masticshunt/support/units.h"

namespace masticshunt::fleet {

namespace {

using field_pointer = std::variant<std::string fleet_settings::*, bool fleet_settings::*,
                                   std::uint64_t fleet_settings::*, double fleet_settings::*,
                                   std::chrono::milliseconds fleet_settings::*,
                                   claims::grant_transport fleet_settings::*>;

enum class presence { required, optional };

struct setting_spec {
  std::string_view section;
  std::string_view key;
  field_pointer field;
  presence presence_rule = presence::required;
  bool is_address = false;
};

const std::array setting_specs{
    setting_spec{"agent", "name", &fleet_settings::name},
    setting_spec{"agent", "ip", &fleet_settings::ip},
    setting_spec{"agent", "zone", &fleet_settings::zone},
    setting_spec{"agent", "region", &fleet_settings::region},
    setting_spec{"agent", "first_start", &fleet_settings::first_start, presence::optional},
    setting_spec{"listen", "callers", &fleet_settings::callers, presence::required, true},
    setting_spec{"listen", "readiness", &fleet_settings::readiness, presence::required, true},
    setting_spec{"listen", "upstream", &fleet_settings::upstream_heartbeats, presence::required,
                 true},
    setting_spec{"listen", "peer_port", &fleet_settings::peer_port},
    setting_spec{"listen", "metrics_port", &fleet_settings::metrics_port},
    setting_spec{"upstream", "address", &fleet_settings::upstream, presence::optional, true},
    setting_spec{"upstream", "service", &fleet_settings::service, presence::optional},
    setting_spec{"upstream", "heartbeat", &fleet_settings::heartbeat, presence::optional},
    setting_spec{"upstream", "grants", &fleet_settings::grants, presence::optional},
    setting_spec{"store", "address", &fleet_settings::store, presence::required, true},
    setting_spec{"link", "bandwidth", &fleet_settings::link_megabits, presence::optional},
    setting_spec{"limits", "memory", &fleet_settings::memory_megabytes, presence::optional},
    setting_spec{"limits", "descriptors", &fleet_settings::descriptors, presence::optional},
    setting_spec{"bounds", "drain", &fleet_settings::drain, presence::optional},
    setting_spec{"bounds", "grace", &fleet_settings::grace, presence::optional},
    setting_spec{"bounds", "config", &fleet_settings::config, presence::optional},
    setting_spec{"bounds", "evacuate", &fleet_settings::evacuate, presence::optional},
    setting_spec{"bounds", "hold_max", &fleet_settings::hold_max, presence::optional},
    setting_spec{"bounds", "repeat_ratio", &fleet_settings::repeat_ratio, presence::optional},
    setting_spec{"bounds", "repeat_window", &fleet_settings::repeat_window, presence::optional},
    setting_spec{"bounds", "repeat_slack", &fleet_settings::repeat_slack, presence::optional},
};

bool is_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  constexpr std::uint64_t port_max = 65'535;
  const auto port = support::count_from(text.substr(colon + 1));
  return port && *port > 0 && *port <= port_max;
}

std::optional<claims::grant_transport> grant_transport_from(std::string_view text) {
  if (text == "call") return claims::grant_transport::call;
  if (text == "heartbeat") return claims::grant_transport::heartbeat;
  return std::nullopt;
}

/// Parses `text` and stores the value. Returns an empty text, or the form of a valid value.
std::string store_value(fleet_settings& settings, const setting_spec& spec,
                        const std::string& text) {
  const auto assign = [&](auto fleet_settings::*field, const auto& value,
                          std::string_view valid_form) -> std::string {
    if (!value) return std::string(valid_form);
    settings.*field = *value;
    return {};
  };
  if (spec.is_address && !is_address(text)) return "write IP:PORT";
  if (const auto* field = std::get_if<std::string fleet_settings::*>(&spec.field)) {
    settings.** field = text;
    return {};
  }
  if (const auto* field = std::get_if<bool fleet_settings::*>(&spec.field))
    return assign(*field, support::flag_from(text), "write true or false");
  if (const auto* field = std::get_if<std::uint64_t fleet_settings::*>(&spec.field))
    return assign(*field, support::count_from(text), "write a whole number");
  if (const auto* field = std::get_if<double fleet_settings::*>(&spec.field))
    return assign(*field, support::number_from(text), "write a number");
  if (const auto* field = std::get_if<claims::grant_transport fleet_settings::*>(&spec.field))
    return assign(*field, grant_transport_from(text), "write call or heartbeat");
  return assign(std::get<std::chrono::milliseconds fleet_settings::*>(spec.field),
                support::duration_from(text), "write a time such as 250ms or 3s");
}

}  // namespace

std::optional<fleet_settings> parse_fleet_settings(std::string_view file, std::string_view text,
                                                   failure& reason) {
  const auto document = support::parse_ini(file, text, reason);
  if (!document) return std::nullopt;
  fleet_settings settings;
  for (const setting_spec& spec : setting_specs) {
    const auto* section = document->find(spec.section);
    const auto* ini_value = section == nullptr ? nullptr : section->find(spec.key);
    if (ini_value == nullptr || ini_value->value.empty()) {
      if (spec.presence_rule == presence::optional) continue;
      reason = {failure_kind::bad_input,
                std::string(file) + ": [" + std::string(spec.section) + "] " +
                    std::string(spec.key) + " is missing",
                "add it; docs/SETTINGS.md describes it"};
      return std::nullopt;
    }
    const std::string remedy = store_value(settings, spec, ini_value->value);
    if (remedy.empty()) continue;
    reason = support::failure_at(
        file, ini_value->line, std::string(spec.key) + " = \"" + ini_value->value + "\" is invalid",
        remedy);
    return std::nullopt;
  }
  if (settings.link_megabits <= 0) {
    reason = {failure_kind::bad_input, std::string(file) + ": [link] bandwidth is not above zero",
              "write the VM's bandwidth in megabits per second"};
    return std::nullopt;
  }
  if (settings.config <= std::chrono::milliseconds{0}) {
    reason = {failure_kind::bad_input, std::string(file) + ": [bounds] config is not above zero",
              "write the time in which a new desired state must be in force"};
    return std::nullopt;
  }
  return settings;
}

std::optional<fleet_settings> load_fleet_settings(const std::string& path, failure& reason) {
  const auto text = support::read_file(path, reason);
  if (!text) return std::nullopt;
  return parse_fleet_settings(path, *text, reason);
}

std::string changed_settings(const fleet_settings& before, const fleet_settings& after) {
  std::string changed;
  for (const setting_spec& spec : setting_specs) {
    const bool same =
        std::visit([&](auto field) { return before.*field == after.*field; }, spec.field);
    if (same) continue;
    if (!changed.empty()) changed += ',';
    changed.append(spec.section).append(".").append(spec.key);
  }
  return changed;
}

}  // namespace masticshunt::fleet
