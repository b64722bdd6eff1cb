/// @file
/// Values with units, as settings and record files write them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace masticshunt::support {

/// Returns the duration that `text` states ("250ms", "3s", "2m", "1h"), or nothing.
std::optional<std::chrono::milliseconds> duration_from(std::string_view text);

/// Returns the size in bytes that `text` states ("512B", "64KiB", "1MiB", "2GiB"), or nothing.
std::optional<std::uint64_t> size_from(std::string_view text);

/// Returns the share that `text` states ("0.25" or "25%"), or nothing.
std::optional<double> share_from(std::string_view text);

/// Returns the number that `text` states, or nothing.
std::optional<double> number_from(std::string_view text);

/// Returns the whole number that `text` states, or nothing.
std::optional<std::uint64_t> count_from(std::string_view text);

/// Returns true or false as `text` states, or nothing.
std::optional<bool> flag_from(std::string_view text);

}  // namespace masticshunt::support
