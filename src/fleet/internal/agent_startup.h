/// @file
/// The start of the agent process, up to the point where it serves.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "fleet/internal/agent_process.h"

namespace masticshunt::fleet {

/// Why an agent could not be started.
struct startup_failure {
  int exit_code = 0;
  std::string message;  ///< Names what failed and the remedy.
};

/// Starts an agent, and waits for what may be missing only for a moment: an address that its
/// predecessor still holds or that another process connects from, and settings that are being
/// written.
///
/// Life cycle: construct before anything else, so that no signal ends the process from then on;
/// call `begin` and run the context. A stop signal before the agent serves stops the context.
/// Thread safety: none.
class agent_startup {
 public:
  agent_startup(boost::asio::io_context& context, std::string path);

  /// Starts to start the agent. A failure stops the context.
  void begin();

  /// Runs the context until it is stopped. An exception that leaves a handler is logged, and the
  /// other handlers go on.
  void run_context();

  /// Returns true once the agent serves.
  [[nodiscard]] bool serves() const { return serves_; }
  /// Returns why the agent can't be started, or nothing.
  [[nodiscard]] const std::optional<startup_failure>& failure() const { return failure_; }

 private:
  boost::asio::awaitable<void> run();
  /// Reads the settings; a file that can't be used is read again for a while.
  boost::asio::awaitable<void> read_settings();
  /// Opens the endpoints, and serves once all are open.
  boost::asio::awaitable<void> listen();
  boost::asio::awaitable<void> pause(duration span);
  void log_exception(const char* what);
  void fail(startup_failure why);
  void wait_for_signal();

  boost::asio::io_context& context_;
  std::string path_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<agent_process> process_;
  std::optional<startup_failure> failure_;
  bool serves_ = false;
};

}  // namespace masticshunt::fleet
