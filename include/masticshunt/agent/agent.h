/// @file
/// The agent process that runs beside each upstream: accepts callers' requests, routes them, limits
/// admission to the local upstream and takes part in range ownership.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "masticshunt/agent/settings.h"
#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::agent {

/// An agent process with its worker threads and listeners.
///
/// Life cycle: construct, `start`, then `request_stop` and `wait_stopped`; or `kill`, which stops
/// it at once, as if the process had crashed. Port 0 in the settings selects any free port.
/// Thread safety: all members may be called from any thread except the agent's own.
///
///     agent process(settings);
///     if (!process.start(reason)) return report(reason);
///     ...
///     process.request_stop();
///     process.wait_stopped(std::chrono::seconds{30});
class agent {
 public:
  explicit agent(agent_settings settings);
  ~agent();
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  /// Opens all listeners and starts the workers. Returns false and sets `reason` on failure.
  bool start(failure& reason);

  /// Starts a graceful stop: hands over all ranges, finishes requests in flight and then ends.
  void request_stop();
  /// Waits up to `limit` for a graceful stop to finish. Returns true if it did.
  bool wait_stopped(std::chrono::milliseconds limit);
  /// Stops at once: resets connections and hands over nothing.
  void kill();
  /// Suspends or resumes all workers, to simulate a paused process.
  void set_paused(bool paused);

  /// Returns the description published to peers, with the ports in use.
  [[nodiscard]] const ownership::agent_description& description() const;
  /// Returns the endpoint to which the upstream sends its announcements.
  [[nodiscard]] endpoint upstream_port_endpoint() const;
  /// Returns the endpoint for operator requests.
  [[nodiscard]] endpoint operator_endpoint() const;
  /// Returns the fraction of `service`'s key space with a known owner, measured on evenly spaced
  /// sample positions.
  [[nodiscard]] double routable_share(std::string_view service) const;
  /// Returns the complete state as JSON text.
  [[nodiscard]] std::string dump() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace masticshunt::agent
