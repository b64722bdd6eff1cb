/// @file
/// Binary differences between two values, so that a small change of a large page needs a few bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace masticshunt::ownership {

/// Returns steps that turn `old_value` into `new_value`: copies of parts of the old value, found
/// by block hashes, and insertions of new bytes.
std::string make_patch_steps(std::string_view old_value, std::string_view new_value);

/// Returns the result of applying `steps` to `old_value`, or nothing if the steps are malformed.
std::optional<std::string> apply_patch_steps(std::string_view old_value, std::string_view steps);

}  // namespace masticshunt::ownership
