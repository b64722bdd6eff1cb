/// @file
/// Descriptions of agents and upstreams, and the assignment of key ranges to owners.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::ownership {

/// An upstream as it registered with its local agent.
struct upstream_description {
  std::string service;
  endpoint address;               ///< Accepts requests (HTTP/1.1).
  std::uint64_t incarnation = 0;  ///< Changes when the upstream restarts without its state.
  std::uint32_t slots = 1;        ///< Maximum number of concurrent requests.
  std::uint32_t connections = 1;  ///< Maximum number of connections.
  /// Rejects requests with a fencing token older than one it has seen.
  bool checks_fences = false;

  bool operator==(const upstream_description&) const = default;
};

/// An agent as described to its peers.
struct agent_description {
  agent_id id;
  endpoint control;  ///< Accepts control messages (WebSocket, CBOR).
  endpoint forward;  ///< Accepts forwarded requests (HTTP/1.1).
  endpoint caller;   ///< Accepts callers' requests; the owner hint of a refusal.
  std::string region;
  std::string failure_domain;
  std::uint32_t schema_version_max = 1;  ///< The newest record schema it can read.
  std::optional<upstream_description> upstream;

  bool operator==(const agent_description&) const = default;
};

/// One range with its owner. The name in `owner` is empty while the range is unassigned.
struct range_assignment {
  hash_range range;
  agent_id owner;
  fence_token token;
  bool had_earlier_owner = false;  ///< An earlier owner may have run requests of the range.

  bool operator==(const range_assignment&) const = default;
};

/// An agent that may renew leases of a group. The first renewer of a page is its coordinator.
struct renewer_record {
  agent_id id;
  endpoint control;
  std::string failure_domain;
  /// It no longer receives support, and is removed once all its grants are known to have ended.
  bool withdrawn = false;
  std::uint64_t appointment = 0;  ///< The page's sequence at its appointment; unique in the page.
  bool alone = false;  ///< It may hold a page without other renewers and renew without support.
  std::uint64_t withdrawn_at = 0;  ///< The page's sequence when it was withdrawn.

  bool operator==(const renewer_record&) const = default;
};

/// The shard assignment of one group: a group of ranges of one service, managed by one coordinator
/// and stored as one object named "groups/<service>/<group>".
struct assignment_page {
  std::string service;
  std::uint32_t group = 0;
  std::uint64_t version = 0;  ///< The store's version of the object; zero before the first write.
  std::uint64_t epoch = 0;    ///< The term; incremented by every change of coordinator.
  std::vector<renewer_record> renewers;
  std::vector<agent_description> members;  ///< Agents whose upstreams may own ranges of the group.
  std::vector<range_assignment> ranges;    ///< Sorted by first hash; together they cover the group.
  std::uint64_t sequence = 0;              ///< Incremented by every write of the page.
  std::uint64_t owner_changes = 0;         ///< Source of the tokens' sequences; each is unique.
  std::uint64_t move_since = 0;    ///< Sequence at which isolation became `move`; zero for `stay`.
  std::uint32_t schema_floor = 1;  ///< The newest record schema that all members can read.
  std::string write_id;  ///< Identifies the write, so that it is recognised after a lost response.

  bool operator==(const assignment_page&) const = default;
};

/// Timing of leases and membership. The defaults keep to the bound "served again within 3 s of a
/// loss".
struct lease_timing {
  duration lease = std::chrono::milliseconds{2000};
  duration renewal_interval = std::chrono::milliseconds{500};
  duration support = std::chrono::milliseconds{2000};        ///< Validity of support by a peer.
  duration store_support = std::chrono::milliseconds{1200};  ///< Validity of support by the store.
  duration support_interval = std::chrono::milliseconds{400};
  /// An owner without contact for this long is suspected.
  duration owner_suspicion_timeout = std::chrono::milliseconds{1400};
  /// A renewer without contact for this long is replaced.
  duration renewer_suspicion_timeout = std::chrono::milliseconds{1200};
  duration tick = std::chrono::milliseconds{50};  ///< Interval of `timer_fired`.
  /// A longer gap between events is a pause.
  duration pause_limit = std::chrono::milliseconds{400};
  duration margin = std::chrono::milliseconds{50};  ///< Subtracted from the end of every lease.
  std::uint32_t clock_drift_ppm = 200;
};

}  // namespace masticshunt::ownership
