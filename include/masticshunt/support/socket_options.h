/// @file
/// TCP options with which long-lived connections detect an unresponsive peer, and how a connection
/// has ended.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace masticshunt::support {

/// Limits after which the kernel closes a connection to an unresponsive peer.
struct socket_timeouts {
  std::chrono::milliseconds user_timeout{2'000};  ///< For unacknowledged data (TCP_USER_TIMEOUT).
  std::chrono::seconds keepalive_idle{2};         ///< Idle time before the first probe.
  std::chrono::seconds keepalive_interval{1};
  int keepalive_probes = 3;
};

/// Sets TCP_NODELAY, TCP_USER_TIMEOUT and keep-alive probes. Ignores options that the system
/// rejects.
void apply_socket_options(boost::asio::ip::tcp::socket& socket, const socket_timeouts& limits = {});

/// Sets only TCP_USER_TIMEOUT. The kernel counts it also while a living peer reads nothing, so a
/// connection that carries a large body needs a longer one. Ignores what the system rejects.
void set_user_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

/// Returns true if the peer has neither closed the idle connection `handle` nor written to it.
[[nodiscard]] bool is_silent(int handle);

/// Returns true if the peer has ended its side of the connection `handle` and nothing has reset it.
///
/// The end of the stream alone does not say so: a write that fails takes the error of a reset with
/// it, and reads on that connection then report an ordinary end. A message that ends with its
/// connection is whole only without such an error (RFC 9112, section 8).
[[nodiscard]] bool peer_ended_in_order(int handle);

}  // namespace masticshunt::support
