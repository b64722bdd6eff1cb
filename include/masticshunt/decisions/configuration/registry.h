/// @file
/// The configuration records in force at one agent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/configuration/records.h"

namespace masticshunt::configuration {

/// Result of applying an object to the registry.
enum class apply_result {
  in_force,    ///< The object is newer and now in force.
  not_newer,   ///< The same or a newer version is already known; nothing changed.
  unreadable,  ///< It is newer but cannot be read: its service stays unsupported until it can.
  foreign      ///< Its name is not a record's name; nothing changed.
};

/// Determines how requests for a service are handled.
enum class service_state {
  unknown,     ///< It has no record.
  ready,       ///< Its record is in force.
  unsupported  ///< The newest version of one of its records cannot be read.
};

/// An object whose newest version cannot be read by this build.
struct unreadable_object {
  std::string name;
  std::uint64_t version = 0;
  failure reason;
};

/// The records in force at one agent.
///
/// Only strictly newer versions of an object are accepted; a deletion is a version too. A version
/// that cannot be read replaces the previous one: its service is unsupported until a readable
/// version follows, and never falls back to the older version.
/// Life cycle: construct empty; `apply` every object of a list or a watch, in any order.
/// Thread safety: none; the I/O layer holds its `core` lock.
///
///     registry records;
///     records.apply(object.name, object.version, object.value);
///     if (records.state_of("booking-ledger") == service_state::ready) ...
class registry {
 public:
  /// Applies version `version` of an object. An empty `value` marks a deletion.
  apply_result apply(std::string_view name, std::uint64_t version, std::string_view value);

  /// Returns the state of `service`.
  [[nodiscard]] service_state state_of(std::string_view service) const;
  /// Returns the record of the service `name` if its state is `ready`, otherwise nothing.
  [[nodiscard]] std::optional<service_record> service(std::string_view name) const;
  /// Returns the records of all services that are ready, by name.
  [[nodiscard]] std::vector<service_record> services() const;
  /// Returns the names of all services that have a readable record, ready or not.
  [[nodiscard]] std::vector<std::string> service_names() const;
  /// Returns the ranks of `service` by urgency, the most urgent first; equal orders by name.
  [[nodiscard]] std::vector<rank_record> ranks(std::string_view service) const;
  /// Returns the index of `rank` in `ranks(service)`, or nothing.
  [[nodiscard]] std::optional<std::uint32_t> rank_index(std::string_view service,
                                                        std::string_view rank) const;
  /// Returns the key range records of `service`, by first hash.
  [[nodiscard]] std::vector<key_range_record> key_ranges(std::string_view service) const;
  /// Returns all drain orders, by name.
  [[nodiscard]] std::vector<drain_record> drains() const;
  /// Returns true if an order drains `agent` or its failure domain.
  [[nodiscard]] bool drained(std::string_view agent, std::string_view failure_domain) const;

  /// Returns the newest version applied, including deletions.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Returns the known version of an object, including deleted ones; 0 if it is unknown.
  [[nodiscard]] std::uint64_t version_of(std::string_view name) const;
  /// Returns the objects whose newest version cannot be read by this build.
  [[nodiscard]] std::vector<unreadable_object> unreadable() const;
  /// Returns inconsistencies between the records of `service`: floors that sum to more than 1, or a
  /// default rank that does not exist.
  [[nodiscard]] std::vector<failure> problems(std::string_view service) const;

  /// Discards deleted objects up to `revision`. From then on, an unknown object of that revision or
  /// older is rejected as not newer. To be called only once all changes up to `revision` have been
  /// applied.
  void purge_deletions(std::uint64_t revision);

 private:
  struct entry {
    std::uint64_t version = 0;
    std::optional<record> content;  ///< Empty if deleted or unreadable.
    std::optional<failure> fault;   ///< Set if unreadable.
  };
  using entries = std::map<std::string, entry, std::less<>>;

  template <class Record>
  [[nodiscard]] std::vector<Record> collect(std::string_view prefix) const;
  [[nodiscard]] const entry* find(std::string_view name) const;
  [[nodiscard]] bool any_unreadable(std::string_view prefix) const;

  entries entries_;
  std::uint64_t revision_ = 0;
  std::uint64_t purged_revision_ = 0;
};

/// A change to be written: object name and value; an empty value deletes the object.
struct planned_change {
  std::string name;
  std::string value;
};

/// Returns the first inconsistency that `changes`, applied together, would add to `records`, or
/// nothing. Operators' commands call this before they write. Existing inconsistencies are ignored.
std::optional<failure> check_changes(const registry& records,
                                     const std::vector<planned_change>& changes);

}  // namespace masticshunt::configuration
