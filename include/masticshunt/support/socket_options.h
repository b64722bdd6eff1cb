/// @file
/// Options that make long-lived connections notice a silent other side.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace masticshunt::support {

/// How soon the kernel gives up a connection whose other side is silent.
struct socket_timeouts {
  std::chrono::milliseconds user_timeout{2'000};  ///< For sent data that is not acknowledged.
  std::chrono::seconds keepalive_idle{2};         ///< Quiet time before the first probe.
  std::chrono::seconds keepalive_interval{1};
  int keepalive_probes = 3;
};

/// Sets TCP_NODELAY, TCP_USER_TIMEOUT and keep-alive probes. Options that the system refuses are
/// left as they are.
void apply_socket_options(boost::asio::ip::tcp::socket& socket, const socket_timeouts& limits = {});

}  // namespace masticshunt::support
