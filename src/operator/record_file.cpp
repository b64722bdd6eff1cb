#include "operator/internal/record_file.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "masticshunt/support/ini.h"
#include "masticshunt/support/units.h"

namespace masticshunt::operators {

using configuration::field_description;
using configuration::field_type;
using configuration::record;
using configuration::record_kind;
using nlohmann::json;
using support::ini_document;
using support::ini_section;

namespace {

constexpr std::string_view schema_key = "schema";
constexpr std::string_view version_key = "version";

/// The kind and name in "[kind name]".
struct section_title {
  record_kind kind = record_kind::service;
  std::string name;
};

std::optional<section_title> title_of(const ini_section& section) {
  const auto blank = section.name.find(' ');
  const auto kind = configuration::kind_from(section.name.substr(0, blank));
  if (!kind || blank == std::string::npos) return std::nullopt;
  return section_title{*kind, section.name.substr(section.name.find_first_not_of(' ', blank))};
}

json list_from(std::string_view text) {
  auto result = json::array();
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    auto item = text.substr(0, end);
    while (item.starts_with(' ')) item.remove_prefix(1);
    while (item.ends_with(' ')) item.remove_suffix(1);
    result.push_back(item);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return result;
}

template <class Value>
json json_or_text(const std::optional<Value>& value, const std::string& text) {
  return value ? json(*value) : json(text);
}

/// Returns the JSON form of a field's text. A text that cannot be converted stays a text, so that
/// the validation of the record rejects it.
json field_value(field_type type, const std::string& text) {
  switch (type) {
    case field_type::count:
      return json_or_text(support::count_from(text), text);
    case field_type::share:
    case field_type::number:
      return json_or_text(support::share_from(text), text);
    case field_type::flag:
      return json_or_text(support::flag_from(text), text);
    case field_type::time_span: {
      const auto span = support::duration_from(text);
      return span ? json(static_cast<std::uint64_t>(span->count())) : json(text);
    }
    case field_type::text_list:
      return list_from(text);
    case field_type::text:
    case field_type::isolation:
    case field_type::hashes:
      return text;
  }
  return text;
}

std::string field_text(field_type type, const json& value) {
  if (type == field_type::time_span) return value.dump() + "ms";
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_array()) return value.dump();
  std::string result;
  for (const auto& item : value) {
    result += (result.empty() ? "" : ", ") + item.get<std::string>();
  }
  return result;
}

json body_of(const record& content) {
  return json::parse(configuration::to_value(content)).at("body");
}

/// Returns the fields of `kind` with the defaults of this build.
json default_body(record_kind kind, std::uint32_t schema) {
  switch (kind) {
    case record_kind::service:
      return body_of({schema, configuration::service_record{}});
    case record_kind::rank:
      return body_of({schema, configuration::rank_record{}});
    case record_kind::key_range:
      return body_of({schema, configuration::key_range_record{}});
    case record_kind::drain:
      return body_of({schema, configuration::drain_record{}});
  }
  return json::object();
}

std::vector<std::string_view> known_keys(const std::vector<field_description>& fields) {
  std::vector<std::string_view> result{schema_key, version_key};
  std::ranges::transform(fields, std::back_inserter(result), &field_description::name);
  return result;
}

/// Reads one section into a record.
class section_reader {
 public:
  section_reader(const ini_document& document, const ini_section& section, failure& reason)
      : document_(document), section_(section), reason_(reason) {}

  std::optional<file_record> read() {
    const auto title = title_of(section_);
    if (!title) {
      return refuse(section_.line, "section [" + section_.name + "] does not name a record",
                    "write [service NAME], [rank SERVICE.NAME], [key-range SERVICE.NAME] or "
                    "[drain NAME]");
    }
    const auto schema = read_schema();
    if (!schema) return std::nullopt;
    const auto version = read_version();
    if (!version) return std::nullopt;
    const auto body = read_body(*title, *schema);
    if (!body) return std::nullopt;
    return check(*title, *schema, *body, *version);
  }

 private:
  std::nullopt_t refuse(std::size_t line, std::string_view fault, std::string remedy) {
    reason_ = support::failure_at(document_.file, line, fault, std::move(remedy));
    return std::nullopt;
  }

  std::optional<std::uint32_t> read_schema() {
    const auto* const entry = section_.find(schema_key);
    if (entry == nullptr) {
      return refuse(section_.line, "[" + section_.name + "] has no schema",
                    "add schema = 1, the schema that the record is written in");
    }
    const auto schema = support::count_from(entry->value);
    if (schema && 0 < *schema && *schema <= configuration::schema_version_max) {
      return static_cast<std::uint32_t>(*schema);
    }
    return refuse(entry->line, "this build cannot write schema " + entry->value,
                  "write a schema from 1 to " + std::to_string(configuration::schema_version_max) +
                      ", or use a newer masticshunt");
  }

