/// @file
/// Detects records with settings that this version does not implement.
#pragma once

#include <optional>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/configuration/records.h"

namespace masticshunt::operators {

/// Returns a failure of kind `unsupported` if the well-formed `record` has a setting that this
/// version does not implement, or nothing if all its settings take effect.
///
/// Such a record is rejected, because a setting that was accepted must not be ignored.
std::optional<failure> find_unsupported(const configuration::record& record);

}  // namespace masticshunt::operators
