/// @file
/// Writes records to the store with optimistic concurrency control.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "operator/internal/record_file.h"
#include "operator/internal/store_session.h"

namespace masticshunt::operators {

/// The outcome for one record.
enum class apply_outcome { created, changed, unchanged, deleted, refused, not_tried };

/// Returns the name of the outcome in reports.
std::string_view to_string(apply_outcome outcome);

/// The report on one record.
struct apply_line {
  std::string object;
  apply_outcome outcome = apply_outcome::not_tried;
  std::uint64_t version = 0;  ///< Current version in the store; 0 if none or unknown.
  std::string edited_by;      ///< In a conflict, the author of the stored version.
  /// Differences between the stored record (left) and the one in the file (right).
  std::vector<field_difference> changes;
  failure reason;
};

/// The report on all records of a command, in the order of the file.
struct apply_report {
  std::vector<apply_line> lines;
  /// Returns the first failure, or nothing if there is none.
  [[nodiscard]] std::optional<failure> first_failure() const;
  /// Returns the highest version among the records.
  [[nodiscard]] std::uint64_t revision() const;
};

/// Options of `apply_records`.
struct apply_options {
  bool dry_run = false;   ///< Only checks; writes nothing.
  std::string edited_by;  ///< Name of the operator, stored with the record.
  std::string write_id;   ///< Unique for each run of the command.
};

/// Writes `records` to the store. Before the first write it checks that all agents concerned can
/// read the schema, that the records are consistent with each other, and that each stored record
/// has the version that the file states. Records are then written one by one until the first
/// refusal.
///
/// An existing record is replaced only if the file states its current version. A record that equals
/// the stored one is not written.
apply_report apply_records(store_session& store, const std::vector<file_record>& records,
                           const apply_options& options);

/// Deletes the record `object` if its version is `expected`.
apply_line delete_record(store_session& store, const std::string& object, std::uint64_t expected);

/// Returns a random ID for the writes of one run of a command.
std::string make_write_id();

}  // namespace masticshunt::operators
