/// @file
/// Formats reports of commands as text or JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "masticshunt/decisions/configuration/records.h"
#include "operator/internal/apply.h"

namespace masticshunt::operators {

/// Returns the JSON form of a failure.
nlohmann::json failure_json(const failure& reason);

/// Prints a failure to standard error, or as JSON to standard output if `as_json`.
void print_failure(const failure& reason, bool as_json);

/// Returns the report as text.
std::string report_text(const apply_report& report);

/// Returns the report as JSON.
nlohmann::json report_json(const apply_report& report);

/// Returns the differences as indented lines "field: left -> right".
std::string differences_text(const std::vector<field_difference>& changes);

}  // namespace masticshunt::operators
