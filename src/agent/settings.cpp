#include "masticshunt/agent/settings.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <variant>

#include "masticshunt/support/ini.h"
#include "masticshunt/support/units.h"

namespace masticshunt::agent {

namespace {

using std::chrono::milliseconds;
using support::ini_document;
using support::ini_entry;

/// Returns the member for a size in bytes. The separate type distinguishes sizes, which are parsed
/// with units such as KiB, from plain counts.
using size_accessor = std::size_t& (*)(agent_settings&);
using member_accessor =
    std::variant<std::string& (*)(agent_settings&), std::uint16_t& (*)(agent_settings&),
                 std::uint32_t& (*)(agent_settings&), double& (*)(agent_settings&),
                 milliseconds& (*)(agent_settings&), duration& (*)(agent_settings&), size_accessor,
                 std::vector<endpoint>& (*)(agent_settings&)>;

/// One setting: its INI section and key, the member that stores it, and its bounds in the unit of
/// its type.
struct setting {
  std::string_view section;
  std::string_view key;
  member_accessor accessor;
  double minimum = 0;
  double maximum = 0;
  bool required = false;
};

template <auto Member>
constexpr auto member() {
  return +[](agent_settings & settings) -> auto& {
    return settings.*Member;
  };
}

template <auto Outer, auto Inner>
constexpr auto member() {
  return +[](agent_settings & settings) -> auto& {
    return (settings.*Outer).*Inner;
  };
}

using top_level = agent_settings;
using store = store::store_client_settings;
using limits = limit_settings;
using lease = ownership::lease_timing;
using retry = requests::retry_settings;

constexpr double port_max = 65'535;
constexpr double minute_ms = 60'000;
constexpr double hour_ms = 3'600'000;
constexpr double mebibyte = 1'048'576;

const std::array settings_table{
    setting{"agent", "name", member<&top_level::name>(), 1, 64, true},
    setting{"agent", "region", member<&top_level::region>(), 1, 64, true},
    setting{"agent", "failure_domain", member<&top_level::failure_domain>(), 1, 64, true},
    setting{"agent", "address", member<&top_level::address>(), 1, 64, true},
    setting{"agent", "caller_port", member<&top_level::caller_port>(), 0, port_max},
    setting{"agent", "forward_port", member<&top_level::forward_port>(), 0, port_max},
    setting{"agent", "control_port", member<&top_level::control_port>(), 0, port_max},
    setting{"agent", "upstream_port", member<&top_level::upstream_port>(), 0, port_max},
    setting{"agent", "operator_port", member<&top_level::operator_port>(), 0, port_max},
    setting{"agent", "workers", member<&top_level::workers>(), 1, 64},
    setting{"agent", "drain_timeout", member<&top_level::drain_timeout>(), 0, hour_ms},
    setting{"store", "addresses", member<&top_level::store, &store::addresses>(), 1, 16, true},
    setting{"store", "calls_per_second", member<&top_level::store, &store::calls_per_second>(),
            0.01, 10'000},
    setting{"store", "burst", member<&top_level::store, &store::burst>(), 1, 100'000},
    setting{"store", "call_deadline", member<&top_level::store, &store::call_deadline>(), 10,
            minute_ms},
    setting{"store", "watch_duration", member<&top_level::store, &store::watch_duration>(), 100,
            minute_ms},
    setting{"store", "backoff_first", member<&top_level::store, &store::backoff_first>(), 1,
            minute_ms},
    setting{"store", "backoff_max", member<&top_level::store, &store::backoff_max>(), 1, minute_ms},
    setting{"limits", "header_size", member<&top_level::limits, &limits::header_bytes>(), 1'024,
            mebibyte},
    setting{"limits", "body_held", member<&top_level::limits, &limits::body_held_bytes>(), 0,
            16 * mebibyte},
    setting{"limits", "connect_timeout", member<&top_level::limits, &limits::connect_timeout>(), 1,
            minute_ms},
    setting{"limits", "tcp_user_timeout", member<&top_level::limits, &limits::tcp_user_timeout>(),
            100, minute_ms},
    setting{"limits", "pool_idle_age", member<&top_level::limits, &limits::pool_idle_age>(), 100,
            hour_ms},
    setting{"limits", "caller_idle_age", member<&top_level::limits, &limits::caller_idle_age>(),
            100, hour_ms},
    setting{"lease", "lease", member<&top_level::lease, &lease::lease>(), 100, minute_ms},
    setting{"lease", "renewal_interval", member<&top_level::lease, &lease::renewal_interval>(), 10,
            minute_ms},
    setting{"lease", "support", member<&top_level::lease, &lease::support>(), 100, minute_ms},
    setting{"lease", "store_support", member<&top_level::lease, &lease::store_support>(), 100,
            minute_ms},
    setting{"lease", "support_interval", member<&top_level::lease, &lease::support_interval>(), 10,
            minute_ms},
    setting{"lease", "owner_silence", member<&top_level::lease, &lease::owner_suspicion_timeout>(),
            100, minute_ms},
    setting{"lease", "renewer_silence",
            member<&top_level::lease, &lease::renewer_suspicion_timeout>(), 100, minute_ms},
    setting{"lease", "tick", member<&top_level::lease, &lease::tick>(), 1, 1'000},
    setting{"lease", "pause_limit", member<&top_level::lease, &lease::pause_limit>(), 10,
            minute_ms},
    setting{"lease", "margin", member<&top_level::lease, &lease::margin>(), 1, minute_ms},
    setting{"lease", "clock_drift_ppm", member<&top_level::lease, &lease::clock_drift_ppm>(), 0,
            10'000},
    setting{"retry", "budget", member<&top_level::retry, &retry::budget_share>(), 0, 1},
    setting{"retry", "burst", member<&top_level::retry, &retry::budget_burst>(), 0, 10'000},
    setting{"retry", "attempts", member<&top_level::retry, &retry::attempts_max>(), 1, 10},
    setting{"retry", "backoff_first", member<&top_level::retry, &retry::backoff_first>(), 1,
            minute_ms},
    setting{"retry", "backoff_max", member<&top_level::retry, &retry::backoff_max>(), 1, minute_ms},
    setting{"log", "level", member<&top_level::log, &log_settings::level>(), 1, 16},
    setting{"log", "format", member<&top_level::log, &log_settings::format>(), 1, 16},
    setting{"link", "bandwidth", member<&top_level::link, &link_share_settings::bytes_per_second>(),
            1'000, 1e11},
};

std::string bounds_text(const setting& definition, const std::string& form) {
  const auto to_text = [](double value) {
    const auto integer = static_cast<std::int64_t>(value);
    if (static_cast<double>(integer) == value) return std::to_string(integer);
    return std::to_string(value);
  };
  return "write " + form + " from " + to_text(definition.minimum) + " to " +
         to_text(definition.maximum);
}

bool in_bounds(const setting& definition, double value) {
  return definition.minimum <= value && value <= definition.maximum;
}

/// @name Parsers for each type. They return the remedy if `text` is not valid.
/// @{
std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      std::string& to) {
  to = text;
  if (in_bounds(definition, static_cast<double>(text.size()))) return std::nullopt;
  return bounds_text(definition, "a text with a length");
}

template <class Integer>
std::optional<std::string> read_integer(const setting& definition, const std::string& text,
                                        Integer& to) {
  const auto value = support::count_from(text);
  if (!value || !in_bounds(definition, static_cast<double>(*value))) {
    return bounds_text(definition, "a whole number");
  }
  to = static_cast<Integer>(*value);
  return std::nullopt;
}

std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      std::uint16_t& to) {
  return read_integer(definition, text, to);
}

std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      std::uint32_t& to) {
  return read_integer(definition, text, to);
}

std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      double& to) {
  const auto value = support::share_from(text);
  if (!value || !in_bounds(definition, *value))
    return bounds_text(definition, "a number or a percentage such as 25%");
  to = *value;
  return std::nullopt;
}

template <class Duration>
std::optional<std::string> read_duration(const setting& definition, const std::string& text,
                                         Duration& to) {
  const auto value = support::duration_from(text);
  if (!value || !in_bounds(definition, static_cast<double>(value->count()))) {
    return bounds_text(definition, "a duration such as 250ms, 3s or 2m,") + " ms";
  }
  to = *value;
  return std::nullopt;
}

std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      milliseconds& to) {
  return read_duration(definition, text, to);
}

std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      duration& to) {
  return read_duration(definition, text, to);
}

std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      std::size_t& to) {
  const auto value = support::size_from(text);
  if (!value || !in_bounds(definition, static_cast<double>(*value))) {
    return bounds_text(definition, "a size such as 512B, 64KiB or 1MiB,") + " bytes";
  }
  to = *value;
  return std::nullopt;
}

bool is_address(const std::string& text) {
  boost::system::error_code error;
  boost::asio::ip::make_address(text, error);
  return !error;
}

bool is_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  const auto port = support::count_from(std::string_view(text).substr(colon + 1));
  return is_address(text.substr(0, colon)) && port && 0 < *port &&
         static_cast<double>(*port) <= port_max;
}

