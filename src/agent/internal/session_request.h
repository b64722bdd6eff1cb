/// @file
/// The request that a session is serving; shared by the session's two source files.
#pragma once

#include <memory>
#include <string>

#include "agent/internal/session.h"
#include "masticshunt/decisions/requests/attempt_history.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::agent {

/// The state of a request from its header to its response.
struct session::current_request {
  caller::caller_request request;
  requests::request_descriptor descriptor;
  std::shared_ptr<const service_view> service;
  std::string rank_name;
  std::string request_id;
  time_point started = boot_now();
  requests::attempt_history history;
  std::uint32_t attempts = 0;
  std::uint32_t owner_waits = 0;
  agent_id tried_owner;  ///< The owner of the last attempt; its token is `tried_token`.
  fence_token tried_token;
};

}  // namespace masticshunt::agent
