/// @file
/// What agents know of one another and of who owns which part of the key space.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::ownership {

/// An upstream as it announced itself to the agent beside it.
struct upstream_description {
  std::string service;
  endpoint address;               ///< Where the upstream takes requests (HTTP/1.1).
  std::uint64_t incarnation = 0;  ///< Changes when the upstream restarts and has lost its state.
  std::uint32_t slots = 1;        ///< Requests it runs at once.
  std::uint32_t connections = 1;  ///< Connections it accepts.
  bool checks_fences = false;     ///< Refuses requests whose fence is older than one it has seen.

  bool operator==(const upstream_description&) const = default;
};

/// An agent as its peers know it.
struct agent_description {
  agent_id id;
  endpoint control;  ///< Where it takes control messages (WebSocket, CBOR).
  endpoint forward;  ///< Where it takes forwarded requests (HTTP/1.1).
  endpoint caller;   ///< Where it takes callers' requests; the owner hint of a refusal.
  std::string region;
  std::string failure_domain;
  std::uint32_t schema_version_max = 1;  ///< The newest record schema that it can read.
  std::optional<upstream_description> upstream;

  bool operator==(const agent_description&) const = default;
};

/// One range with its owner. `owner` names nobody (empty name) while the range waits for one.
struct range_assignment {
  hash_range range;
  agent_id owner;
  fence_token token;
  bool had_earlier_owner = false;  ///< Another owner may have run requests of the range.

  bool operator==(const range_assignment&) const = default;
};

/// The agents that may renew leases of a group. The first is the coordinator.
struct renewer_record {
  agent_id id;
  endpoint control;
  std::string failure_domain;
  bool withdrawn =
      false;  ///< Support is withdrawn; it is replaced once its grants are known ended.
  std::uint64_t appointment = 0;  ///< The page's sequence when it was named; unique in the page.
  bool alone = false;  ///< It may hold a page that names no other renewer; nobody supports it.
  std::uint64_t withdrawn_at = 0;  ///< The page's sequence when it was withdrawn.

  bool operator==(const renewer_record&) const = default;
};

/// A group of ranges of one service: the unit that one coordinator answers for and that the
/// store holds as one object named "groups/<service>/<group>".
struct assignment_page {
  std::string service;
  std::uint32_t group = 0;
  std::uint64_t version = 0;  ///< The store's version of the object. Zero before the first write.
  std::uint64_t epoch = 0;    ///< Raised by every change of coordinator.
  std::vector<renewer_record> renewers;
  std::vector<agent_description> members;  ///< Agents whose upstreams may own ranges of the group.
  std::vector<range_assignment> ranges;    ///< Sorted by first; together they cover the group.
  std::uint64_t sequence = 0;              ///< Raised by one with every write of the page.
  std::uint64_t owner_changes = 0;         ///< Numbers the tokens; each range's is unique.
  std::uint64_t move_since = 0;    ///< Sequence at which isolation became `move`; zero for `stay`.
  std::uint32_t schema_floor = 1;  ///< The newest record schema that all members can read.
  std::string write_id;            ///< Names the write, so that a lost answer is recognised.

  bool operator==(const assignment_page&) const = default;
};

/// Timing of leases and membership. The bounds follow from "served again within 3 s of a loss".
struct lease_timing {
  duration lease = std::chrono::milliseconds{2000};
  duration renewal_interval = std::chrono::milliseconds{500};
  duration support = std::chrono::milliseconds{2000};  ///< How long a support by a peer lasts.
  duration store_support = std::chrono::milliseconds{1200};  ///< How long one by the store lasts.
  duration support_interval = std::chrono::milliseconds{400};
  duration owner_suspicion_timeout =
      std::chrono::milliseconds{1400};  ///< Then an owner is suspected.
  duration renewer_suspicion_timeout =
      std::chrono::milliseconds{1200};            ///< Then a renewer is replaced.
  duration tick = std::chrono::milliseconds{50};  ///< Between two `timer_fired`.
  duration pause_limit =
      std::chrono::milliseconds{400};               ///< A longer gap between ticks is a pause.
  duration margin = std::chrono::milliseconds{50};  ///< Taken off the end of every lease.
  std::uint32_t clock_drift_ppm = 200;
};

}  // namespace masticshunt::ownership
