/// @file
/// The announcement with which an upstream registers at the agent on its machine.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::upstream {

/// The readiness that an upstream reports.
enum class readiness { ready, draining, stopping };

/// A registration message of an upstream: its description and readiness.
struct announcement {
  ownership::upstream_description upstream;
  readiness state = readiness::ready;
};

/// Parses the JSON text `body`. Returns nothing, with `reason` filled (`bad_input`), if it is not a
/// valid announcement. Unknown fields are ignored.
std::optional<announcement> parse_announcement(std::string_view body, failure& reason);

/// Returns the JSON text of `message`.
std::string to_json_text(const announcement& message);

}  // namespace masticshunt::upstream
