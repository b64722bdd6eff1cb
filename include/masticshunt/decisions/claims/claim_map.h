/// @file
/// The shard map of a service: one store object that assigns every key range to an owner.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/store_revision.h"
#include "masticshunt/base/time.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::claims {

using routing::upstream_incarnation;

/// A key of a sharded service.
using shard_key = std::uint32_t;
inline constexpr shard_key last_shard_key = 65'535;

/// An inclusive range of keys.
struct key_range {
  shard_key first = 0;
  shard_key last = last_shard_key;

  auto operator<=>(const key_range&) const = default;

  [[nodiscard]] bool contains(shard_key key) const { return first <= key && key <= last; }
  [[nodiscard]] bool contains(const key_range& other) const {
    return first <= other.first && other.last <= last;
  }
  [[nodiscard]] bool overlaps(const key_range& other) const {
    return first <= other.last && other.first <= last;
  }
  [[nodiscard]] std::uint32_t size() const { return last - first + 1; }
};

/// An agent in one of its registrations. A registration ends when its lease record is deleted, and
/// with the store's era; its number is the revision that created the record.
struct holder_id {
  std::string agent;
  store_revision registration = 0;  ///< Zero: of an earlier era, and not taken over into this one.

  auto operator<=>(const holder_id&) const = default;
};

/// One shard assignment: a key range and its owner.
struct claim {
  key_range keys;
  holder_id holder;               ///< Empty agent: the range has no owner.
  upstream_incarnation upstream;  ///< The incarnation that is assigned the keys.
  std::uint64_t fence = 0;        ///< Fencing token; rises with each assignment and merge.
  std::string handover;           ///< State handed over by the previous upstream; may be empty.

  bool operator==(const claim&) const = default;

  /// Returns true if the keys have not been assigned since the store's era began: an owner may
  /// still have a lease on them from an earlier era.
  [[nodiscard]] bool unsettled() const {
    return holder.agent.empty() ? fence == 0 : holder.registration == 0;
  }
};

/// Fencing tokens of one era; the store can't lose the count of them across its eras.
inline constexpr std::uint64_t fences_per_era = 100'000'000'000;

/// Returns the lowest fence that is given out in `era`: it is above those of all earlier eras.
constexpr std::uint64_t first_fence_of(store_era era) {
  return era * fences_per_era + 1;
}

/// The shard map of one service: all its claims, and the leader, the only agent that may change
/// them.
struct claim_map {
  std::string service;
  store_revision revision = 0;  ///< Assigned by the store; zero before the first write.
  /// Identifies a write, together with the writer and its incarnation.
  std::uint64_t write_counter = 0;
  std::string writer;  ///< The agent that wrote the map.
  std::string leader;  ///< Empty after the leader has resigned.
  endpoint leader_address;
  std::uint64_t leader_incarnation = 0;
  /// For how long, from this write, leases of earlier leaders than `leader` may last.
  duration earlier_leases{};
  /// For how long, from this write, leases of earlier eras of the store may last.
  duration earlier_era_leases{};
  std::uint64_t next_fence = 1;
  std::vector<claim> claims;  ///< Sorted; every key is covered exactly once.

  bool operator==(const claim_map&) const = default;

  /// Returns the claim that contains `key`, or null.
  [[nodiscard]] const claim* find(shard_key key) const;
  /// Returns true if the claims are sorted and cover every key exactly once.
  [[nodiscard]] bool covers_all() const;
};

/// Returns a map of `service` in which no key has an owner.
claim_map empty_map(std::string service);

/// Splits the claims so that `keys` begins and ends at claim boundaries.
void split_at(std::vector<claim>& claims, const key_range& keys);

/// A range that an owner has released, with the state that its upstream hands over.
struct released_range {
  key_range keys;
  std::uint64_t fence = 0;
  std::string handover;

  bool operator==(const released_range&) const = default;
};

/// Load that an owner measured on a range of its keys, in slots.
struct key_load {
  key_range keys;
  double slots = 0;

  bool operator==(const key_load&) const = default;
};

/// A range that an owner holds under a lease of an earlier era of the store.
struct earlier_range {
  key_range keys;
  std::uint64_t fence = 0;

  bool operator==(const earlier_range&) const = default;
};

