/// @file
/// Who owns which keys of a service: the one object of the store that says so.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::claims {

using routing::upstream_incarnation;

/// A key of a service that is divided by key.
using shard_key = std::uint32_t;
inline constexpr shard_key last_shard_key = 65'535;

/// An inclusive stretch of keys.
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

/// An agent in one of its registrations. A registration ends when its lease object is deleted;
/// the store never gives the same number again.
struct holder_id {
  std::string agent;
  std::uint64_t registration = 0;

  auto operator<=>(const holder_id&) const = default;
};

/// One range with its owner.
struct claim {
  key_range keys;
  holder_id holder;               ///< An empty agent: nobody owns the range.
  upstream_incarnation upstream;  ///< The life that is to hold the keys.
  std::uint64_t fence = 0;
  std::string handover;  ///< What the last upstream left for the next; may be empty.

  bool operator==(const claim&) const = default;
};

/// All claims of one service, and the leader: the only agent that may change them.
struct claim_map {
  std::string service;
  std::uint64_t revision = 0;  ///< The store's; zero before the first write.
  std::uint64_t write_counter =
      0;               ///< Counts writes; with the writer and its life it names a write.
  std::string writer;  ///< The agent that wrote the map.
  std::string leader;  ///< Empty once the leader has given the leadership back.
  endpoint leader_address;
  std::uint64_t leader_incarnation = 0;
  std::uint64_t next_fence = 1;
  std::vector<claim> claims;  ///< Sorted; they cover every key once.

  bool operator==(const claim_map&) const = default;

  /// Returns the claim over `key`, or null.
  [[nodiscard]] const claim* find(shard_key key) const;
  /// Returns true if the claims are sorted and cover every key exactly once.
  [[nodiscard]] bool covers_all() const;
};

/// Returns a map of `service` in which nobody owns anything.
claim_map empty_map(std::string service);

/// Splits the claims so that `keys` begins and ends at borders of claims.
void split_at(std::vector<claim>& claims, const key_range& keys);

/// A range that an owner has given back, with what its upstream left for the next.
struct released_range {
  key_range keys;
  std::uint64_t fence = 0;
  std::string handover;

  bool operator==(const released_range&) const = default;
};

/// Load that an owner observed on a stretch of its keys, in slots.
struct key_load {
  key_range keys;
  double slots = 0;

  bool operator==(const key_load&) const = default;
};

/// What an owner tells the leader several times a second.
struct owner_report {
  std::string service;
  holder_id holder;
  endpoint address;
  std::uint64_t agent_incarnation = 0;  ///< Of the agent's process.
  upstream_incarnation upstream;        ///< Empty id: no upstream is there.
  bool accepting = false;               ///< The upstream is ready and stays.
  bool restarting = false;              ///< The agent is about to restart; its upstream goes on.
  std::uint32_t slots = 1;
  duration service_time{};
  std::uint64_t map_revision = 0;
  /// The life of a leader whose replies this owner accepts no more; zero: none.
  std::uint64_t rejected_incarnation = 0;
  duration lease_remaining{};  ///< Of the right that replies gave.
  std::vector<released_range> released;
  std::vector<key_load> loads;

  bool operator==(const owner_report&) const = default;
};

/// The leader's answer.
struct leader_reply {
  duration lease{};  ///< Counted from when the owner sent its report; zero if not renewed.
  bool is_leader = false;
  std::uint64_t leader_incarnation = 0;
  std::optional<claim_map> map;  ///< Set if it is newer than the owner's.
  std::vector<released_range> to_release;

  bool operator==(const leader_reply&) const = default;
};

/// Lengths that the proof of one owner per key rests on; docs/design/platform.md derives them.
struct claim_timing {
  duration reply_lease = std::chrono::milliseconds{2'000};  ///< Given by a leader's reply.
  /// Given by a leader's reply to an owner that restarts.
  duration restart_lease = std::chrono::milliseconds{5'000};
  duration record_lease = std::chrono::milliseconds{2'000};   ///< Given by a renewed lease object.
  duration leader_lease = std::chrono::milliseconds{12'000};  ///< Given by a written map.
  duration hold = std::chrono::milliseconds{2'000};           ///< Of a grant to an upstream.
  duration hold_renewal = std::chrono::milliseconds{700};     ///< Between grants of the same range.
  duration margin = std::chrono::milliseconds{200};  ///< For delays between deciding and sending.
  double upstream_clock_error = 0.02;                ///< By which an upstream's clock may be slow.
  duration send_limit = std::chrono::milliseconds{100};  ///< Grants not sent by then are dropped.
  std::size_t grants_at_once = 4;
  duration report_interval = std::chrono::milliseconds{300};
  duration leader_reply_timeout = std::chrono::milliseconds{800};  ///< Then leases are renewed too.
  duration reject_after = std::chrono::milliseconds{1'300};        ///< Of a silent leader.
  duration lease_interval = std::chrono::milliseconds{600};
  duration owner_suspicion_timeout =
      std::chrono::milliseconds{1'000};  ///< Then an owner is suspected.
  duration leader_renewal_interval =
      std::chrono::milliseconds{2'500};                         ///< Between writes that renew.
  duration call_timeout = std::chrono::milliseconds{1'000};     ///< Of grants and store calls.
  duration release_timeout = std::chrono::milliseconds{2'500};  ///< Work in flight ends first.
  duration pause_limit = std::chrono::milliseconds{700};  ///< A longer gap means we were paused.
};

/// @name Stored and sent forms.
/// @{
std::string to_json_text(const claim_map& map);
std::optional<claim_map> map_from_json_text(std::string_view text, failure& reason);
std::string to_cbor_bytes(const claim_map& map);
std::optional<claim_map> map_from_cbor_bytes(std::string_view bytes, failure& reason);
std::string to_cbor_bytes(const owner_report& report);
std::optional<owner_report> report_from_cbor_bytes(std::string_view bytes, failure& reason);
std::string to_cbor_bytes(const leader_reply& reply);
std::optional<leader_reply> reply_from_cbor_bytes(std::string_view bytes, failure& reason);
/// @}

}  // namespace masticshunt::claims
