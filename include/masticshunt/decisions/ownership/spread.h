/// @file
/// Gossip-based dissemination of versioned objects (assignment pages, configuration records).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"
#include "masticshunt/decisions/ownership/spread_messages.h"

namespace masticshunt::ownership {

/// An agent that takes part in the dissemination.
struct spread_peer {
  endpoint control;
  std::string region;

  bool operator==(const spread_peer&) const = default;
};

/// Settings of the dissemination.
struct spread_settings {
  endpoint self;
  std::string region;
  std::uint64_t seed = 0;
  std::uint32_t local_peers = 4;         ///< Peers chosen in the own region.
  std::uint32_t relays_per_region = 16;  ///< Agents of a region that choose peers in others.
  std::uint32_t remote_peers = 2;        ///< Peers that a relay chooses in other regions.
  std::uint32_t accepted_peers = 12;     ///< Maximum number of peers that chose this agent.
  duration notice_interval = std::chrono::milliseconds{100};
  duration pull_timeout = std::chrono::milliseconds{1000};
  duration digest_interval = std::chrono::seconds{10};
  duration peer_timeout = std::chrono::seconds{25};
  duration tombstone_retention = std::chrono::hours{24};
  double bytes_per_second = 8'000;   ///< Refill rate of the token bucket.
  double burst_bytes = 1024 * 1024;  ///< Size of the token bucket.
};

/// A message to send to a peer.
struct spread_send {
  endpoint to;
  spread_message body;
};

/// Results of an event, to be processed by the caller.
struct spread_output {
  std::vector<spread_send> sends;
  std::vector<versioned_object> adopted;  ///< Newer versions, or deletions, received from peers.
};

/// Counters since construction.
struct spread_counters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t objects_adopted = 0;
  std::uint64_t patches_adopted = 0;
  std::uint64_t pulls_timed_out = 0;
  std::uint64_t patches_refused = 0;  ///< Patches that did not match the held value.
};

/// Replicates the newest version of every object to all agents: notices push versions, newer values
/// are pulled, and digests are compared for anti-entropy.
///
/// Each agent chooses a few peers of its region; some agents of each region, the relays, also
/// choose peers in other regions. Both ends of a choice notify each other, so that the choices form
/// an undirected graph that a notice floods once. A notice contains versions only; the value is
/// pulled once, from one of the agents that announced it, as a patch if that is smaller. Digests
/// repair differences caused by lost messages. All sending is bounded by a token bucket.
///
/// Life cycle: construct; `set_peers` from each known page; `put` objects read from the store;
/// `handle` each message of a peer; call `tick` at `next_wake`.
/// Thread safety: none.
///
///     spread objects(settings);
///     objects.set_peers(page_name, peers_of(page));
///     perform(objects.handle(from, message, now));
class spread {
 public:
  explicit spread(spread_settings settings);

  /// Replaces the peers listed by `source` (a page's name, or "settings").
  void set_peers(const std::string& source, std::vector<spread_peer> peers);

  /// Drops a peer whose connection has failed; another peer is chosen instead.
  void forget_peer(const endpoint& peer);

  /// Adds an object read from or written to the store. Returns true if it is newer than the version
  /// held; peers are then notified at the next tick.
  bool put(versioned_object object, time_point now);

  /// Handles a message from `from`.
  spread_output handle(const endpoint& from, const spread_message& message, time_point now);

  /// Runs the work that is due: notices, digests, retried pulls, and responses delayed by the
  /// budget.
  spread_output tick(time_point now);

  /// Pulls a newer version of the object from `from` at once; `from` need not be a chosen peer.
  spread_output pull_from(const endpoint& from, std::string_view name, time_point now);

  /// Returns the time of the next call to `tick`.
  [[nodiscard]] time_point next_wake(time_point now) const;

  /// Returns the object held under `name`, or nothing (also if it was deleted).
  [[nodiscard]] std::optional<versioned_object> find(std::string_view name) const;

  /// Returns the version held under `name`, including deletions; zero if unknown.
  [[nodiscard]] std::uint64_t version(std::string_view name) const {
    return version_of(object_key_of(name));
  }

  /// Returns the combined hash of all live objects and their versions.
  [[nodiscard]] std::uint64_t root_hash() const { return root_hash_; }

  /// Returns the number of live objects.
  [[nodiscard]] std::size_t size() const { return objects_.size() - tombstones_.size(); }

  /// Returns the peers with which this agent exchanges notices.
  [[nodiscard]] std::vector<endpoint> neighbours() const;

