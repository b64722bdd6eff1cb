/// @file
/// Limits the nesting depth of CBOR before it is parsed.
#pragma once

#include <cstddef>
#include <string_view>

namespace masticshunt::ownership {

/// Returns false if `bytes` are malformed or nested deeper than `depth_max`. The recursion of the
/// check is bounded by `depth_max` for any input.
bool nests_within(std::string_view bytes, std::size_t depth_max);

}  // namespace masticshunt::ownership
