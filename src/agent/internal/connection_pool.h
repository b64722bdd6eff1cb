/// @file
/// Idle HTTP connections of one worker to upstreams and to other agents.
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

/// One open connection. `reused` tells that it has carried an exchange before.
struct http_connection {
  explicit http_connection(boost::asio::ip::tcp::socket opened) : socket(std::move(opened)) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  endpoint peer;
  bool reused = false;
  time_point last_used{};
};

/// Limits of a pool.
struct connection_pool_settings {
  std::size_t idle_per_peer_max = 32;
  std::size_t idle_chunks_max = 64;
  duration idle_age_max = std::chrono::seconds{20};
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds tcp_user_timeout{1'500};
};

/// A block of memory through which bodies are streamed.
using body_chunk = std::array<char, 64 * 1024>;

/// Keeps idle connections by peer, and idle chunks for bodies.
///
/// Thread safety: none; every worker has its own pool and uses it on its own thread.
class connection_pool {
 public:
  connection_pool(boost::asio::io_context& context, connection_pool_settings settings);

  /// Returns a connection to `peer`: an idle one that still looks open unless `fresh_only`, or a
  /// new one; null if none could be opened in time.
  boost::asio::awaitable<std::unique_ptr<http_connection>> acquire(const endpoint& peer,
                                                                   bool fresh_only);

  /// Takes back a connection whose exchange ended cleanly.
  void release(std::unique_ptr<http_connection> connection);

  /// Returns a chunk whose content is undefined.
  std::unique_ptr<body_chunk> acquire_chunk();
  /// Takes back a chunk.
  void release_chunk(std::unique_ptr<body_chunk> chunk);

  /// Closes the idle connections to `peer`: one of them broke, the others may be as dead.
  void drop_idle(const endpoint& peer) { idle_.erase(peer); }

  /// Closes every idle connection.
  void clear() { idle_.clear(); }

 private:
  std::unique_ptr<http_connection> take_idle(const endpoint& peer);
  boost::asio::awaitable<std::unique_ptr<http_connection>> open(const endpoint& peer);

  boost::asio::io_context& context_;
  connection_pool_settings settings_;
  std::unordered_map<endpoint, std::deque<std::unique_ptr<http_connection>>> idle_;
  std::vector<std::unique_ptr<body_chunk>> chunks_;
};

/// Returns the TCP endpoint of "ip:port", or nothing if the text is not one.
std::optional<boost::asio::ip::tcp::endpoint> to_tcp_endpoint(const endpoint& text);

/// Returns true if the peer has closed the connection or sent bytes that nobody asked for.
bool is_unusable(boost::asio::ip::tcp::socket& socket);

}  // namespace masticshunt::agent
