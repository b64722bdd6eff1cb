/// @file
/// Writes records to the store under the condition that nobody changed them meanwhile.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "operator/internal/record_file.h"
#include "operator/internal/store_session.h"

namespace masticshunt::operators {

/// What became of one record.
enum class apply_outcome { created, changed, unchanged, deleted, refused, not_tried };

/// Returns the outcome's name in reports.
std::string_view to_string(apply_outcome outcome);

/// The report on one record.
struct apply_line {
  std::string object;
  apply_outcome outcome = apply_outcome::not_tried;
  std::uint64_t version = 0;  ///< Its version in the store now; 0 if there is none or unknown.
  std::string edited_by;      ///< Who wrote the store's version, in a conflict.
  /// From the store's record (left) to the file's (right).
  std::vector<field_difference> changes;
  failure reason;
};

/// The report on all records of a command.
struct apply_report {
  std::vector<apply_line> lines;
  /// Returns the first failure, or nothing if all records stand as wanted.
  [[nodiscard]] std::optional<failure> first_failure() const;
  /// Returns the newest version among the records.
  [[nodiscard]] std::uint64_t revision() const;
};

/// How `apply_records` works.
struct apply_options {
  bool dry_run = false;   ///< Checks everything, writes nothing.
  std::string edited_by;  ///< The operator's name, kept with the record.
  std::string write_id;   ///< Unique to this run of the command.
};

/// Writes `records` to the store. Everything is checked before the first write: that all agents
/// concerned read the schema, that the records fit together, and that each record in the store is
/// the one the file was made from. Records are then written one by one; the first refusal ends it.
///
/// A record that exists is replaced only if the file states its current version. A record that
/// already says the same is left alone.
apply_report apply_records(store_session& store, const std::vector<file_record>& records,
                           const apply_options& options);

/// Deletes the record called `object` if it stands at version `expected`.
apply_line delete_record(store_session& store, const std::string& object, std::uint64_t expected);

/// Returns an identity for the writes of one run of a command.
std::string make_write_id();

}  // namespace masticshunt::operators
