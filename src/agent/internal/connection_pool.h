/// @file
/// A pool of one worker's HTTP connections to upstreams and other agents.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::agent {

/// One open HTTP connection.
struct http_connection {
  explicit http_connection(boost::asio::ip::tcp::socket opened) : socket(std::move(opened)) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  endpoint peer;
  bool reused = false;         ///< True if it has already carried an exchange.
  bool allows_stalls = false;  ///< Its user timeout lasts until the deadline of its exchange.
  time_point last_used{};
};

/// Limits of a connection pool.
struct connection_pool_settings {
  std::size_t idle_per_peer_max = 32;
  std::size_t idle_chunks_max = 64;
  duration idle_age_max = std::chrono::seconds{20};
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds tcp_user_timeout{1'500};
};

/// A buffer for streaming bodies.
using body_chunk = std::array<char, 64 * 1024>;

/// Pools idle connections by peer, and buffers for bodies.
///
/// Thread safety: none; each worker has its own pool and uses it on its own thread.
class connection_pool {
 public:
  connection_pool(boost::asio::io_context& context, connection_pool_settings settings);

  /// Returns a connection to `peer`: an idle one that still appears open, unless `fresh_only`, or
  /// else a new one. Returns null if no connection could be opened within the connect timeout.
  boost::asio::awaitable<std::unique_ptr<http_connection>> acquire(const endpoint& peer,
                                                                   bool fresh_only);

  /// Puts a connection back into the pool after a complete exchange that left it reusable.
  void release(std::unique_ptr<http_connection> connection);

  /// Keeps the connection until `deadline` although the peer reads nothing; ends with `release`.
  void allow_stalls(http_connection& connection, time_point deadline);

  /// Returns a buffer with unspecified content.
  std::unique_ptr<body_chunk> acquire_chunk();
  /// Puts a buffer back into the pool.
  void release_chunk(std::unique_ptr<body_chunk> chunk);

  /// Closes the idle connections to `peer`. Called when one of them failed, as the others are
  /// likely to be dead too.
  void drop_idle(const endpoint& peer) { idle_.erase(peer); }

  /// Closes all idle connections.
  void clear() { idle_.clear(); }

 private:
  std::unique_ptr<http_connection> take_idle(const endpoint& peer);
  boost::asio::awaitable<std::unique_ptr<http_connection>> open(const endpoint& peer);

  boost::asio::io_context& context_;
  connection_pool_settings settings_;
  std::unordered_map<endpoint, std::deque<std::unique_ptr<http_connection>>> idle_;
  std::vector<std::unique_ptr<body_chunk>> chunks_;
};

/// Parses a TCP endpoint in the form "ip:port". Returns nothing if `text` is malformed.
std::optional<boost::asio::ip::tcp::endpoint> to_tcp_endpoint(const endpoint& text);

/// Returns true if the peer has closed the connection or sent unexpected bytes.
bool is_unusable(boost::asio::ip::tcp::socket& socket);

}  // namespace masticshunt::agent
