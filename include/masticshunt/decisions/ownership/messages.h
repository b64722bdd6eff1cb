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
/// ignore unknown fields, and drop and count messages of an unknown type.
inline constexpr std::uint32_t message_version = 1;

/// Identifies a group of ranges.
struct group_name {
  std::string service;
  std::uint32_t group = 0;

  auto operator<=>(const group_name&) const = default;
};

/// Asks the coordinator of a group to add the sender as a member.
struct join_request {
  group_name group;
  agent_description agent;

  bool operator==(const join_request&) const = default;
};

/// Requests the page of a group if it is newer than the sender's.
struct page_request {
  group_name group;
  std::uint64_t sequence = 0;  ///< Of the page that the sender holds.

  bool operator==(const page_request&) const = default;
};

/// Carries a page as it is stored.
struct page_update {
  assignment_page page;

  bool operator==(const page_update&) const = default;
};

/// States that the sender's support for a withdrawn renewer ends after `ends_in`.
struct support_end {
  std::uint64_t appointment = 0;  ///< The withdrawn renewer.
  duration ends_in{};

  bool operator==(const support_end&) const = default;
};

/// Acknowledges a page, with the end of support for the renewers withdrawn in it.
struct page_ack {
  group_name group;
  std::uint64_t sequence = 0;
  std::uint64_t appointment = 0;              ///< The sender's.
  std::vector<support_end> supports;          ///< Support by the sender that ends.
  std::optional<duration> own_grants_end_in;  ///< Set if the sender itself is withdrawn.

  bool operator==(const page_ack&) const = default;
};

/// Asks a renewer to renew all leases of an owner.
struct renew_request {
  group_name group;
  agent_id owner;
  std::uint64_t request = 0;
  std::uint64_t sequence = 0;         ///< Of the page that the owner holds.
  bool leaving = false;               ///< The owner is draining and takes no more ranges.
  std::vector<fence_token> released;  ///< Tokens that the owner will never use again.
  std::uint64_t config_digest = 0;
  std::uint64_t config_revision = 0;
  std::uint32_t schema_version_max = 1;
  double busy_slots = 0;
  bool reads_whole_grants = false;  ///< The owner understands `renew_reply::whole`.

  bool operator==(const renew_request&) const = default;
};

/// Grants leases over ranges, counted from the time at which the owner sent the request.
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

/// Asks an owner to drain ranges and to release them.
struct release_request {
  group_name group;
  std::vector<fence_token> tokens;

  bool operator==(const release_request&) const = default;
};

/// Asks another renewer for support; also the heartbeat between renewers.
struct support_request {
  group_name group;
  std::uint64_t appointment = 0;  ///< The sender's.
  std::uint64_t request = 0;
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;      ///< Of the page that the sender holds.
  std::uint64_t next_stop = 0;  ///< Of a coordinator: the number of its next stop request.
  std::vector<std::uint64_t> active_stops;  ///< Stop requests below it that are still active.

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

/// Asks a renewer to stop renewing an owner, or revokes the request.
struct stop_request {
  group_name group;
  std::uint64_t epoch = 0;        ///< The coordinator's.
  std::uint64_t number = 0;       ///< Increases within the epoch; a lower pair is stale.
  std::uint64_t sequence = 0;     ///< Page held by the coordinator; the renewer must hold it too.
  std::uint64_t appointment = 0;  ///< Of the addressed renewer.
  agent_id owner;
  std::uint64_t up_to = 0;  ///< Applies to tokens with a sequence up to this one.
  bool active = true;       ///< False revokes the request.

  bool operator==(const stop_request&) const = default;
};

/// Confirms that the sender has stopped renewing an owner.
struct stop_reply {
  group_name group;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  std::uint64_t appointment = 0;  ///< The sender's.
  agent_id owner;
  duration ends_in{};                 ///< Until the last grant ends.
  std::optional<duration> heard_ago;  ///< Since the sender's last contact with the owner.

  bool operator==(const stop_reply&) const = default;
};

/// One configuration record as it is stored; an empty value marks a deletion.
struct stored_record {
  std::string name;
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const stored_record&) const = default;
};

/// Carries configuration records to agents that lack them.
struct records_update {
  std::uint64_t revision = 0;  ///< The newest revision that the sender has applied completely.
  bool complete = false;       ///< `records` holds all records up to `revision`.
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
/// unknown to this build).
std::optional<envelope> decode(std::string_view bytes, failure& reason);

}  // namespace masticshunt::ownership
