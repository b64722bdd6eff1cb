/// @file
/// Changes of a shard map since an earlier revision.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::claims {

/// A shard map, or only the claims in it that changed since an earlier revision.
struct map_update {
  /// Zero: `map` is complete. Otherwise its claims are those that changed after this revision.
  std::uint64_t since = 0;
  claim_map map;

  bool operator==(const map_update&) const = default;
};

/// Returns `base` with the changes of `update`. Returns nothing if `base` is older than the
/// changes, or if the result would not cover every key exactly once.
std::optional<claim_map> updated(const claim_map& base, const map_update& update);

/// Remembers in which revision each claim of a map was last changed.
///
/// A claim never returns to an earlier state, because fences rise. The changes since a revision
/// therefore lead from any map of that revision or a later one to the newest.
/// Thread safety: none.
class claim_history {
 public:
  /// Records the step from `before` to the newer map `after`.
  void adopt(const claim_map& before, const claim_map& after);
  /// Returns the changes that lead from `revision` to `map`, the map adopted last; the complete map
  /// for revision zero.
  [[nodiscard]] map_update changes_since(const claim_map& map, std::uint64_t revision) const;

 private:
  std::map<shard_key, std::uint64_t> changed_in_;  ///< By the first key of a claim.
};

/// The leader's reply to an owner report.
struct leader_reply {
  duration lease{};  ///< Runs from when the owner sent its report; zero if not renewed.
  bool is_leader = false;
  std::uint64_t leader_incarnation = 0;
  std::optional<map_update> update;  ///< Set if the owner's map is older.
  std::vector<released_range> to_release;

  bool operator==(const leader_reply&) const = default;
};

/// @name Serialization between agents.
/// @{
std::string to_cbor_bytes(const map_update& update);
std::optional<map_update> update_from_cbor_bytes(std::string_view bytes, failure& reason);
std::string to_cbor_bytes(const leader_reply& reply);
std::optional<leader_reply> reply_from_cbor_bytes(std::string_view bytes, failure& reason);
/// @}

}  // namespace masticshunt::claims
