/// @file
/// Asks agents at their operator ports, and waits until a configuration is in force.
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

/// One agent's answer.
struct agent_answer {
  endpoint agent;
  std::optional<std::string> body;
  failure reason;
};

/// Sends `GET target` to every agent at once and returns their answers in the same order. An agent
/// that does not answer within `deadline` is `unavailable`.
std::vector<agent_answer> query_agents(boost::asio::io_context& context,
                                       const std::vector<endpoint>& agents,
                                       const std::string& target,
                                       std::chrono::milliseconds deadline);

/// Returns the configuration revision that a status states to be in force, as widely as it knows:
/// "config_revision_everywhere" if it has it, "config_revision" otherwise; 0 if it has neither.
std::uint64_t revision_in_force(const std::string& status);

/// Polls the agents until each states at least `revision`. Returns the agents that do not when
/// `timeout` has passed; empty if all do.
std::vector<endpoint> wait_in_force(boost::asio::io_context& context,
                                    const std::vector<endpoint>& agents, std::uint64_t revision,
                                    std::chrono::milliseconds timeout);

}  // namespace masticshunt::operators
