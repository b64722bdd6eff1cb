#include "masticshunt/support/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace masticshunt::support {

namespace {

void set_number(int handle, int name, int value) {
  ::setsockopt(handle, IPPROTO_TCP, name, &value, sizeof value);
}

}  // namespace

void apply_socket_options(boost::asio::ip::tcp::socket& socket, const socket_timeouts& limits) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int handle = socket.native_handle();
  set_user_timeout(socket, limits.user_timeout);
  set_number(handle, TCP_KEEPIDLE, static_cast<int>(limits.keepalive_idle.count()));
  set_number(handle, TCP_KEEPINTVL, static_cast<int>(limits.keepalive_interval.count()));
  set_number(handle, TCP_KEEPCNT, limits.keepalive_probes);
}

void set_user_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout) {
  set_number(socket.native_handle(), TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

bool is_silent(int handle) {
  char byte = 0;
  const auto got = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool peer_ended_in_order(int handle) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
  return info.tcpi_state == TCP_CLOSE_WAIT;
}

}  // namespace masticshunt::support
