#include "agent/internal/connection_pool.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "agent/internal/socket_watchdog.h"
#include "masticshunt/support/clock.h"
#include "masticshunt/support/socket_options.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

void set_options(tcp::socket& socket, std::chrono::milliseconds user_timeout) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  support::set_user_timeout(socket, user_timeout);
}

}  // namespace

std::optional<tcp::endpoint> to_tcp_endpoint(const endpoint& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* const first = text.data() + colon + 1;
  const char* const last = text.data() + text.size();
  const auto [end, port_error] = std::from_chars(first, last, port);
  if (error || port_error != std::errc{} || end != last) return std::nullopt;
  return tcp::endpoint{address, port};
}

bool is_unusable(tcp::socket& socket) {
  char byte = 0;
  const auto bytes = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

connection_pool::connection_pool(asio::io_context& context, connection_pool_settings settings)
    : context_(context), settings_(settings) {}

asio::awaitable<std::unique_ptr<http_connection>> connection_pool::acquire(const endpoint& peer,
                                                                           bool fresh_only) {
  if (!fresh_only) {
    if (auto idle = take_idle(peer)) co_return idle;
  }
  co_return co_await open(peer);
}

std::unique_ptr<http_connection> connection_pool::take_idle(const endpoint& peer) {
  const auto found = idle_.find(peer);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  const auto oldest_use = boot_now() - settings_.idle_age_max;
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection->last_used < oldest_use) {
      connections.clear();  // The remaining connections were used even earlier.
      return nullptr;
    }
    if (is_unusable(connection->socket)) continue;
    connection->reused = true;
    return connection;
  }
  return nullptr;
}

asio::awaitable<std::unique_ptr<http_connection>> connection_pool::open(const endpoint& peer) {
  const auto address = to_tcp_endpoint(peer);
  if (!address) co_return nullptr;
  auto connection = std::make_unique<http_connection>(tcp::socket(context_));
  connection->peer = peer;
  socket_watchdog watchdog(context_.get_executor());
  watchdog.arm(connection->socket, boot_now() + settings_.connect_timeout);
  const auto [error] =
      co_await connection->socket.async_connect(*address, asio::as_tuple(asio::use_awaitable));
  watchdog.disarm();
  if (error || watchdog.fired()) co_return nullptr;
  set_options(connection->socket, settings_.tcp_user_timeout);
  co_return connection;
}

std::unique_ptr<body_chunk> connection_pool::acquire_chunk() {
  if (chunks_.empty()) return std::make_unique_for_overwrite<body_chunk>();
  auto chunk = std::move(chunks_.back());
  chunks_.pop_back();
  return chunk;
}

void connection_pool::release_chunk(std::unique_ptr<body_chunk> chunk) {
  if (chunks_.size() < settings_.idle_chunks_max) chunks_.push_back(std::move(chunk));
}

void connection_pool::allow_stalls(http_connection& connection, time_point deadline) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - boot_now());
  if (remaining <= settings_.tcp_user_timeout) return;
  support::set_user_timeout(connection.socket, remaining);
  connection.allows_stalls = true;
}

void connection_pool::release(std::unique_ptr<http_connection> connection) {
  if (std::exchange(connection->allows_stalls, false))
    support::set_user_timeout(connection->socket, settings_.tcp_user_timeout);
  auto& connections = idle_[connection->peer];
  connection->last_used = boot_now();
  connections.push_back(std::move(connection));
  if (connections.size() > settings_.idle_per_peer_max) connections.pop_front();
}

}  // namespace masticshunt::agent
