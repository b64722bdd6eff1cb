#include "masticshunt/decisions/configuration/records.h"

#include <algorithm>
#include <array>
#include <utility>

#include "decisions/configuration/internal/record_fields.h"

namespace masticshunt::configuration {

using nlohmann::json;

namespace {

constexpr std::string_view object_prefix = "config/";
constexpr std::size_t name_length_max = 64;
constexpr std::size_t value_bytes_max = 65'536;
constexpr std::array<std::string_view, 4> kind_names{"service", "rank", "key-range", "drain"};
constexpr std::array<std::string_view, 4> envelope_fields{"schema_version", "write_id", "edited_by",
                                                          "body"};

/// The kind and the name in an object name.
struct object_path {
  record_kind kind = record_kind::service;
  std::string_view name;
};

/// A name of the form "service.name".
struct qualified_name {
  std::string_view service;
  std::string_view name;
};

record_fault fault_of(failure_kind kind, std::string_view object, std::string problem,
                      std::string remedy, std::string_view field = {}) {
  return {{kind, std::string(object) + ": " + std::move(problem), std::move(remedy)},
          std::string(field)};
}

std::optional<qualified_name> split_name(std::string_view name) {
  const auto dot = name.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const qualified_name parts{name.substr(0, dot), name.substr(dot + 1)};
  if (!is_record_name(parts.service) || !is_record_name(parts.name)) return std::nullopt;
  return parts;
}

bool has_qualified_name(record_kind kind) {
  return kind == record_kind::rank || kind == record_kind::key_range;
}

std::optional<object_path> parse_object_name(std::string_view object, record_fault& fault) {
  std::string_view rest = object;
  const auto refuse = [&](std::string problem, std::string remedy) {
    fault = fault_of(failure_kind::bad_input, object, std::move(problem), std::move(remedy));
    return std::nullopt;
  };
  if (!rest.starts_with(object_prefix)) {
    return refuse("not a record name", "use config/<kind>/<name>");
  }
  rest.remove_prefix(object_prefix.size());
  const auto slash = rest.find('/');
  const auto kind = kind_from(rest.substr(0, slash));
  if (slash == std::string_view::npos || !kind) {
    return refuse("unknown kind of record", "use service, rank, key-range or drain");
  }
  const auto name = rest.substr(slash + 1);
  const bool fits = has_qualified_name(*kind) ? split_name(name).has_value() : is_record_name(name);
  if (!fits) {
    return refuse("invalid record name",
                  has_qualified_name(*kind)
                      ? "write <service>.<name>, each 1 to 64 of a-z, A-Z, 0-9, '-' and '_'"
                      : "write 1 to 64 of a-z, A-Z, 0-9, '-' and '_'");
  }
  return object_path{*kind, name};
}

template <class Record>
void set_name(Record& to, std::string_view name) {
  if constexpr (requires { to.service; }) {
    const auto parts = split_name(name);
    to.service = parts->service;
    to.name = parts->name;
  } else {
    to.name = name;
  }
}

template <class Record>
field_type type_of(const field<Record>& record_field) {
  constexpr std::array<field_type, 8> types{
      field_type::text,      field_type::count,     field_type::number, field_type::flag,
      field_type::time_span, field_type::isolation, field_type::hashes, field_type::text_list};
  const auto type = types.at(record_field.member.index());
  return type == field_type::number && record_field.most <= 1 ? field_type::share : type;
}

template <class Record>
std::vector<field_description> describe_fields(std::uint32_t schema) {
  std::vector<field_description> result;
  for (const auto& entry : table_of(static_cast<const Record*>(nullptr))) {
    if (entry.since_schema <= schema) {
      result.push_back({entry.name, type_of(entry), entry.since_schema});
    }
  }
  return result;
}

/// Returns a fault if `body` has a field that is not part of `schema`.
template <class Record>
std::optional<record_fault> unknown_field(std::string_view object, const json& body,
                                          std::uint32_t schema) {
  const auto table = table_of(static_cast<const Record*>(nullptr));
  for (const auto& [key, value] : body.items()) {
    const auto known = std::ranges::find(table, std::string_view(key), &field<Record>::name);
    if (known == table.end()) {
      return fault_of(failure_kind::bad_input, object, "unknown field " + key,
                      "remove the field or correct its name", key);
    }
    if (known->since_schema > schema) {
      return fault_of(failure_kind::bad_input, object,
                      "field " + key + " does not exist in schema " + std::to_string(schema),
                      "raise the record's schema to " + std::to_string(known->since_schema) +
                          " or remove the field",
                      key);
    }
  }
  return std::nullopt;
}

template <class Record>
bool read_member(const field<Record>& record_field, const json& value, Record& to) {
  return std::visit(
      [&](auto member) {
        return read_json(value, record_field.least, record_field.most, to.*member);
      },
      record_field.member);
}

/// Reads every field of `schema` from `body`.
template <class Record>
std::optional<record_fault> read_fields(std::string_view object, const json& body,
                                        std::uint32_t schema, Record& to) {
  if (auto unknown = unknown_field<Record>(object, body, schema)) return unknown;
  for (const auto& entry : table_of(&to)) {
    if (entry.since_schema > schema) continue;
    const auto found = body.find(entry.name);
    const std::string name(entry.name);
    if (found == body.end()) {
      return fault_of(failure_kind::bad_input, object, "field " + name + " is missing",
                      "add the field; a stored record holds every field of its schema", name);
    }
    if (!read_member(entry, *found, to)) {
      return fault_of(failure_kind::bad_input, object,
                      "field " + name + " cannot be " +
                          found->dump(-1, ' ', true, json::error_handler_t::replace),
                      expected_form(type_of(entry), entry.least, entry.most), name);
    }
  }
  return std::nullopt;
}

std::optional<record_fault> check_consistency(std::string_view object,
                                              const service_record& service) {
  if (is_record_name(service.default_rank)) return std::nullopt;
  return fault_of(failure_kind::bad_input, object, "field default_rank names no rank",
                  "write the name of one of the service's ranks", "default_rank");
}

std::optional<record_fault> check_consistency(std::string_view object, const drain_record& drain) {
  if (drain.agent.empty() != drain.failure_domain.empty()) return std::nullopt;
  return fault_of(failure_kind::bad_input, object,
                  "a drain order names either an agent or a failure domain",
                  "fill exactly one of agent and failure_domain", "agent");
}

template <class Record>
std::optional<record_fault> check_consistency(std::string_view /*object*/,
                                              const Record& /*record*/) {
  return std::nullopt;
}

template <class Record>
std::optional<record> read_body(std::string_view object, std::string_view name, const json& body,
                                std::uint32_t schema, record_fault& fault) {
  Record result;
  set_name(result, name);
  auto found = read_fields(object, body, schema, result);
  if (!found) found = check_consistency(object, result);
  if (found) {
    fault = std::move(*found);
    return std::nullopt;
  }
  return record{schema, std::move(result)};
}

using body_reader = std::optional<record> (*)(std::string_view, std::string_view, const json&,
                                              std::uint32_t, record_fault&);
constexpr std::array<body_reader, 4> body_readers{
    &read_body<service_record>, &read_body<rank_record>, &read_body<key_range_record>,
    &read_body<drain_record>};

/// Returns the fault of the envelope, if any. The schema version is checked first: the rest of a
/// newer record cannot be interpreted.
std::optional<record_fault> check_envelope(std::string_view object, const json& value) {
  const auto refuse = [&](std::string problem, std::string remedy, std::string_view field) {
    return fault_of(failure_kind::bad_input, object, std::move(problem), std::move(remedy), field);
  };
  if (!value.is_object()) {
    return refuse("the value is not a JSON object", "write the record with masticshunt apply", {});
  }
  const auto schema = value.find("schema_version");
  if (schema == value.end() || !schema->is_number_unsigned() || *schema == 0U) {
    return refuse("schema_version is missing or no whole number above 0",
                  "state the schema that the record is written in", "schema");
  }
  if (schema->get<std::uint64_t>() > schema_version_max) {
    return fault_of(failure_kind::unsupported, object,
                    "schema " + schema->dump() + " is newer than this build reads (" +
                        std::to_string(schema_version_max) + ")",
                    "update masticshunt, or write the record in an older schema", "schema");
  }
  for (const auto& [key, part] : value.items()) {
    if (std::ranges::find(envelope_fields, std::string_view(key)) == envelope_fields.end()) {
      return refuse("unknown field " + key, "remove the field", key);
    }
  }
  const auto body = value.find("body");
  if (body == value.end() || !body->is_object()) {
    return refuse("body is missing or no JSON object", "write the record with masticshunt apply",
                  {});
  }
  return std::nullopt;
}

template <class Record>
json write_fields(const Record& from, std::uint32_t schema) {
  json body = json::object();
  for (const auto& entry : table_of(&from)) {
    if (entry.since_schema > schema) continue;
    body[std::string(entry.name)] =
        std::visit([&](auto member) { return write_json(from.*member); }, entry.member);
  }
  return body;
}

std::string text_of(const json& value, const char* name) {
  const auto found = value.find(name);
  return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

std::string_view to_string(record_kind kind) {
  return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<record_kind> kind_from(std::string_view name) {
  const auto* const found = std::ranges::find(kind_names, name);
  if (found == kind_names.end()) return std::nullopt;
  return static_cast<record_kind>(found - kind_names.begin());
}

record_kind kind_of(const record& config_record) {
  return static_cast<record_kind>(config_record.body.index());
}

std::string name_of(const record& config_record) {
  return std::visit(
      [](const auto& body) {
        if constexpr (requires { body.service; }) {
          return body.service + "." + body.name;
        } else {
          return body.name;
        }
      },
      config_record.body);
}

std::string service_of(const record& config_record) {
  return std::visit(
      [](const auto& body) -> std::string {
        using body_type = std::decay_t<decltype(body)>;
        if constexpr (requires { body.service; }) return body.service;
        if constexpr (std::is_same_v<body_type, service_record>) return body.name;
        return {};
      },
      config_record.body);
}

std::vector<field_description> fields_of(record_kind kind, std::uint32_t schema_version) {
  using describer = std::vector<field_description> (*)(std::uint32_t);
  constexpr std::array<describer, 4> describers{
      &describe_fields<service_record>, &describe_fields<rank_record>,
      &describe_fields<key_range_record>, &describe_fields<drain_record>};
  return describers.at(static_cast<std::size_t>(kind))(schema_version);
}

std::string object_name(record_kind kind, std::string_view name) {
  return std::string(object_prefix) + std::string(to_string(kind)) + "/" + std::string(name);
}

std::string object_name(const record& config_record) {
  return object_name(kind_of(config_record), name_of(config_record));
}

std::string to_value(const record& config_record, const write_stamp& stamp) {
  json value = json::object();
  value["schema_version"] = config_record.schema_version;
  if (!stamp.write_id.empty()) value["write_id"] = stamp.write_id;
  if (!stamp.edited_by.empty()) value["edited_by"] = stamp.edited_by;
  value["body"] =
      std::visit([&](const auto& body) { return write_fields(body, config_record.schema_version); },
                 config_record.body);
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<record> from_value(std::string_view object, std::string_view value,
                                 record_fault& fault) {
  const auto path = parse_object_name(object, fault);
  if (!path) return std::nullopt;
  if (value.size() > value_bytes_max) {
    fault = fault_of(failure_kind::bad_input, object, "the value is larger than 64 KiB",
                     "split the record");
    return std::nullopt;
  }
  const json parsed = json::parse(value, nullptr, false);
  if (parsed.is_discarded()) {
    fault = fault_of(failure_kind::bad_input, object, "the value is not JSON",
                     "write the record with masticshunt apply");
    return std::nullopt;
  }
  if (auto found = check_envelope(object, parsed)) {
    fault = std::move(*found);
    return std::nullopt;
  }
  const auto schema = parsed.at("schema_version").get<std::uint32_t>();
  const auto read = body_readers.at(static_cast<std::size_t>(path->kind));
  return read(object, path->name, parsed.at("body"), schema, fault);
}

std::optional<record> from_value(std::string_view object, std::string_view value, failure& reason) {
  record_fault fault;
  auto result = from_value(object, value, fault);
  if (!result) reason = std::move(fault.reason);
  return result;
}

write_stamp stamp_of(std::string_view value) {
  const json parsed = json::parse(value, nullptr, false);
  if (!parsed.is_object()) return {};
  return {text_of(parsed, "write_id"), text_of(parsed, "edited_by")};
}

bool is_record_name(std::string_view name) {
  const auto allowed = [](char c) {
    return ('a' <= c && c <= 'z') || ('A' <= c && c <= 'Z') || ('0' <= c && c <= '9') || c == '-' ||
           c == '_';
  };
  return !name.empty() && name.size() <= name_length_max && std::ranges::all_of(name, allowed);
}

}  // namespace masticshunt::configuration
