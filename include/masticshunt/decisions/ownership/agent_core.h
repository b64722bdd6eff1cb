/// @file
/// The decisions of one agent about membership, ownership and configuration.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"
#include "masticshunt/decisions/ownership/messages.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::ownership {

/// An object of the platform's store.
struct store_object {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

/// Names one store call of this agent, so that its answer finds the right place.
using store_call_id = std::uint64_t;

/// @name Events: what happened outside.
/// @{

/// The process has started. The first event that a core receives.
struct started {};
/// The moment asked for by `wake_at` has come, or any later one.
struct timer_fired {};
/// A control message arrived from a peer.
struct message_received {
  endpoint from;  ///< The sender's control endpoint, as the message's envelope states it.
  message body;
};
/// A store read ended. `object` is empty with `reason.kind == not_found` if there is no object.
struct store_read_done {
  store_call_id call = 0;
  std::optional<store_object> object;
  failure reason;
};
/// A conditional write ended. `version` is set if the write took effect, also when that became
/// known only by reading back. On `conflict`, `current` holds the winner if it is known.
struct store_write_done {
  store_call_id call = 0;
  std::optional<std::uint64_t> version;
  std::optional<store_object> current;
  failure reason;
};
/// A list or a watch of a prefix ended. `revision` is the store's revision of the answer.
struct store_list_done {
  store_call_id call = 0;
  std::optional<std::vector<store_object>> objects;
  std::uint64_t revision = 0;
  failure reason;
};
/// The upstream beside this agent announced itself, or changed what it announced.
struct upstream_announced {
  upstream_description upstream;
};
/// The upstream beside this agent is gone: it said so, or its health or connections prove it.
struct upstream_lost {
  std::string reason;
};
/// Load seen at the gate since the last report; feeds placement.
struct load_observed {
  double busy_slots = 0;           ///< Mean slots in use.
  std::vector<key_hash> hot_keys;  ///< Keys over their share, hottest first.
  std::vector<double> range_load;  ///< Load by owned range, in the order of the page.
};
/// The process was asked to stop: hand over, finish what is in flight, then `stopped`.
struct stop_requested {};
/// All requests in flight on a range that was told to finish have ended.
struct range_idle {
  hash_range range;
};

using event = std::variant<started, timer_fired, message_received, store_read_done,
                           store_write_done, store_list_done, upstream_announced, upstream_lost,
                           load_observed, stop_requested, range_idle>;
/// @}

/// @name Actions: what the shell is to do.
/// @{

/// Sends a control message. Delivery is not certain.
struct send_message {
  endpoint to;
  message body;
};
/// Reads one object; answered by `store_read_done`.
struct store_read {
  store_call_id call = 0;
  std::string name;
};
/// Writes one object if its version is `expected_version` (0: if it does not exist).
struct store_write {
  store_call_id call = 0;
  std::string name;
  std::uint64_t expected_version = 0;
  std::string value;
};
/// Lists a prefix; with `after_revision`, waits until something under it is newer.
struct store_list {
  store_call_id call = 0;
  std::string prefix;
  std::optional<std::uint64_t> after_revision;
};
/// Asks for `timer_fired` at `when`. A later `wake_at` replaces an earlier one.
struct wake_at {
  time_point when;
};
/// A configuration record is in force here now (`object.value`), or was deleted (empty value).
struct record_in_force {
  store_object object;
};
/// Nothing new may start on `range`; report `range_idle` when what is in flight has ended.
struct finish_range {
  std::string service;
  hash_range range;
};
/// The agent has handed over all it owned; the process may end.
struct stopped {};
/// Something an operator may want to know.
struct log_event {
  std::string text;
};

using action = std::variant<send_message, store_read, store_write, store_list, wake_at,
                            record_in_force, finish_range, stopped, log_event>;
using actions = std::vector<action>;
/// @}

/// The answer to "who owns this key?", from this agent's routing table.
struct route_answer {
  agent_description owner;
  fence_token token;
  bool is_self = false;
};

/// Permission to start one request here and now.
struct admission_ticket {
  hash_range range;
  fence_token token;
  time_point lease_end;    ///< Nothing may be started, and no upstream may run, past this point.
  time_point owned_since;  ///< When this agent began to own the range without a gap.
};

/// Breaks single rules on purpose, so that tests can show that the invariants would notice.
/// All false in production.
struct fault_injection {
  bool margin_removed = false;               ///< Leases end without a margin.
  bool drift_ignored = false;                ///< Durations are not corrected for clock drift.
  bool lease_from_reply = false;             ///< A lease counts from the reply, not the request.
  bool stop_commitment_ignored = false;      ///< A renewer goes on after it promised to stop.
  bool stop_replies_not_awaited = false;     ///< Owners change without other renewers' words.
  bool grant_end_not_awaited = false;        ///< Owners change before their grants have ended.
  bool withdrawn_supporter_counted = false;  ///< Supports of withdrawn renewers still count.
  bool stop_accepted_without_page =
      false;  ///< A renewer promises about a page that it does not hold yet.
  bool newer_tokens_not_checked = false;  ///< Words about old tokens are taken for newer ones too.
  bool grantor_lease_unchecked = false;   ///< Renewers renew without any support.
  bool incarnation_ignored = false;       ///< A restarted owner is taken for the old one.
  bool epoch_unchecked = false;           ///< Old pages replace newer ones.
  bool conflict_overwritten = false;      ///< A refused page write is forced over the winner.
  bool lease_end_unchecked = false;       ///< A lease goes on after its end.
  bool records_revert = false;            ///< Older records replace newer ones.
  bool drain_ignored = false;             ///< A drained owner goes on.
};

/// What an agent needs to know before it starts.
struct core_settings {
  agent_description self;
  lease_timing timing;
  std::vector<std::string> services;   ///< Services this agent may be asked to route; empty: all.
  std::uint64_t seed = 0;              ///< Drives every choice that is to be spread evenly.
  std::uint32_t expected_members = 6;  ///< Of a new group; sets how many ranges it starts with.
  fault_injection faults;
};

/// Decides everything about membership, ownership and configuration for one agent.
///
/// Life cycle: construct, feed `started`, then every event as it happens; carry out the returned
/// actions in order. `route`, `admit` and the dump may be asked at any time in between.
/// Thread safety: none. The shell holds its `core` lock around every call.
///
///     agent_core core(settings);
///     for (const auto& step : core.handle(started{}, now)) perform(step);
class agent_core {
 public:
  explicit agent_core(core_settings settings);
  ~agent_core();
  agent_core(agent_core&&) noexcept;
  agent_core& operator=(agent_core&&) noexcept;
  agent_core(const agent_core&) = delete;
  agent_core& operator=(const agent_core&) = delete;

  /// Takes in one event and returns what is to be done, in order.
  actions handle(const event& what, time_point now);

  /// Returns the owner of `hash` in `service` as far as this agent knows, or nothing.
  [[nodiscard]] std::optional<route_answer> route(std::string_view service, key_hash hash) const;

  /// Returns a ticket if this agent holds a lease over `hash` at `now`; nothing otherwise.
  /// A gap between this call and the last event that is longer than `pause_limit` revokes all
  /// leases until they are renewed.
  [[nodiscard]] std::optional<admission_ticket> admit(std::string_view service, key_hash hash,
                                                      time_point now);

  /// Returns true while the agent may take new requests of callers (not drained, not stopping).
  [[nodiscard]] bool accepts_callers() const;

  /// Returns the state as a JSON text, for `masticshunt dump`.
  [[nodiscard]] std::string dump(time_point now) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::ownership
