/// @file
/// Loopback addresses of a test.
#pragma once

#include <unistd.h>

#include <string>

namespace masticshunt::testing {

/// Returns the first three octets of addresses that only this process uses: Criterion runs tests in
/// parallel, each in a process of its own.
inline std::string loopback_net() {
  constexpr unsigned first_net = 64;
  constexpr unsigned nets = 64;
  constexpr unsigned octet_values = 256;
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(first_net + process / octet_values % nets) + "." +
         std::to_string(process % octet_values) + ".";
}

}  // namespace masticshunt::testing
