/// @file
/// The state machine of one agent for membership, ownership and configuration.
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

/// Identifies one store call of this agent; its response carries the same id.
using store_call_id = std::uint64_t;

/// @name Events: inputs of the state machine.
/// @{

/// The process has started; the first event of a core.
struct started {};
/// The time requested by `wake_at`, or a later time, has come.
struct timer_fired {};
/// A control message arrived from a peer.
struct message_received {
  endpoint from;  ///< The sender's control endpoint, as stated in the envelope.
  message body;
};
/// A store read completed. If there is no such object, `object` is empty and `reason.kind` is
/// `not_found`.
struct store_read_done {
  store_call_id call = 0;
  std::optional<store_object> object;
  failure reason;
};
/// A conditional write completed. `version` is set if the write took effect, even if this was found
/// out only by reading the object back. On `conflict`, `current` holds the stored object if known.
struct store_write_done {
  store_call_id call = 0;
  std::optional<std::uint64_t> version;
  std::optional<store_object> current;
  failure reason;
};
/// A list or a watch of a prefix completed. `revision` is the store's revision of the response.
struct store_list_done {
  store_call_id call = 0;
  std::optional<std::vector<store_object>> objects;
  std::uint64_t revision = 0;
  failure reason;
};
/// The local upstream registered, or changed its registration.
struct upstream_announced {
  upstream_description upstream;
};
/// The local upstream is gone: it deregistered, or its health checks or its connections failed.
struct upstream_lost {
  std::string reason;
};
/// Load measured at the gate since the last report; an input of placement.
struct load_observed {
  double busy_slots = 0;           ///< Mean number of slots in use.
  std::vector<key_hash> hot_keys;  ///< Keys above their share of the load, hottest first.
  std::vector<double> range_load;  ///< Load of each owned range, in the order of the page.
};
/// The process is to stop: hand over all ranges, drain requests in flight, then emit `stopped`.
struct stop_requested {};
/// All requests in flight on a range named by `finish_range` have ended.
struct range_idle {
  hash_range range;
};

using event = std::variant<started, timer_fired, message_received, store_read_done,
                           store_write_done, store_list_done, upstream_announced, upstream_lost,
                           load_observed, stop_requested, range_idle>;
/// @}

/// @name Actions: outputs of the state machine, carried out by the I/O layer.
/// @{

/// Sends a control message. Delivery is not guaranteed.
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
/// Lists a prefix; with `after_revision`, waits for a change newer than that revision.
struct store_list {
  store_call_id call = 0;
  std::string prefix;
  std::optional<std::uint64_t> after_revision;
};
/// Requests `timer_fired` at `when`. Each `wake_at` replaces the one before.
struct wake_at {
  time_point when;
};
/// A configuration record is in force from now on (`object.value`), or was deleted (empty value).
struct record_in_force {
  store_object object;
};
/// No new requests may start on `range`; report `range_idle` once those in flight have ended.
struct finish_range {
  std::string service;
  hash_range range;
};
/// The agent has handed over all ranges; the process may exit.
struct stopped {};
/// An event for the operator's log.
struct log_event {
  std::string text;
};

using action = std::variant<send_message, store_read, store_write, store_list, wake_at,
                            record_in_force, finish_range, stopped, log_event>;
using actions = std::vector<action>;
/// @}

/// The owner of a key, from this agent's routing table.
struct route_answer {
  agent_description owner;
  fence_token token;
  bool is_self = false;
};

/// Permission to start one request at this agent now.
struct admission_ticket {
  hash_range range;
  fence_token token;
  time_point lease_end;    ///< No request may start, and no upstream may run, after this time.
  time_point owned_since;  ///< Start of this agent's uninterrupted ownership of the range.
};

/// Disables single safety rules, so that tests can show that the invariants detect each violation.
/// All false in production.
struct fault_injection {
  bool margin_removed = false;           ///< Leases end without a margin.
  bool drift_ignored = false;            ///< Durations are not corrected for clock drift.
  bool lease_from_reply = false;         ///< Leases count from the reply, not from the request.
  bool stop_commitment_ignored = false;  ///< Renewers go on after committing to stop.
  /// Owners change without the other renewers' stop replies.
  bool stop_replies_not_awaited = false;
  bool grant_end_not_awaited = false;        ///< Owners change before their grants have ended.
  bool withdrawn_supporter_counted = false;  ///< Support by withdrawn renewers still counts.
  /// Renewers commit to stop for a page they do not hold yet.
  bool stop_accepted_without_page = false;
  bool newer_tokens_not_checked = false;  ///< Stop replies for old tokens cover newer ones too.
  bool grantor_lease_unchecked = false;   ///< Renewers renew without any support.
  bool incarnation_ignored = false;   ///< A restarted owner is taken for its earlier incarnation.
  bool epoch_unchecked = false;       ///< Old pages replace newer ones.
  bool conflict_overwritten = false;  ///< A conflicting page write overwrites the committed one.
  bool lease_end_unchecked = false;   ///< Leases stay valid after their end.
  bool records_revert = false;        ///< Older records replace newer ones.
  bool drain_ignored = false;         ///< Drain orders have no effect.
};

/// Settings of an agent core.
struct core_settings {
  agent_description self;
  lease_timing timing;
  std::vector<std::string> services;   ///< Services that this agent routes; empty for all.
  std::uint64_t seed = 0;              ///< Seed of all randomised choices and jitter.
  std::uint32_t expected_members = 6;  ///< Of a new group; determines its initial number of ranges.
  fault_injection faults;
};

/// Decides membership, ownership and configuration for one agent.
///
/// Life cycle: construct, pass `started`, then each event as it occurs; carry out the returned
/// actions in order. `route`, `admit` and `dump` may be called at any time in between.
/// Thread safety: none. The I/O layer holds its `core` lock around every call.
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

  /// Handles one event and returns the actions to carry out, in order.
  actions handle(const event& input, time_point now);

  /// Returns the owner of `hash` in `service` from the cached pages, or nothing if unknown.
  [[nodiscard]] std::optional<route_answer> route(std::string_view service, key_hash hash) const;

  /// Returns a ticket if this agent holds a lease over `hash` at `now`, otherwise nothing.
  /// If more than `pause_limit` has passed since the last event, all leases are revoked until they
  /// are renewed.
  [[nodiscard]] std::optional<admission_ticket> admit(std::string_view service, key_hash hash,
                                                      time_point now);

  /// Returns true while the agent accepts new requests of callers (not drained, not stopping).
  [[nodiscard]] bool accepts_callers() const;

  /// Returns the state as JSON, for `masticshunt dump`.
  [[nodiscard]] std::string dump(time_point now) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::ownership
