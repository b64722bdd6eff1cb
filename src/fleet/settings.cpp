#include "masticshunt/fleet/settings.h"

#include <algorithm>
#include <array>
#include <variant>
#include <vector>

#include "masticshunt/support/ini.h"
#include "masticshunt/support/units.h"

namespace masticshunt::fleet {

namespace {

using member = std::variant<std::string fleet_settings::*, bool fleet_settings::*,
                            std::uint64_t fleet_settings::*, double fleet_settings::*,
                            std::chrono::milliseconds fleet_settings::*>;

enum class presence { required, optional };

struct entry {
  std::string_view section;
  std::string_view key;
  member place;
  presence when = presence::required;
  bool is_address = false;
};

const std::array entries{
    entry{"agent", "name", &fleet_settings::name},
    entry{"agent", "ip", &fleet_settings::ip},
    entry{"agent", "zone", &fleet_settings::zone},
    entry{"agent", "region", &fleet_settings::region},
    entry{"agent", "first_start", &fleet_settings::first_start, presence::optional},
    entry{"listen", "callers", &fleet_settings::callers, presence::required, true},
    entry{"listen", "readiness", &fleet_settings::readiness, presence::required, true},
    entry{"listen", "upstream", &fleet_settings::upstream_heartbeats, presence::required, true},
    entry{"listen", "peer_port", &fleet_settings::peer_port},
    entry{"listen", "metrics_port", &fleet_settings::metrics_port},
    entry{"upstream", "address", &fleet_settings::upstream, presence::optional, true},
    entry{"upstream", "service", &fleet_settings::service, presence::optional},
    entry{"upstream", "heartbeat", &fleet_settings::heartbeat, presence::optional},
    entry{"store", "address", &fleet_settings::store, presence::required, true},
    entry{"link", "bandwidth", &fleet_settings::link_megabits, presence::optional},
    entry{"bounds", "drain", &fleet_settings::drain, presence::optional},
    entry{"bounds", "grace", &fleet_settings::grace, presence::optional},
    entry{"bounds", "hold_max", &fleet_settings::hold_max, presence::optional},
    entry{"bounds", "repeat_ratio", &fleet_settings::repeat_ratio, presence::optional},
    entry{"bounds", "repeat_window", &fleet_settings::repeat_window, presence::optional},
    entry{"bounds", "repeat_slack", &fleet_settings::repeat_slack, presence::optional},
};

bool is_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  constexpr std::uint64_t port_max = 65'535;
  const auto port = support::count_from(text.substr(colon + 1));
  return port && *port > 0 && *port <= port_max;
}

/// Stores what `text` states. Returns an empty text, or what a valid value looks like.
std::string store_value(fleet_settings& to, const entry& what, const std::string& text) {
  const auto put = [&](auto fleet_settings::*place, const auto& value,
                       std::string_view form) -> std::string {
    if (!value) return std::string(form);
    to.*place = *value;
    return {};
  };
  if (what.is_address && !is_address(text)) return "write IP:PORT";
  if (const auto* place = std::get_if<std::string fleet_settings::*>(&what.place)) {
    to.** place = text;
    return {};
  }
  if (const auto* place = std::get_if<bool fleet_settings::*>(&what.place))
    return put(*place, support::flag_from(text), "write true or false");
  if (const auto* place = std::get_if<std::uint64_t fleet_settings::*>(&what.place))
    return put(*place, support::count_from(text), "write a whole number");
  if (const auto* place = std::get_if<double fleet_settings::*>(&what.place))
    return put(*place, support::number_from(text), "write a number");
  return put(std::get<std::chrono::milliseconds fleet_settings::*>(what.place),
             support::duration_from(text), "write a time such as 250ms or 3s");
}

}  // namespace

std::optional<fleet_settings> parse_fleet_settings(std::string_view file, std::string_view text,
                                                   failure& reason) {
  const auto document = support::parse_ini(file, text, reason);
  if (!document) return std::nullopt;
  fleet_settings settings;
  for (const entry& each : entries) {
    const auto* section = document->find(each.section);
    const auto* found = section == nullptr ? nullptr : section->find(each.key);
    if (found == nullptr || found->value.empty()) {
      if (each.when == presence::optional) continue;
      reason = {failure_kind::bad_input,
                std::string(file) + ": [" + std::string(each.section) + "] " +
                    std::string(each.key) + " is missing",
                "add it; docs/SETTINGS.md describes it"};
      return std::nullopt;
    }
    const std::string remedy = store_value(settings, each, found->value);
    if (remedy.empty()) continue;
    reason = support::failure_at(file, found->line,
                                 std::string(each.key) + " = \"" + found->value + "\" is invalid",
                                 remedy);
    return std::nullopt;
  }
  if (settings.link_megabits <= 0) {
    reason = {failure_kind::bad_input, std::string(file) + ": [link] bandwidth is not above zero",
              "write the VM's megabits a second"};
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
  std::string names;
  for (const entry& each : entries) {
    const bool same =
        std::visit([&](auto place) { return before.*place == after.*place; }, each.place);
    if (same) continue;
    if (!names.empty()) names += ',';
    names.append(each.section).append(".").append(each.key);
  }
  return names;
}

}  // namespace masticshunt::fleet
