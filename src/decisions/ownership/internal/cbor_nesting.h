/// @file
/// A bound on how deeply CBOR may be nested before it is read.
#pragma once

#include <cstddef>
#include <string_view>

namespace masticshunt::ownership {

/// Returns false if `bytes` are malformed or nest deeper than `depth_max`. The recursion of the
/// check is bounded by `depth_max`, whatever the bytes say.
bool nests_within(std::string_view bytes, std::size_t depth_max);

}  // namespace masticshunt::ownership
