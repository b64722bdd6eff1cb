/// @file
/// The one small process beside each upstream VM: entry for callers, router, gate, and member.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "masticshunt/agent/settings.h"
#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::agent {

/// An agent with its workers and listeners.
///
/// Life cycle: construct, `start`, then `request_stop` and `wait_stopped`; or `kill`, which ends
/// it at once as a lost process would. Port 0 in the settings takes any free port.
/// Thread safety: all members may be called from any thread but the agent's own.
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

  /// Opens all listeners and starts the workers. Returns false with `reason` filled on failure.
  bool start(failure& reason);

  /// Asks for a graceful stop: hand over, finish what is in flight, end.
  void request_stop();
  /// Returns true once a graceful stop has ended, waiting for it no longer than `limit`.
  bool wait_stopped(std::chrono::milliseconds limit);
  /// Ends everything at once; connections are reset and nothing is handed over.
  void kill();
  /// Stops and resumes all workers, as a paused process would be.
  void set_paused(bool paused);

  /// Returns the description that peers see, with the ports in use.
  [[nodiscard]] const ownership::agent_description& description() const;
  /// Returns where the upstream announces itself.
  [[nodiscard]] endpoint upstream_port_endpoint() const;
  /// Returns where operators ask.
  [[nodiscard]] endpoint operator_endpoint() const;
  /// Returns the share of evenly spread sample keys of `service` whose owner the agent knows.
  [[nodiscard]] double routable_share(std::string_view service) const;
  /// Returns the whole state as a JSON text.
  [[nodiscard]] std::string dump() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace masticshunt::agent
