/// @file
/// Parses values with units from settings and record files.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace masticshunt::support {

/// Parses a duration ("250ms", "3s", "2m", "1h"). Returns nothing if `text` is malformed.
std::optional<std::chrono::milliseconds> duration_from(std::string_view text);

/// Parses a size in bytes ("512B", "64KiB", "1MiB", "2GiB"). Returns nothing if `text` is
/// malformed.
std::optional<std::uint64_t> size_from(std::string_view text);

/// Parses a fraction ("0.25" or "25%"). Returns nothing if `text` is malformed.
std::optional<double> share_from(std::string_view text);

/// Parses a finite decimal number. Returns nothing if `text` is malformed.
std::optional<double> number_from(std::string_view text);

/// Parses an unsigned integer. Returns nothing if `text` is malformed.
std::optional<std::uint64_t> count_from(std::string_view text);

/// Parses "true" or "false". Returns nothing for any other text.
std::optional<bool> flag_from(std::string_view text);

}  // namespace masticshunt::support
