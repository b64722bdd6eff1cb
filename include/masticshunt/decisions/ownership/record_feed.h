/// @file
/// The configuration records that an agent knows, in their stored form.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "masticshunt/decisions/configuration/registry.h"
#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// Takes in configuration records from the store and from peers; only strictly newer versions.
///
/// Thread safety: none.
class record_feed {
 public:
  explicit record_feed(fault_injection faults) : faults_(faults) {}

  /// Takes in objects. Returns what became newer here, and adds `record_in_force` actions for it.
  std::vector<stored_record> take(const std::vector<stored_record>& records,
                                  invariant_counters& invariants, step& step);
  /// Takes in everything that exists at `revision`: older records that are not in it are deleted.
  std::vector<stored_record> apply_snapshot(const std::vector<stored_record>& records,
                                            std::uint64_t revision, invariant_counters& invariants,
                                            step& step);
  /// Everything up to `revision` has been taken in.
  void advance_revision(std::uint64_t revision);

  /// Returns all live records and the revision they stand for.
  [[nodiscard]] records_update snapshot() const;
  /// Returns a hash of the names and versions of all live records.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// Returns the newest revision that is known completely.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Returns the records that can be read.
  [[nodiscard]] const configuration::registry& registry() const { return registry_; }
  /// Returns the agents that an operator declared lost, with their last incarnation.
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
