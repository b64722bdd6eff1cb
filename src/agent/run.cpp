#include "masticshunt/agent/run.h"

#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "masticshunt/agent/agent.h"

namespace masticshunt::agent {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_not_started = 1;
constexpr int exit_drain_timeout = 4;
constexpr std::chrono::seconds stop_grace{5};

/// Waits for SIGTERM or SIGINT.
void wait_for_signal() {
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  context.run();
}

}  // namespace

int run_agent(const agent_settings& settings) {
  agent process(settings);
  failure reason;
  if (!process.start(reason)) {
    spdlog::error("agent={} {}", settings.name, reason.describe());
    return exit_not_started;
  }
  const auto& self = process.description();
  spdlog::info("agent={} started caller={} forward={} control={} upstream_port={} operator={}",
               to_string(self.id), self.caller, self.forward, self.control,
               process.upstream_port_endpoint(), process.operator_endpoint());
  wait_for_signal();
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  spdlog::info("agent={} stopping", settings.name);
  process.request_stop();
  if (!process.wait_stopped(settings.drain_timeout + stop_grace)) {
    spdlog::error("agent={} drain timeout expired with requests in flight", settings.name);
    process.kill();
    return exit_drain_timeout;
  }
  spdlog::info("agent={} stopped", settings.name);
  return exit_ok;
}

}  // namespace masticshunt::agent
