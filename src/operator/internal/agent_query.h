/// @file
/// Queries agents at their operator ports, and waits until a configuration is in force.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"

namespace masticshunt::operators {

/// The response of one agent, or the failure.
struct agent_answer {
  endpoint agent;
  std::optional<std::string> body;
  failure reason;
};

/// Sends `GET target` to all agents concurrently and returns the responses in the order of
/// `agents`. An agent that does not respond within `deadline` is `unavailable`.
std::vector<agent_answer> query_agents(boost::asio::io_context& context,
                                       const std::vector<endpoint>& agents,
                                       const std::string& target,
                                       std::chrono::milliseconds deadline);

/// Returns the configuration revision in force according to the JSON text `status`:
/// "config_revision_everywhere" if present, else "config_revision"; 0 if it has neither.
std::uint64_t revision_in_force(const std::string& status);

/// Polls the agents until each reports at least `revision`. Returns the agents that still do not
/// after `timeout`, or an empty list if all do.
std::vector<endpoint> wait_in_force(boost::asio::io_context& context,
                                    const std::vector<endpoint>& agents, std::uint64_t revision,
                                    std::chrono::milliseconds timeout);

}  // namespace masticshunt::operators
