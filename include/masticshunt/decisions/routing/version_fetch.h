/// @file
/// From which peer an agent fetches a newer desired state.
#pragma once

#include <cstdint>
#include <optional>

#include "masticshunt/base/identity.h"

namespace masticshunt::routing {

/// Chooses the peer to fetch from, one at a time, and remembers what others state meanwhile.
///
/// Usage: call `stated` for each version that a peer states, and `ended` after each fetch; fetch
/// from the peer that they return. Thread safety: none.
class version_fetch {
 public:
  /// `peer` stated that it has `version`, while `own` is in force here.
  std::optional<endpoint> stated(const endpoint& peer, std::uint64_t version, std::uint64_t own);
  /// The fetch has ended, and `own` is in force now.
  std::optional<endpoint> ended(std::uint64_t own);

 private:
  struct statement {
    endpoint peer;
    std::uint64_t version = 0;
  };
  std::optional<statement> fetching_;
  std::optional<statement> waiting_;  ///< The newest of another peer since the fetch began.
};

}  // namespace masticshunt::routing
