/// @file
/// What the leader of one era of the store carries into the next one.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::claims {

/// The last map of a leader when the store came back from an older copy, which may have lost it.
///
/// Another agent may have led after this leader without its knowledge, and the copy may have lost
/// that too. Only a majority of the owners can make another agent the leader while the leader's own
/// lease lasts, so the others show that there was none: see `followed_by`.
/// Thread safety: none.
class carried_claims {
 public:
  /// `map`: the claims, with registrations of zero. `incarnation`: that of `leader` when it wrote
  /// them. `leases_end`: when all leases have ended that it granted, or that owners renewed.
  carried_claims(claim_map map, std::uint64_t incarnation, const std::string& leader,
                 time_point leases_end);

  [[nodiscard]] const claim_map& map() const { return map_; }
  [[nodiscard]] time_point leases_end() const { return leases_end_; }
  /// Notes that `owner` accepted the replies of the leader `incarnation` until the era ended.
  void followed_by(const std::string& owner, std::uint64_t incarnation);
  /// Returns true once no other agent can have led before the era ended.
  [[nodiscard]] bool led_alone() const { return 2 * followers_.size() >= owners_.size(); }

 private:
  claim_map map_;
  std::uint64_t incarnation_;
  time_point leases_end_;
  std::set<std::string> owners_;  ///< Without the leader's own agent.
  std::set<std::string> followers_;
};

}  // namespace masticshunt::claims
