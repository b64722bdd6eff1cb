/// @file
/// Converts routing configuration records from and to INI files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/configuration/records.h"

namespace masticshunt::operators {

/// A record read from a file.
struct file_record {
  configuration::record content;
  std::optional<std::uint64_t> expected_version;  ///< From "version = N".
  std::string location;                           ///< "file:line" of its section.
};

/// Parses the records in an INI text: sections "[kind name]" with the key "schema", optionally
/// "version", and the fields of the kind. Absent fields take the defaults of this build.
/// Returns nothing, with `reason` filled with file, line, fault and remedy, if the text is invalid.
std::optional<std::vector<file_record>> parse_records(std::string_view file, std::string_view text,
                                                      failure& reason);

/// Returns the INI text of `content`, which has version `version` in the store.
std::string to_ini(const configuration::record& content, std::uint64_t version);

/// A field whose value differs between two records.
struct field_difference {
  std::string field;
  std::string left;   ///< Empty if the left record lacks the field.
  std::string right;  ///< Empty if the right record lacks the field.
};

/// Returns the fields in which the records differ, including the schema. An absent record has no
/// fields.
std::vector<field_difference> differences(const std::optional<configuration::record>& left,
                                          const std::optional<configuration::record>& right);

}  // namespace masticshunt::operators
