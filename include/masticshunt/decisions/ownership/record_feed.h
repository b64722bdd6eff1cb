/// @file
/// An agent's copy of the configuration records, in their stored form.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "masticshunt/decisions/configuration/registry.h"
#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// Applies configuration records from the store and from peers; accepts strictly newer versions
/// only.
///
/// Thread safety: none.
class record_feed {
 public:
  explicit record_feed(fault_injection faults) : faults_(faults) {}

  /// Applies records. Returns those that were newer, and adds a `record_in_force` action for each.
  std::vector<stored_record> apply(const std::vector<stored_record>& records,
                                   invariant_counters& invariants, step& step);
  /// Applies all records that exist at `revision`: older records missing from it are deleted.
  std::vector<stored_record> apply_snapshot(const std::vector<stored_record>& records,
                                            std::uint64_t revision, invariant_counters& invariants,
                                            step& step);
  /// Records that all changes up to `revision` have been applied.
  void advance_revision(std::uint64_t revision);

  /// Returns all live records and their revision.
  [[nodiscard]] records_update snapshot() const;
  /// Returns a hash of the names and versions of all live records.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// Returns the newest revision that has been applied completely.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Returns the parsed records.
  [[nodiscard]] const configuration::registry& registry() const { return registry_; }
  /// Returns the agents declared lost by an operator, with their last incarnation.
  [[nodiscard]] std::map<std::string, std::uint64_t> lost_agents() const;

 private:
  bool apply_one(const stored_record& record, invariant_counters& invariants, step& step);

  fault_injection faults_;
  configuration::registry registry_;
  std::map<std::string, stored_record> records_;
  std::uint64_t revision_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace masticshunt::ownership
