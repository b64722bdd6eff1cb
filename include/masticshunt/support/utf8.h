/// @file
/// Text that may not be UTF-8.
#pragma once

#include <string>
#include <string_view>

namespace masticshunt::support {

/// The character that stands for bytes that are not UTF-8.
inline constexpr std::string_view replacement_character = "\xEF\xBF\xBD";

/// Returns `text` with each byte that is no part of a UTF-8 character replaced by the replacement
/// character.
std::string with_valid_utf8(std::string_view text);

}  // namespace masticshunt::support
