/// @file
/// The announcement by which an upstream makes itself known to the agent beside it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::upstream {

/// What an upstream says of its readiness.
enum class readiness { ready, draining, stopping };

/// An announcement with its description and readiness.
struct announcement {
  ownership::upstream_description upstream;
  readiness state = readiness::ready;
};

/// Returns the announcement in the JSON text `body`, or nothing with `reason` (`bad_input`).
/// Fields that are not known are ignored.
std::optional<announcement> parse_announcement(std::string_view body, failure& reason);

/// Returns the JSON text of `source`.
std::string to_json_text(const announcement& source);

}  // namespace masticshunt::upstream
