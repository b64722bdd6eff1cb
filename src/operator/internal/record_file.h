/// @file
/// Records of routing intent in their file form, INI, and back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/configuration/records.h"

namespace masticshunt::operators {

/// A record as a file states it.
struct file_record {
  configuration::record content;
  std::optional<std::uint64_t> expected_version;  ///< From "version = N".
  std::string location;                           ///< "file:line" of its section.
};

/// Reads the records of an INI text: sections "[kind name]" with the key "schema", optionally
/// "version", and the fields of the kind. Fields that are absent take this build's defaults.
/// Returns the records, or nothing with `reason` filled: file, line, fault and remedy.
std::optional<std::vector<file_record>> parse_records(std::string_view file, std::string_view text,
                                                      failure& reason);

/// Returns the file form of `content`, which stands in the store as `version`.
std::string to_ini(const configuration::record& content, std::uint64_t version);

/// One field whose value differs between two records.
struct field_difference {
  std::string field;
  std::string left;   ///< Empty if the left record does not have it.
  std::string right;  ///< Empty if the right record does not have it.
};

/// Returns the fields in which the records differ, schema included. An absent record has none.
std::vector<field_difference> differences(const std::optional<configuration::record>& left,
                                          const std::optional<configuration::record>& right);

}  // namespace masticshunt::operators
