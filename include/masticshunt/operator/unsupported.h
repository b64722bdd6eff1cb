/// @file
/// Which records say something that this version does not carry out.
#pragma once

#include <optional>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/configuration/records.h"

namespace masticshunt::operators {

/// Returns why `record` must not be accepted although it is well-formed: it asks for something that
/// this version does not carry out (kind `unsupported`). Returns nothing if all of it has force.
///
/// An accepted record must mean what it says, so a wish that would have no effect is refused.
std::optional<failure> find_unsupported(const configuration::record& record);

}  // namespace masticshunt::operators
