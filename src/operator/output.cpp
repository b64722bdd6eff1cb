#include "operator/internal/output.h"

#include <cstdio>

namespace masticshunt::operators {

using nlohmann::json;

namespace {

std::string shown(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

std::string conflict_text(const apply_line& line) {
  const auto who = line.edited_by.empty() ? std::string("somebody") : line.edited_by;
  std::string result = "  in the store: version " + std::to_string(line.version) + " by " + who +
                       "; the two edits differ in\n";
  for (const auto& change : line.changes) {
    result += "    " + change.field + ": " + shown(change.left) + " in the store, " +
              shown(change.right) + " in your edit\n";
  }
  return result;
}

std::string line_text(const apply_line& line) {
  std::string result = line.object + ": " + std::string(to_string(line.outcome));
  if (line.version != 0) result += ", version " + std::to_string(line.version);
  result += "\n";
  if (line.reason.kind == failure_kind::conflict) {
    result += conflict_text(line);
  } else if (line.outcome == apply_outcome::created || line.outcome == apply_outcome::changed) {
    result += differences_text(line.changes);
  }
  if (line.reason.kind != failure_kind::none) {
    result += "  " + line.reason.message + "\n  remedy: " + line.reason.remedy + "\n";
  }
  return result;
}

json line_json(const apply_line& line) {
  json result{{"object", line.object},
              {"outcome", to_string(line.outcome)},
              {"version", line.version},
              {"changes", json::array()}};
  for (const auto& change : line.changes) {
    result["changes"].push_back(
        {{"field", change.field}, {"store", change.left}, {"edit", change.right}});
  }
  if (!line.edited_by.empty()) result["edited_by"] = line.edited_by;
  if (line.reason.kind != failure_kind::none) result["error"] = failure_json(line.reason);
  return result;
}

}  // namespace

json failure_json(const failure& reason) {
  return {{"kind", to_string(reason.kind)}, {"message", reason.message}, {"remedy", reason.remedy}};
}

void print_failure(const failure& reason, bool as_json) {
  if (as_json) {
    std::puts(json{{"error", failure_json(reason)}}.dump().c_str());
  } else {
    std::fprintf(stderr, "masticshunt: %s\n  remedy: %s\n", reason.message.c_str(),
                 reason.remedy.c_str());
  }
}

std::string differences_text(const std::vector<field_difference>& changes) {
  std::string result;
  for (const auto& change : changes) {
    result += "  " + change.field + ": " + shown(change.left) + " -> " + shown(change.right) + "\n";
  }
  return result;
}

std::string report_text(const apply_report& report) {
  std::string result;
  for (const auto& line : report.lines) result += line_text(line);
  return result;
}

json report_json(const apply_report& report) {
  json result{{"records", json::array()}, {"revision", report.revision()}};
  for (const auto& line : report.lines) result["records"].push_back(line_json(line));
  return result;
}

}  // namespace masticshunt::operators
