/// @file
/// Which agents may become the leader of a keyed service.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::claims {

/// Returns the names of at most `count` agents that may become the leader of `service`, in order of
/// preference. All agents with the same registrations come to the same result.
///
/// Agents whose upstream is gone rank last, as most of them end with it and leave their
/// registration behind. Of the others, agents without keys of the service rank first: if one of
/// them fails, no key loses its owner.
std::vector<std::string> leader_candidates(
    const std::vector<const routing::registration*>& registrations, std::string_view service,
    std::size_t count);

}  // namespace masticshunt::claims
