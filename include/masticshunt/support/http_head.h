/// @file
/// Checks of the heads of HTTP/1.1 messages that the parser leaves to its user.
#pragma once

#include <boost/asio/buffer.hpp>

namespace masticshunt::support {

/// The lowest status code. An answer with a lower number is none (RFC 9110, section 15).
inline constexpr unsigned first_status = 100;

/// Returns true if an answer with `status` is followed by another one to the same request. What
/// follows 101 (Switching Protocols) is no HTTP.
[[nodiscard]] constexpr bool is_interim(unsigned status) {
  constexpr unsigned switching_protocols = 101;
  constexpr unsigned first_final_status = 200;
  return status >= first_status && status < first_final_status && status != switching_protocols;
}

/// Returns true if a line of a head begins with a blank, so that the parser would join it to the
/// value of the line before it. A proxy must not pass such a line on (RFC 9112, section 5.2).
///
/// `received` is what the parser has not taken yet of a head that it has not read to the end, with
/// what follows the head.
[[nodiscard]] bool has_folded_line(boost::asio::const_buffer received);

}  // namespace masticshunt::support
