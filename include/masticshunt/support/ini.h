/// @file
/// An INI parser that records the line number of every section and key.
///
/// Boost.PropertyTree also parses INI but does not keep line numbers, which error messages need.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"

namespace masticshunt::support {

/// One "key = value" entry with its line number, counted from 1.
struct ini_entry {
  std::string key;
  std::string value;
  std::size_t line = 0;
};

/// One "[name]" section with its entries.
struct ini_section {
  std::string name;
  std::size_t line = 0;
  std::vector<ini_entry> entries;

  /// Returns the entry called `key`, or null.
  [[nodiscard]] const ini_entry* find(std::string_view key) const;
};

/// A parsed INI file.
struct ini_document {
  std::string file;  ///< The file name used in error messages.
  std::vector<ini_section> sections;

  /// Returns the section called `name`, or null.
  [[nodiscard]] const ini_section* find(std::string_view name) const;
};

/// Returns a `bad_input` failure whose message starts with "file:line: ".
failure failure_at(std::string_view file, std::size_t line, std::string_view message,
                   std::string remedy);

/// Parses `text`. Lines that start with '#' or ';' are comments; a value extends to the end of its
/// line. Duplicate sections and keys are errors.
/// Returns nothing and sets `reason` on failure.
std::optional<ini_document> parse_ini(std::string_view file, std::string_view text,
                                      failure& reason);

/// Returns the content of the file at `path`. Returns nothing and sets `reason` on failure.
std::optional<std::string> read_file(const std::string& path, failure& reason);

/// Returns the name in `known` with the smallest edit distance to `wrong`, to suggest a correction.
/// Returns an empty string if no name is similar.
std::string nearest_name(std::string_view wrong, const std::vector<std::string_view>& known);

}  // namespace masticshunt::support
