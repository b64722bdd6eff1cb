#include "masticshunt/decisions/routing/version_fetch.h"

#include <utility>

namespace masticshunt::routing {

std::optional<endpoint> version_fetch::stated(const endpoint& peer, std::uint64_t version,
                                              std::uint64_t own) {
  if (version <= own) return std::nullopt;
  if (!fetching_) {
    fetching_ = statement{peer, version};
    return peer;
  }
  const bool is_repeated = peer == fetching_->peer && version <= fetching_->version;
  if (!is_repeated && (!waiting_ || version >= waiting_->version))
    waiting_ = statement{peer, version};
  return std::nullopt;
}

std::optional<endpoint> version_fetch::ended(std::uint64_t own) {
  fetching_.reset();
  const auto next = std::exchange(waiting_, std::nullopt);
  if (!next) return std::nullopt;
  return stated(next->peer, next->version, own);
}

}  // namespace masticshunt::routing
