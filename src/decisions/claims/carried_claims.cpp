#include "masticshunt/decisions/claims/carried_claims.h"

#include <utility>

namespace masticshunt::claims {

carried_claims::carried_claims(claim_map map, std::uint64_t incarnation, const std::string& leader,
                               time_point leases_end)
    : map_(std::move(map)), incarnation_(incarnation), leases_end_(leases_end) {
  for (const claim& each : map_.claims)
    if (!each.holder.agent.empty() && each.holder.agent != leader)
      owners_.insert(each.holder.agent);
}

void carried_claims::followed_by(const std::string& owner, std::uint64_t incarnation) {
  if (incarnation == incarnation_ && owners_.contains(owner)) followers_.insert(owner);
}

}  // namespace masticshunt::claims