std::optional<std::string> read_value(const setting& definition, const std::string& text,
                                      std::vector<endpoint>& to) {
  to.clear();
  std::string_view rest = text;
  while (!rest.empty()) {
    const auto end = std::min(rest.find(','), rest.size());
    std::string item(rest.substr(0, end));
    std::erase(item, ' ');
    to.push_back(std::move(item));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  if (in_bounds(definition, static_cast<double>(to.size())) &&
      std::ranges::all_of(to, is_endpoint)) {
    return std::nullopt;
  }
  return "write IP addresses with ports, separated by commas, such as 10.0.0.5:4700";
}
/// @}

std::string remedy_for_unknown(std::string_view wrong, const std::vector<std::string_view>& known) {
  const auto nearest = support::nearest_name(wrong, known);
  return nearest.empty() ? "remove it, or see docs/SETTINGS.md for the names" : "write " + nearest;
}

std::vector<std::string_view> known_keys(std::string_view section) {
  std::vector<std::string_view> result;
  for (const auto& each : settings_table) {
    if (each.section == section) result.push_back(each.key);
  }
  return result;
}

std::vector<std::string_view> known_sections() {
  std::vector<std::string_view> result;
  std::ranges::transform(settings_table, std::back_inserter(result), &setting::section);
  return result;
}

std::optional<failure> read_entry(const ini_document& from, const std::string& section,
                                  const ini_entry& entry, agent_settings& to) {
  const auto* const known = std::ranges::find_if(settings_table, [&](const setting& each) {
    return each.section == section && each.key == entry.key;
  });
  if (known == settings_table.end()) {
    return support::failure_at(from.file, entry.line,
                               "unknown key " + entry.key + " in [" + section + "]",
                               remedy_for_unknown(entry.key, known_keys(section)));
  }
  auto remedy =
      std::visit([&](auto accessor) { return read_value(*known, entry.value, accessor(to)); },
                 known->accessor);
  if (!remedy) return std::nullopt;
  return support::failure_at(from.file, entry.line,
                             entry.key + " cannot be \"" + entry.value + "\"", std::move(*remedy));
}

std::optional<failure> read_all(const ini_document& from, agent_settings& to) {
  for (const auto& section : from.sections) {
    if (known_keys(section.name).empty()) {
      return support::failure_at(from.file, section.line, "unknown section [" + section.name + "]",
                                 remedy_for_unknown(section.name, known_sections()));
    }
    for (const auto& entry : section.entries) {
      if (auto fault = read_entry(from, section.name, entry, to)) return fault;
    }
  }
  return std::nullopt;
}

std::optional<failure> check_required(const ini_document& from) {
  for (const auto& each : settings_table) {
    const auto* const section = from.find(each.section);
    if (!each.required || (section != nullptr && section->find(each.key) != nullptr)) continue;
    return support::failure_at(
        from.file, section == nullptr ? 1 : section->line,
        "key " + std::string(each.key) + " is missing in [" + std::string(each.section) + "]",
        "add it");
  }
  return std::nullopt;
}

/// A consistency rule between settings. A violation is reported at the line of `key`.
struct rule {
  std::string_view section;
  std::string_view key;
  bool (*holds)(const agent_settings&);
  std::string_view fault;
  std::string_view remedy;
};

constexpr duration unavailable_max = std::chrono::seconds{3};

bool is_one_of(const std::string& value, std::initializer_list<std::string_view> allowed) {
  return std::ranges::find(allowed, std::string_view(value)) != allowed.end();
}

const std::array rules{
    rule{"agent", "address", [](const top_level& settings) { return is_address(settings.address); },
         "address is not an IP address", "write the VM's IP address, not a host name"},
    rule{"lease", "lease",
         [](const top_level& settings) {
           return settings.lease.lease + settings.lease.margin < unavailable_max;
         },
         "keys of a lost owner would be unavailable for more than 3 s",
         "keep lease + margin below 3s"},
    rule{"lease", "renewal_interval",
         [](const top_level& settings) {
           return settings.lease.renewal_interval * 3 <= settings.lease.lease;
         },
         "two lost renewals in a row would end a lease",
         "keep renewal_interval at a third of lease or less"},
    rule{
        "lease", "margin",
        [](const top_level& settings) { return settings.lease.margin * 4 <= settings.lease.lease; },
        "margin is more than a quarter of lease", "keep margin at a quarter of lease or less"},
    rule{"lease", "margin",
         [](const top_level& settings) {
           return settings.lease.margin.count() >=
                  settings.lease.lease.count() / 1'000'000 * settings.lease.clock_drift_ppm * 2;
         },
         "margin does not cover the drift of two clocks over a lease", "raise margin"},
    rule{"lease", "support_interval",
         [](const top_level& settings) {
           return settings.lease.support_interval * 2 <= settings.lease.support &&
                  settings.lease.support_interval * 2 <= settings.lease.store_support;
         },
         "one lost support message would end a renewer's lease",
         "keep support_interval at half of support and of store_support or less"},
    rule{"lease", "owner_silence",
         [](const top_level& settings) {
           return settings.lease.owner_suspicion_timeout < settings.lease.lease;
         },
         "the failure of an owner would be suspected only after the end of its lease",
         "keep owner_silence below lease"},
    rule{"lease", "pause_limit",
         [](const top_level& settings) {
           return settings.lease.tick * 2 <= settings.lease.pause_limit;
         },
         "a regular tick would be detected as a pause", "keep tick at half of pause_limit or less"},
    rule{"store", "backoff_max",
         [](const top_level& settings) {
           return settings.store.backoff_first <= settings.store.backoff_max;
         },
         "backoff_first is above backoff_max", "raise backoff_max"},
    rule{"retry", "backoff_max",
         [](const top_level& settings) {
           return settings.retry.backoff_first <= settings.retry.backoff_max;
         },
         "backoff_first is above backoff_max", "raise backoff_max"},
    rule{"log", "level",
         [](const top_level& settings) {
           return is_one_of(settings.log.level, {"trace", "debug", "info", "warn", "error", "off"});
         },
         "unknown log level", "write trace, debug, info, warn, error or off"},
    rule{"log", "format",
         [](const top_level& settings) {
           return is_one_of(settings.log.format, {"key-value", "json"});
         },
         "unknown log format", "write key-value or json"},
};

std::size_t line_of(const ini_document& from, std::string_view section, std::string_view key) {
  const auto* const found = from.find(section);
  if (found == nullptr) return 1;
  const auto* const entry = found->find(key);
  return entry == nullptr ? found->line : entry->line;
}

std::optional<failure> check_rules(const ini_document& from, const agent_settings& settings) {
  const auto* const violated =
      std::ranges::find_if(rules, [&](const rule& each) { return !each.holds(settings); });
  if (violated == rules.end()) return std::nullopt;
  return support::failure_at(from.file, line_of(from, violated->section, violated->key),
                             violated->fault, std::string(violated->remedy));
}

}  // namespace

std::optional<agent_settings> parse_agent_settings(std::string_view file, std::string_view text,
                                                   failure& reason) {
  const auto document = support::parse_ini(file, text, reason);
  if (!document) return std::nullopt;
  agent_settings result;
  auto fault = read_all(*document, result);
  if (!fault) fault = check_required(*document);
  if (!fault) fault = check_rules(*document, result);
  if (!fault) return result;
  reason = std::move(*fault);
  return std::nullopt;
}

std::optional<agent_settings> load_agent_settings(const std::string& path, failure& reason) {
  const auto text = support::read_file(path, reason);
  if (!text) return std::nullopt;
  return parse_agent_settings(path, *text, reason);
}

std::vector<setting_description> setting_descriptions() {
  std::vector<setting_description> result;
  std::ranges::transform(settings_table, std::back_inserter(result), [](const setting& each) {
    return setting_description{each.section, each.key, each.required};
  });
  return result;
}

}  // namespace masticshunt::agent