  /// Returns the expected version, an empty inner value if the section has none, or nothing if the
  /// value is malformed.
  std::optional<std::optional<std::uint64_t>> read_version() {
    const auto* const entry = section_.find(version_key);
    if (entry == nullptr) return std::optional<std::uint64_t>();
    const auto version = support::count_from(entry->value);
    if (version) return version;
    return refuse(entry->line, "invalid version \"" + entry->value + "\"",
                  "write the version that masticshunt get shows, or 0 for a new record");
  }

  std::optional<json> read_body(const section_title& title, std::uint32_t schema) {
    auto body = default_body(title.kind, schema);
    const auto fields = configuration::fields_of(title.kind, configuration::schema_version_max);
    for (const auto& entry : section_.entries) {
      if (entry.key == schema_key || entry.key == version_key) continue;
      const auto field = std::ranges::find(fields, entry.key, &field_description::name);
      if (field == fields.end()) {
        const auto nearest = support::nearest_name(entry.key, known_keys(fields));
        return refuse(entry.line, "unknown key " + entry.key + " in [" + section_.name + "]",
                      nearest.empty() ? "remove it" : "write " + nearest);
      }
      body[entry.key] = field_value(field->type, entry.value);
    }
    return body;
  }

  std::optional<file_record> check(const section_title& title, std::uint32_t schema,
                                   const json& body, std::optional<std::uint64_t> version) {
    const json value{{"schema_version", schema}, {"body", body}};
    configuration::record_fault fault;
    auto content = configuration::from_value(
        configuration::object_name(title.kind, title.name),
        value.dump(-1, ' ', false, json::error_handler_t::replace), fault);
    if (content) {
      return file_record{std::move(*content), version,
                         document_.file + ":" + std::to_string(section_.line)};
    }
    const auto* const entry = section_.find(fault.field);
    return refuse(entry == nullptr ? section_.line : entry->line, fault.reason.message,
                  fault.reason.remedy);
  }

  const ini_document& document_;
  const ini_section& section_;
  failure& reason_;
};

}  // namespace

std::optional<std::vector<file_record>> parse_records(std::string_view file, std::string_view text,
                                                      failure& reason) {
  const auto document = support::parse_ini(file, text, reason);
  if (!document) return std::nullopt;
  std::vector<file_record> result;
  for (const auto& section : document->sections) {
    auto read = section_reader(*document, section, reason).read();
    if (!read) return std::nullopt;
    result.push_back(std::move(*read));
  }
  if (!result.empty()) return result;
  reason = support::failure_at(file, 1, "the file contains no record", "add a section [kind name]");
  return std::nullopt;
}

std::string to_ini(const record& content, std::uint64_t version) {
  const auto kind = configuration::kind_of(content);
  std::string result = "[" + std::string(to_string(kind)) + " " + configuration::name_of(content) +
                       "]\nschema = " + std::to_string(content.schema_version) +
                       "\nversion = " + std::to_string(version) + "\n";
  const auto body = body_of(content);
  for (const auto& field : configuration::fields_of(kind, content.schema_version)) {
    const std::string name(field.name);
    result += name + " = " + field_text(field.type, body.at(name)) + "\n";
  }
  return result;
}

std::vector<field_difference> differences(const std::optional<record>& left,
                                          const std::optional<record>& right) {
  const auto schema_text = [](const std::optional<record>& of) {
    return of ? std::to_string(of->schema_version) : std::string();
  };
  std::vector<field_difference> result;
  if (schema_text(left) != schema_text(right)) {
    result.push_back({std::string(schema_key), schema_text(left), schema_text(right)});
  }
  if (!left && !right) return result;
  const auto left_body = left ? body_of(*left) : json::object();
  const auto right_body = right ? body_of(*right) : json::object();
  const auto kind = configuration::kind_of(left ? *left : *right);
  for (const auto& field : configuration::fields_of(kind, configuration::schema_version_max)) {
    const std::string name(field.name);
    const auto text_in = [&](const json& body) {
      return body.contains(name) ? field_text(field.type, body.at(name)) : std::string();
    };
    if (left_body.contains(name) == right_body.contains(name) &&
        text_in(left_body) == text_in(right_body)) {
      continue;
    }
    result.push_back({name, text_in(left_body), text_in(right_body)});
  }
  return result;
}

}  // namespace masticshunt::operators
