#include "operator/internal/apply.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <random>

#include "masticshunt/decisions/configuration/registry.h"

namespace masticshunt::operators {

using configuration::record;
using nlohmann::json;
using ownership::store_object;

namespace {

constexpr std::string_view schema_floor_object = "system/schema-floor";
constexpr std::string_view pages_prefix = "groups/";
constexpr std::uint32_t first_schema = 1;

/// The records in the store before the command.
struct store_view {
  std::vector<store_object> objects;
  configuration::registry records;

  [[nodiscard]] const store_object* find(std::string_view name) const {
    const auto found = std::ranges::find(objects, name, &store_object::name);
    return found == objects.end() ? nullptr : &*found;
  }
};

std::optional<store_view> load_view(store_session& store, failure& reason) {
  auto listed = store.list("config/");
  if (!listed.objects) {
    reason = std::move(listed.reason);
    return std::nullopt;
  }
  store_view view{std::move(*listed.objects), {}};
  for (const auto& each : view.objects) view.records.apply(each.name, each.version, each.value);
  return view;
}

std::optional<record> record_in(const store_object& object) {
  failure ignored;
  return configuration::from_value(object.name, object.value, ignored);
}

/// Fills `line` with a conflict between the stored object and the record in the file.
void set_conflict(apply_line& line, const std::optional<store_object>& current,
                  const std::optional<record>& desired, const std::string& problem) {
  line.outcome = apply_outcome::refused;
  line.changes = differences(current ? record_in(*current) : std::nullopt, desired);
  line.version = current ? current->version : 0;
  if (current) line.edited_by = configuration::stamp_of(current->value).edited_by;
  line.reason = {failure_kind::conflict, line.object + ": " + problem,
                 "compare both edits, get the record with masticshunt get, reapply your change "
                 "and apply again"};
}

/// Returns the report line that applying one record now would produce. Writes nothing.
apply_line plan(const store_view& view, const file_record& desired) {
  apply_line line{.object = configuration::object_name(desired.content)};
  const auto* const current = view.find(line.object);
  if (current == nullptr) {
    line.outcome = apply_outcome::created;
    line.changes = differences(std::nullopt, desired.content);
    if (desired.expected_version.value_or(0) != 0) {
      set_conflict(line, std::nullopt, desired.content,
                   "it was deleted; the file was made from version " +
                       std::to_string(*desired.expected_version));
    }
    return line;
  }
  line.version = current->version;
  const auto stored = record_in(*current);
  if (stored == desired.content) {
    line.outcome = apply_outcome::unchanged;
    return line;
  }
  line.outcome = apply_outcome::changed;
  line.changes = differences(stored, desired.content);
  if (desired.expected_version == current->version) return line;
  const auto made_from =
      desired.expected_version
          ? "the file was made from version " + std::to_string(*desired.expected_version)
          : std::string("the file does not state which version it was made from");
  set_conflict(line, *current, desired.content,
               "its version is " + std::to_string(current->version) + ", and " + made_from);
  return line;
}

std::uint32_t page_schema_floor(const store_object& page) {
  const json parsed = json::parse(page.value, nullptr, false);
  if (!parsed.is_object()) return first_schema;
  const auto floor = parsed.find("schema_floor");
  if (floor == parsed.end() || !floor->is_number_unsigned()) return first_schema;
  return floor->get<std::uint32_t>();
}

/// Returns the newest schema version that all groups of `service` (all groups if empty) can read. A
/// service without groups has no agent that could fail to read a record.
std::optional<std::uint32_t> common_schema_version(store_session& store, const std::string& service,
                                                   failure& reason) {
  const std::string group_prefix = service.empty() ? service : service + "/";
  std::uint32_t floor = configuration::schema_version_max;
  const auto floor_object = store.read(std::string(schema_floor_object));
  if (!floor_object.object && floor_object.reason.kind != failure_kind::not_found) {
    reason = floor_object.reason;
    return std::nullopt;
  }
  const json parsed =
      floor_object.object ? json::parse(floor_object.object->value, nullptr, false) : json();
  if (parsed.is_object() && parsed.contains("floors") && parsed["floors"].is_object()) {
    for (const auto& [group, value] : parsed["floors"].items()) {
      if (!group.starts_with(group_prefix)) continue;
      floor =
          std::min(floor, value.is_number_unsigned() ? value.get<std::uint32_t>() : first_schema);
    }
    return floor;
  }
  const auto pages = store.list(std::string(pages_prefix) + group_prefix);
  if (!pages.objects) {
    reason = pages.reason;
    return std::nullopt;
  }
  for (const auto& page : *pages.objects) floor = std::min(floor, page_schema_floor(page));
  return floor;
}

/// Returns a failure if some agent concerned cannot read the schema of `desired`.
std::optional<failure> check_schema(store_session& store, const record& desired) {
  if (desired.schema_version <= first_schema) return std::nullopt;
  failure reason;
  const auto floor = common_schema_version(store, configuration::service_of(desired), reason);
  if (!floor) return reason;
  if (desired.schema_version <= *floor) return std::nullopt;
  return failure{failure_kind::unsupported,
                 configuration::object_name(desired) +
                     ": not accepted: some live agents read only "
                     "schema " +
                     std::to_string(*floor) + ", the record has schema " +
                     std::to_string(desired.schema_version),
                 "update those agents first (masticshunt status shows their versions), or write "
                 "the record in schema " +
                     std::to_string(*floor)};
}

/// Returns the position of the record in the order of writes. Ranks come before the services that
/// name them as default rank.
int write_order(const apply_line& line) {
  constexpr std::array<std::string_view, 4> order{"config/rank/", "config/key-range/",
                                                  "config/service/", "config/drain/"};
  const auto* const position = std::ranges::find_if(
      order, [&](std::string_view prefix) { return line.object.starts_with(prefix); });
  return static_cast<int>(position - order.begin());
}

void write_one(store_session& store, const file_record& desired, const apply_options& options,
               apply_line& line) {
  const configuration::write_stamp stamp{options.write_id + "/" + line.object, options.edited_by};
  const auto done =
      store.write(line.object, line.version, configuration::to_value(desired.content, stamp));
  if (done.version) {
    line.version = *done.version;
    return;
  }
  if (done.reason.kind == failure_kind::conflict) {
    set_conflict(line, done.current, desired.content, "another writer changed it at the same time");
    return;
  }
  line.outcome = apply_outcome::refused;
  line.reason = done.reason;
}

bool is_write(const apply_line& line) {
  return line.outcome == apply_outcome::created || line.outcome == apply_outcome::changed;
}

/// Marks every planned write as not tried; refused records keep their reason.
void skip_planned_writes(std::vector<apply_line>& lines) {
  for (auto& line : lines) {
    if (is_write(line)) line.outcome = apply_outcome::not_tried;
  }
}

void refuse_all(std::vector<apply_line>& lines, const failure& reason) {
  skip_planned_writes(lines);
  if (lines.empty()) return;
  lines.front().outcome = apply_outcome::refused;
  lines.front().reason = reason;
}

/// A record with its report line.
struct planned_write {
  const file_record* desired = nullptr;
  apply_line* line = nullptr;
};

std::vector<planned_write> in_write_order(const std::vector<file_record>& records,
                                          std::vector<apply_line>& lines) {
  std::vector<planned_write> result;
  for (std::size_t index = 0; index < records.size(); ++index) {
    result.push_back({&records[index], &lines[index]});
  }
  std::ranges::stable_sort(result, {}, [](const auto& each) { return write_order(*each.line); });
  return result;
}

void write_all(store_session& store, const std::vector<file_record>& records,
               const apply_options& options, std::vector<apply_line>& lines) {
  bool stopped = false;
  for (const auto& write : in_write_order(records, lines)) {
    if (!is_write(*write.line)) continue;
    if (stopped) {
      write.line->outcome = apply_outcome::not_tried;
      continue;
    }
    write_one(store, *write.desired, options, *write.line);
    stopped = write.line->outcome == apply_outcome::refused;
  }
}

std::optional<failure> check_all(store_session& store, const store_view& view,
                                 const std::vector<file_record>& records) {
  std::vector<configuration::planned_change> changes;
  for (const auto& item : records) {
    if (auto refusal = check_schema(store, item.content)) return refusal;
    changes.push_back(
        {configuration::object_name(item.content), configuration::to_value(item.content)});
  }
  return configuration::check_changes(view.records, changes);
}

}  // namespace

std::string_view to_string(apply_outcome outcome) {
  constexpr std::array<std::string_view, 6> names{"created", "changed", "unchanged",
                                                  "deleted", "refused", "not-tried"};
  return names.at(static_cast<std::size_t>(outcome));
}

std::optional<failure> apply_report::first_failure() const {
  const auto failed = std::ranges::find_if(
      lines, [](const apply_line& line) { return line.reason.kind != failure_kind::none; });
  if (failed == lines.end()) return std::nullopt;
  return failed->reason;
}

std::uint64_t apply_report::revision() const {
  std::uint64_t newest = 0;
  for (const auto& line : lines) newest = std::max(newest, line.version);
  return newest;
}

apply_report apply_records(store_session& store, const std::vector<file_record>& records,
                           const apply_options& options) {
  apply_report report;
  for (const auto& item : records) {
    report.lines.push_back({.object = configuration::object_name(item.content)});
  }
  failure reason;
  const auto view = load_view(store, reason);
  if (!view) {
    refuse_all(report.lines, reason);
    return report;
  }
  std::ranges::transform(records, report.lines.begin(),
                         [&](const file_record& each) { return plan(*view, each); });
  if (report.first_failure()) {
    skip_planned_writes(report.lines);
  } else if (const auto fault = check_all(store, *view, records)) {
    refuse_all(report.lines, *fault);
  } else if (!options.dry_run) {
    write_all(store, records, options, report.lines);
  }
  return report;
}

apply_line delete_record(store_session& store, const std::string& object, std::uint64_t expected) {
  apply_line line{.object = object, .outcome = apply_outcome::refused};
  const auto view = load_view(store, line.reason);
  if (!view) return line;
  const auto* const current = view->find(object);
  if (current == nullptr) {
    line.reason = {failure_kind::not_found, object + " does not exist",
                   "masticshunt list shows the existing records"};
    return line;
  }
  if (current->version != expected) {
    set_conflict(
        line, *current, std::nullopt,
        "its version is " + std::to_string(current->version) + ", not " + std::to_string(expected));
    return line;
  }
  if (auto fault = configuration::check_changes(view->records, {{object, ""}})) {
    line.reason = std::move(*fault);
    return line;
  }
  const auto done = store.remove(object, expected);
  if (done.version) {
    line.outcome = apply_outcome::deleted;
    line.version = *done.version;
  } else if (done.reason.kind == failure_kind::conflict) {
    set_conflict(line, done.current, std::nullopt, "another writer changed it at the same time");
  } else {
    line.reason = done.reason;
  }
  return line;
}

std::string make_write_id() {
  std::random_device device;
  std::string result;
  for (int word = 0; word < 4; ++word) result += std::to_string(device()) + (word < 3 ? "-" : "");
  return result;
}

}  // namespace masticshunt::operators
