/// @file
/// Control messages between agents over WebSocket. The header holds nothing of websocketpp, which
/// builds only as C++17; see src/agent/internal/websocket_transport.cpp.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "masticshunt/base/failure.h"

namespace masticshunt::agent {

/// Counts of a control channel, for metrics and the dump.
struct control_channel_counts {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_dropped = 0;  ///< Not sent: the peer is away or too slow.
  std::uint64_t connections = 0;       ///< Open now, both directions.
};

/// Sends and receives control messages, one message a WebSocket frame.
///
/// Delivery is not certain: a message to a peer that is away, slow or silent is dropped, and the
/// decisions send again. A connection that carried nothing for the idle age is closed, and one
/// whose peer answers no ping is closed as silent.
/// Life cycle: construct, `listen`, `send` as needed, `stop` (or destroy).
/// Thread safety: all members may be called from any thread; the handler runs on the channel's own
/// thread and must not block.
///
///     control_channel channel([](std::string bytes) { handle(bytes); });
///     if (!channel.listen("10.0.0.7", 7400, reason)) return report(reason);
///     channel.send("10.0.0.8:7400", bytes);
class control_channel {
 public:
  using receive_handler = std::function<void(std::string)>;

  explicit control_channel(receive_handler handler);
  ~control_channel();
  control_channel(const control_channel&) = delete;
  control_channel& operator=(const control_channel&) = delete;

  /// Opens the listener. Port 0 takes any free port. Returns false with `reason` filled on failure.
  bool listen(const std::string& address, std::uint16_t port, failure& reason);

  /// Returns the port listened on.
  std::uint16_t port() const;

  /// Sends `bytes` to the control endpoint `to` ("ip:port"), connecting first if needed.
  void send(const std::string& to, std::string bytes);

  /// Closes everything. No handler runs after it returns.
  void stop();

  /// Returns the counts so far.
  control_channel_counts counts() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace masticshunt::agent
