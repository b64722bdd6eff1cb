/// @file
/// An agent's cached map from keys to owners, for all services.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::ownership {

/// The result of a lookup. `owner` points into the table and is valid until the next `apply`.
struct routing_entry {
  const agent_description* owner = nullptr;  ///< Never null in a result.
  hash_range range;
  fence_token token;
  std::uint32_t group = 0;
};

/// The owners of all ranges of all services, stored by page.
///
/// Each page stores its members once and its ranges sorted, in 32 bytes each. Hashes are uniformly
/// distributed, so a lookup uses interpolation search: it starts at the expected position and
/// searches outwards, first over the pages of the service and then over the ranges of the page. It
/// does not allocate. The ranges of one page must not interleave with those of another page.
///
/// Life cycle: construct empty; `apply` each page as it arrives, in any order.
/// Thread safety: none; concurrent `find` calls are safe while no `apply` runs.
///
///     routing_table table;
///     table.apply(page);
///     if (auto entry = table.find("booking-ledger", hash_of_key("km-118.4"))) use(*entry->owner);
class routing_table {
 public:
  /// Adopts `page` if its version is newer than the one held. Returns true if it was adopted.
  bool apply(const assignment_page& page);

  /// Returns the owner of `hash` in `service`, or nothing if it is unknown.
  [[nodiscard]] std::optional<routing_entry> find(std::string_view service, key_hash hash) const;

  /// Returns the version of the page held for `group`; zero if there is none.
  [[nodiscard]] std::uint64_t page_version(std::string_view service, std::uint32_t group) const;

  /// Returns the number of ranges of all services.
  [[nodiscard]] std::size_t range_count() const;

  /// Returns the memory used by ranges in bytes, without the descriptions of agents.
  [[nodiscard]] std::size_t range_bytes() const;

 private:
  struct range_owner {
    fence_token token;
    std::uint32_t owner = 0;  ///< Index into the page's members, or `no_owner`.
  };
  struct held_page {
    std::uint32_t group = 0;
    std::uint64_t version = 0;
    key_hash last = 0;  ///< Last hash of the page's last range.
    std::vector<agent_description> members;
    std::vector<key_hash> firsts;  ///< Of the ranges; never empty. Gaps are ranges of `no_owner`.
    std::vector<range_owner> owners;  ///< In the order of `firsts`.
  };
  struct service_table {
    std::vector<key_hash> firsts;  ///< The first hash of each page; searched before `pages`.
    std::vector<held_page> pages;  ///< Sorted by their first hash.
  };

  static constexpr std::uint32_t no_owner = 0xffffffff;

  static held_page compact(const assignment_page& page);
  static void sort(service_table& table);

  std::map<std::string, service_table, std::less<>> services_;
};

}  // namespace masticshunt::ownership
