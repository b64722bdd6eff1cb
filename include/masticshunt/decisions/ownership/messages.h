/// @file
/// Control messages between agents and their CBOR form.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::ownership {

/// The version of the message envelope that this build writes. Readers accept any version,
/// ignore fields they do not know, and drop and count messages of a type they do not know.
inline constexpr std::uint32_t message_version = 1;

/// Asks the coordinator of a group to take the sender in as a member.
struct join_request {
  std::string service;
  std::uint32_t group = 0;
  agent_description agent;
};

/// A control message.
using message = std::variant<join_request>;

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