  [[nodiscard]] const spread_counters& counters() const { return counters_; }

 private:
  static constexpr std::uint32_t tree_fan = 32;
  static constexpr std::uint32_t leaf_count = tree_fan * tree_fan;

  struct held_object {
    versioned_object object;
    std::vector<value_patch> patches;  ///< Patches from earlier versions, oldest first.
  };
  struct neighbour {
    bool chosen = false;  ///< True if chosen by this agent, false if the peer chose this agent.
    bool remote = false;
    time_point last_contact;
    time_point next_digest;
    std::map<object_key, std::uint64_t> pending;  ///< Versions still to announce to the peer.
  };
  struct missing_object {
    std::uint64_t version = 0;
    std::vector<endpoint> holders;
    std::size_t next_holder = 0;
    std::uint32_t attempts = 0;
    bool whole = false;  ///< A patch did not match; request the whole value.
    std::optional<time_point> requested_at;
    std::string received;  ///< Received prefix of the value of `received_version`.
    std::uint64_t received_version = 0;
  };
  using pull_id = std::pair<endpoint, object_key>;  ///< The requester and the requested object.
  struct tombstone {
    time_point since;
    object_key key = 0;
  };

  std::uint64_t draw();
  void refill(time_point now);
  void send(const endpoint& to, spread_message message, spread_output& out);
  void record_contact(const endpoint& from, time_point now);

  void receive(const endpoint& from, const spread_notice& notice, time_point now,
               spread_output& out);
  void receive(const endpoint& from, const spread_pull& pull, time_point now, spread_output& out);
  void receive(const endpoint& from, const spread_objects& objects, time_point now,
               spread_output& out);
  void receive(const endpoint& from, const spread_digest& digest, time_point now,
               spread_output& out);

  [[nodiscard]] std::uint64_t version_of(object_key key) const;
  bool adopt(versioned_object object, std::vector<value_patch> patches, time_point now);
  std::vector<value_patch> patches_towards(const held_object& held,
                                           const versioned_object& next) const;
  void count_in_digest(const versioned_object& object);
  void purge_tombstones(time_point now);

  void add_missing(object_key key, std::uint64_t version, const endpoint& holder);
  void send_pulls(time_point now, spread_output& out);
  void expire_pulls(time_point now);
  void handle_part(const endpoint& from, const object_part& part, time_point now,
                   spread_output& out);
  std::optional<versioned_object> patched(const object_part& part) const;
  std::optional<versioned_object> assembled(const endpoint& from, const object_part& part,
                                            time_point now, spread_output& out);
  void answer_pulls(spread_output& out);
  [[nodiscard]] std::optional<object_part> part_for(const pull_item& item) const;

  void notify(spread_output& out);
  void send_digests(time_point now, spread_output& out);
  [[nodiscard]] std::vector<digest_node> digest_below(
      std::uint32_t depth, const std::vector<std::uint32_t>& parents) const;
  [[nodiscard]] std::uint64_t digest_at(std::uint32_t depth, std::uint32_t index) const;
  spread_notice leaves_notice(std::vector<std::uint32_t> leaves);

  void choose_peers(time_point now);
  void drop_unresponsive_peers(time_point now);
  void index_peers();
  [[nodiscard]] bool is_relay() const;
  void choose_in(const std::string& region, bool remote, time_point now);

  spread_settings settings_;
  std::uint64_t random_state_;
  double tokens_ = 0;
  std::optional<time_point> refilled_;

  /// Ordered, so that each leaf is a contiguous range.
  std::map<object_key, held_object> objects_;
  std::array<std::uint64_t, leaf_count> leaf_hashes_{};
  std::uint64_t root_hash_ = 0;
  std::deque<tombstone> tombstones_;
  std::uint64_t purged_version_ = 0;  ///< The newest deletion among the purged tombstones.

  std::map<std::string, std::vector<spread_peer>> peers_by_source_;
  std::map<std::string, std::vector<endpoint>> peers_by_region_;
  bool peers_changed_ = false;
  std::map<endpoint, neighbour> neighbours_;

  std::map<object_key, missing_object> missing_;
  std::deque<object_key> pull_queue_;
  std::map<object_key, time_point> in_flight_;
  std::deque<pull_id> answer_queue_;
  std::map<pull_id, pull_item> queued_pulls_;  ///< The newest pull of each id in the queue.
  spread_counters counters_;
};

}  // namespace masticshunt::ownership
