/// @file
/// Control messages between agents and their CBOR form.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/spread_messages.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::ownership {

/// The version of the message envelope that this build writes. Readers accept any version,
/// ignore fields they do not know, and drop and count messages of a type they do not know.
inline constexpr std::uint32_t message_version = 1;

/// Names a group of ranges.
struct group_name {
  std::string service;
  std::uint32_t group = 0;

  auto operator<=>(const group_name&) const = default;
};

/// Asks the coordinator of a group to take the sender in as a member.
struct join_request {
  group_name group;
  agent_description agent;

  bool operator==(const join_request&) const = default;
};

/// Asks for the page of a group if it is newer than the sender's.
struct page_request {
  group_name group;
  std::uint64_t sequence = 0;  ///< Of the page that the sender holds.

  bool operator==(const page_request&) const = default;
};

/// Carries a page as the store holds it.
struct page_update {
  assignment_page page;

  bool operator==(const page_update&) const = default;
};

/// Says that a renewer's grants or supports are over after `ends_in`.
struct support_end {
  std::uint64_t appointment = 0;  ///< The renewer that is no longer supported.
  duration ends_in{};

  bool operator==(const support_end&) const = default;
};

/// A renewer's word that it holds a page, and what follows for the renewers withdrawn in it.
struct page_ack {
  group_name group;
  std::uint64_t sequence = 0;
  std::uint64_t appointment = 0;              ///< The sender's.
  std::vector<support_end> supports;          ///< Supports of the sender that are over.
  std::optional<duration> own_grants_end_in;  ///< Set if the sender itself is withdrawn.

  bool operator==(const page_ack&) const = default;
};

/// Asks a renewer to renew the leases of an owner; one message for all its ranges.
struct renew_request {
  group_name group;
  agent_id owner;
  std::uint64_t request = 0;
  std::uint64_t sequence = 0;         ///< Of the page that the owner holds.
  bool leaving = false;               ///< The owner takes no ranges any more.
  std::vector<fence_token> released;  ///< Tokens that the owner will never use again.
  std::uint64_t config_digest = 0;
  std::uint64_t config_revision = 0;
  std::uint32_t schema_version_max = 1;
  double busy_slots = 0;
  bool reads_whole_grants = false;  ///< The owner understands `renew_reply::whole`.

  bool operator==(const renew_request&) const = default;
};

/// Grants leases over ranges, counted from when the owner sent the request.
struct renew_reply {
  group_name group;
  agent_id owner;
  std::uint64_t request = 0;
  std::uint64_t sequence = 0;  ///< Of the page that the renewer holds.
  duration lease{};
  std::vector<range_assignment> granted;
  bool whole = false;  ///< Grants all ranges of the owner in page `sequence`; `granted` is empty.

  bool operator==(const renew_reply&) const = default;
};

/// Asks an owner to finish ranges and to release them.
struct release_request {
  group_name group;
  std::vector<fence_token> tokens;

  bool operator==(const release_request&) const = default;
};

/// Asks another renewer for support; doubles as the heartbeat between renewers.
struct support_request {
  group_name group;
  std::uint64_t appointment = 0;  ///< The sender's.
  std::uint64_t request = 0;
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;                  ///< Of the page that the sender holds.
  std::uint64_t next_stop = 0;              ///< If the sender is the coordinator: its next demand.
  std::vector<std::uint64_t> active_stops;  ///< Demands below it that still stand.

  bool operator==(const support_request&) const = default;
};

/// Answers a support request.
struct support_reply {
  group_name group;
  std::uint64_t appointment = 0;  ///< The supported renewer's.
  std::uint64_t supporter = 0;    ///< The sender's appointment.
  std::uint64_t request = 0;
  std::uint64_t sequence = 0;
  bool supported = false;

  bool operator==(const support_reply&) const = default;
};

/// Asks a renewer to stop renewing an owner, or takes the demand back.
struct stop_request {
  group_name group;
  std::uint64_t epoch = 0;        ///< The coordinator's.
  std::uint64_t number = 0;       ///< Rises within the epoch; a lower pair is stale.
  std::uint64_t sequence = 0;     ///< Of the page that the coordinator holds; the renewer must too.
  std::uint64_t appointment = 0;  ///< Of the renewer that is asked.
  agent_id owner;
  std::uint64_t up_to = 0;  ///< Tokens with a sequence up to this one are meant.
  bool active = true;       ///< False takes the demand back.

  bool operator==(const stop_request&) const = default;
};

/// A renewer's word that it has stopped renewing an owner.
struct stop_reply {
  group_name group;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  std::uint64_t appointment = 0;  ///< The sender's.
  agent_id owner;
  duration ends_in{};                 ///< Until the last grant ends.
  std::optional<duration> heard_ago;  ///< Since the owner was last heard by the sender.

  bool operator==(const stop_reply&) const = default;
};

/// One configuration record as the store holds it; an empty value says that it was deleted.
struct stored_record {
  std::string name;
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const stored_record&) const = default;
};

/// Carries configuration records to agents that lack them.
struct records_update {
  std::uint64_t revision = 0;  ///< The store's revision that the sender knows completely.
  bool complete = false;       ///< `records` holds everything up to `revision`.
  std::vector<stored_record> records;

  bool operator==(const records_update&) const = default;
};

/// A control message.
using message =
    std::variant<spread_notice, spread_pull, spread_objects, spread_digest, join_request,
                 page_request, page_update, page_ack, renew_request, renew_reply, release_request,
                 support_request, support_reply, stop_request, stop_reply, records_update>;

/// Returns the CBOR form of `body` with its envelope. `from` is the sender's control endpoint.
std::string encode(const message& body, const endpoint& from);

/// A decoded message with its sender.
struct envelope {
  endpoint from;
  message body;
};

/// Returns the message in `bytes`, or nothing with `reason` filled (kind `unsupported` for a type
/// that this build does not know).
std::optional<envelope> decode(std::string_view bytes, failure& reason);

}  // namespace masticshunt::ownership
