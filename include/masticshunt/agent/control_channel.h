/// @file
/// Control messages between agents over WebSocket. The header does not include websocketpp, which
/// builds only as C++17; see src/agent/internal/websocket_transport.cpp.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "masticshunt/base/failure.h"

namespace masticshunt::agent {

/// Counters of a control channel, for metrics and the state dump.
struct control_channel_counts {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_dropped = 0;  ///< Not sent: the peer is unreachable or too slow.
  std::uint64_t connections = 0;       ///< Currently open, in both directions.
};

/// Sends and receives control messages, one message per WebSocket message.
///
/// Delivery is best effort: a message to a peer that is unreachable, slow or unresponsive is
/// dropped, and the ownership core sends it again. A connection without messages for the maximum
/// idle time is closed, and so is one whose peer does not answer a ping.
/// Life cycle: construct, `listen`, `send` as needed, `stop` (or destroy).
/// Thread safety: all members may be called from any thread. The handler runs on the channel's own
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

  /// Opens the listener. Port 0 selects any free port. Returns false and sets `reason` on failure.
  bool listen(const std::string& address, std::uint16_t port, failure& reason);

  /// Returns the listening port.
  std::uint16_t port() const;

  /// Sends `bytes` to the control endpoint `to` ("ip:port"). Connects first if necessary.
  void send(const std::string& to, std::string bytes);

  /// Closes the listener and all connections. No handler runs after it returns.
  void stop();

  /// Returns the counters since construction.
  control_channel_counts counts() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace masticshunt::agent
