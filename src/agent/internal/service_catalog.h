/// @file
/// The service configuration used by the request path, as immutable views.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticshunt/decisions/configuration/records.h"
#include "masticshunt/decisions/configuration/registry.h"
#include "masticshunt/decisions/ownership/agent_core.h"
#include "masticshunt/decisions/requests/gate.h"

namespace masticshunt::agent {

/// The configuration of a service, with its ranks in order of urgency.
struct service_view {
  configuration::service_record record;
  std::vector<configuration::rank_record> ranks;
  bool supported = true;  ///< False if a record has a schema that this build cannot read.

  /// Returns the index of the rank called `name` (empty: the default rank), or nothing.
  [[nodiscard]] std::optional<std::uint32_t> rank_index(std::string_view name) const;
};

/// Returns the ranks of `service` in the form that the gate takes.
std::vector<requests::rank_policy> to_rank_policies(const service_view& service);

/// Stores the records in force and provides views of them.
///
/// Thread safety: all members may be called from any thread. Its lock is the second in the lock
/// order of shared_tables.h.
class service_catalog {
 public:
  /// Applies a record, or its deletion (an empty value), if it is strictly newer than the current
  /// one.
  void apply(const ownership::store_object& object);

  /// Returns the view of `service`, or null if no record names it.
  [[nodiscard]] std::shared_ptr<const service_view> find(std::string_view service) const;

  /// Returns the newest configuration revision that was applied.
  [[nodiscard]] std::uint64_t revision() const;

 private:
  using views = std::unordered_map<std::string, std::shared_ptr<const service_view>>;

  mutable std::mutex lock_;
  configuration::registry registry_;
  views views_;
};

}  // namespace masticshunt::agent
