#include "masticshunt/fleet/run.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>

#include "fleet/internal/agent_process.h"
#include "masticshunt/fleet/settings.h"

namespace masticshunt::fleet {

namespace {

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

}  // namespace

int run_fleet_agent(const std::string& path) {
  failure reason;
  auto settings = load_fleet_settings(path, reason);
  if (!settings) {
    std::fprintf(stderr, "masticshunt: %s\n", reason.describe().c_str());
    return exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  agent_process process(context, std::move(*settings), path);
  if (const auto why = process.start(); !why.empty()) {
    std::fprintf(stderr, "masticshunt: %s; free the address or change it in %s\n", why.c_str(),
                 path.c_str());
    return exit_failed;
  }
  context.run();
  return 0;
}

}  // namespace masticshunt::fleet
