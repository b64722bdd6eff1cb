#include "masticshunt/fleet/run.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>

#include "fleet/internal/agent_startup.h"

namespace masticshunt::fleet {

int run_fleet_agent(const std::string& path) {
  boost::asio::io_context context(1);
  agent_startup startup(context, path);
  std::signal(SIGPIPE, SIG_IGN);
  startup.begin();
  startup.run_context();
  const auto& failure = startup.failure();
  if (!failure) return 0;
  std::fprintf(stderr, "masticshunt: %s\n", failure->message.c_str());
  return failure->exit_code;
}

}  // namespace masticshunt::fleet
