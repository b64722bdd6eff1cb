/// @file
/// Revisions of the platform's store, ordered across its eras.
#pragma once

#include <cstdint>

namespace masticshunt {

/// Counts how often the store was restored from an older copy of itself. Its revision counter goes
/// back with each restoration, and revisions are given out again.
using store_era = std::uint64_t;

/// The era of a store that states none.
inline constexpr store_era first_store_era = 1;
/// Largest era that a revision can hold.
inline constexpr store_era store_era_max = 1'000'000;
/// Bound of the store's own revision counter.
inline constexpr std::uint64_t revisions_per_era = 10'000'000'000'000;

/// A revision together with its era: any revision of a later era is higher. Zero: none.
using store_revision = std::uint64_t;

/// Returns the revision `number` of `era`.
constexpr store_revision revision_in(store_era era, std::uint64_t number) {
  return era * revisions_per_era + number;
}
/// Returns the era of a revision.
constexpr store_era era_of(store_revision revision) {
  return revision / revisions_per_era;
}
/// Returns the store's own number of a revision.
constexpr std::uint64_t number_of(store_revision revision) {
  return revision % revisions_per_era;
}

}  // namespace masticshunt