/// Status report that an owner sends to the leader every `claim_timing::report_interval`, and
/// sooner after a change.
struct owner_report {
  std::string service;
  store_era era = 0;  ///< Of the store, as far as the owner knows.
  holder_id holder;
  endpoint address;
  std::uint64_t agent_incarnation = 0;  ///< Identifies the agent's process.
  upstream_incarnation upstream;        ///< Empty id: the upstream is not present.
  bool accepting = false;               ///< The upstream is present and not draining.
  bool restarting = false;  ///< The agent is about to restart; its upstream keeps running.
  /// The upstream may own no keys where it stands: they move away in steps, as it runs on.
  bool relocating = false;
  std::uint32_t slots = 1;
  duration service_time{};
  store_revision map_revision = 0;
  /// Incarnation of the leader whose replies this owner no longer accepts; zero: none.
  std::uint64_t rejected_incarnation = 0;
  duration lease_remaining{};  ///< Remaining time of the lease granted by replies.
  bool takes_changes = false;  ///< Understands updates that are not complete maps.
  std::vector<released_range> released;
  std::vector<key_load> loads;
  std::vector<earlier_range> earlier;  ///< Ranges to take over from an earlier era.
  /// Incarnation of the leader that this owner followed when an earlier era ended; zero: none.
  std::uint64_t earlier_leader = 0;

  bool operator==(const owner_report&) const = default;
};

/// Durations that guarantee at most one owner per key; docs/design/platform.md derives them.
struct claim_timing {
  /// Lease granted by a leader's reply.
  duration reply_lease = std::chrono::milliseconds{2'000};
  /// Lease granted by a leader's reply to an owner that is about to restart.
  duration restart_lease = std::chrono::milliseconds{5'000};
  /// Lease granted by renewing the lease record.
  duration record_lease = std::chrono::milliseconds{2'000};
  /// Lease of the leader, granted by writing the map.
  duration leader_lease = std::chrono::milliseconds{12'000};
  /// Duration of a grant to an upstream.
  duration hold = std::chrono::milliseconds{2'000};
  /// Interval between grants of the same range.
  duration hold_renewal = std::chrono::milliseconds{700};
  /// Allows for delays between deciding and sending.
  duration margin = std::chrono::milliseconds{200};
  /// Share by which an upstream's clock may run slow.
  double upstream_clock_error = 0.02;
  /// Grants that were not sent within this time are dropped.
  duration send_limit = std::chrono::milliseconds{100};
  std::size_t grants_at_once = 4;
  /// Answers to heartbeats that take longer than this are ignored by the upstream.
  duration heartbeat_answer_limit = std::chrono::milliseconds{1'000};
  /// An answer to a heartbeat waits so long for keys to be granted or released.
  duration heartbeat_answer_wait = std::chrono::milliseconds{600};
  /// An answer no longer waits if keys would otherwise run out within this time.
  duration hold_reserve = std::chrono::milliseconds{400};
  duration report_interval = std::chrono::milliseconds{300};
  /// Without a leader's reply for this long, an owner renews its lease record as well.
  duration leader_reply_timeout = std::chrono::milliseconds{800};
  /// Without a leader's reply for this long, an owner rejects the leader.
  duration reject_after = std::chrono::milliseconds{1'300};
  duration lease_interval = std::chrono::milliseconds{600};
  /// Without a report for this long, the leader suspects that an owner has failed.
  duration owner_suspicion_timeout = std::chrono::milliseconds{1'000};
  /// Interval between map writes that only renew the leader's lease.
  duration leader_renewal_interval = std::chrono::milliseconds{2'500};
  /// Time limit of grants and store calls.
  duration call_timeout = std::chrono::milliseconds{1'000};
  /// Time limit of releases. Longer than `call_timeout`, as the upstream finishes work in flight
  /// first.
  duration release_timeout = std::chrono::milliseconds{2'500};
  /// A longer gap between ticks means that this process was paused.
  duration pause_limit = std::chrono::milliseconds{700};
};

/// @name Serialization: JSON for the store, CBOR between agents.
/// @{
std::string to_json_text(const claim_map& map);
std::optional<claim_map> map_from_json_text(std::string_view text, failure& reason);
std::string to_cbor_bytes(const owner_report& report);
std::optional<owner_report> report_from_cbor_bytes(std::string_view bytes, failure& reason);
/// @}

}  // namespace masticshunt::claims
