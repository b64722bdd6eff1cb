/// @file
/// Checks of the heads of HTTP/1.1 messages that the parser leaves to its user.
#pragma once

#include <string_view>

namespace masticshunt::support {

/// Returns true if a line of a head begins with a blank, so that the parser would join it to the
/// value of the line before it. A proxy must not pass such a line on (RFC 9112, section 5.2).
///
/// `received` is what the parser has not taken yet of a head that it has not read to the end, with
/// what follows the head.
[[nodiscard]] bool has_folded_line(std::string_view received);

}  // namespace masticshunt::support
