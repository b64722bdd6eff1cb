/// @file
/// The events of a randomised simulation of the request chain.
#pragma once

#include <cstdint>
#include <variant>

#include "decisions/requests/virtual_time/chain_types.h"

namespace masticshunt::testing {

/// The owner of a range in the local view of an ingress agent.
struct routed_owner {
  std::uint32_t owner = 0;
  fence_token fence{};
};

/// @name Events of a simulation.
/// @{
struct new_call {};
struct move_range {};
struct freeze {};
struct tick {};
struct caller_sends {
  std::uint32_t call = 0;
};
struct attempt_arrives {
  std::uint32_t attempt = 0;
};
struct forward_due {
  std::uint32_t attempt = 0;
};
struct forward_arrives {
  std::uint32_t forward = 0;
  duration remaining{};
};
struct upstream_starts {
  std::uint32_t forward = 0;
};
struct upstream_ends {
  std::uint32_t forward = 0;
};
struct reply_arrives {
  chain_reply reply;
};
struct ingress_deadline {
  std::uint32_t attempt = 0;
};
struct outcome_arrives {
  std::uint32_t attempt = 0;
  requests::outcome outcome = requests::outcome::not_run;
  std::uint32_t body = 0;
};
struct caller_times_out {
  std::uint32_t attempt = 0;
};
struct ownership_begins {
  std::uint32_t range = 0;
  std::uint32_t owner = 0;
  requests::ownership_view view;
};
struct export_due {
  std::uint32_t range = 0;
  std::uint32_t next = 0;
  time_point latest{};
};
struct view_changes {
  std::uint32_t ingress = 0;
  std::uint32_t range = 0;
  std::uint32_t owner = 0;
  fence_token fence{};
};
using chain_event =
    std::variant<new_call, move_range, freeze, tick, caller_sends, attempt_arrives, forward_due,
                 forward_arrives, upstream_starts, upstream_ends, reply_arrives, ingress_deadline,
                 outcome_arrives, caller_times_out, ownership_begins, export_due, view_changes>;
/// @}

}  // namespace masticshunt::testing
