/// @file
/// Reads INI text and keeps the line of every section and key.
///
/// Boost.PropertyTree reads INI too but loses line numbers, and errors here must name the line.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"

namespace masticshunt::support {

/// One "key = value" with its line, counted from 1.
struct ini_entry {
  std::string key;
  std::string value;
  std::size_t line = 0;
};

/// One "[name]" with what follows it.
struct ini_section {
  std::string name;
  std::size_t line = 0;
  std::vector<ini_entry> entries;

  /// Returns the entry called `key`, or nothing.
  [[nodiscard]] const ini_entry* find(std::string_view key) const;
};

/// A parsed file.
struct ini_document {
  std::string file;  ///< As named in errors.
  std::vector<ini_section> sections;

  /// Returns the section called `name`, or nothing.
  [[nodiscard]] const ini_section* find(std::string_view name) const;
};

/// Returns a bad-input failure whose message starts with "file:line: ".
failure failure_at(std::string_view file, std::size_t line, std::string_view what,
                   std::string remedy);

/// Parses `text`. Lines that start with '#' or ';' are comments; a value runs to the end of its
/// line. Sections and keys that come twice are refused.
/// Returns the document, or nothing with `reason` filled.
std::optional<ini_document> parse_ini(std::string_view file, std::string_view text,
                                      failure& reason);

/// Returns the content of `path`, or nothing with `reason` filled.
std::optional<std::string> read_file(const std::string& path, failure& reason);

/// Returns the name in `known` that is nearest to `wrong`, for remedies; empty if none is near.
std::string nearest_name(std::string_view wrong, const std::vector<std::string_view>& known);

}  // namespace masticshunt::support
