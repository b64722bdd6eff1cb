/// @file
/// Agent identifiers, positions and ranges in the key space, and fencing tokens.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticshunt {

/// One incarnation of an agent. A restarted agent keeps its name and has a higher incarnation.
struct agent_id {
  std::string name;
  std::uint64_t incarnation = 0;

  auto operator<=>(const agent_id&) const = default;
};

/// An IP address and a port in text form, such as "10.0.3.7:7400".
using endpoint = std::string;

/// The position of a key in its service's key space: the xxHash64 of the key's bytes.
using key_hash = std::uint64_t;

/// An inclusive range of one service's key space.
struct hash_range {
  key_hash first = 0;
  key_hash last = 0;

  auto operator<=>(const hash_range&) const = default;

  /// Returns true if `hash` lies in the range.
  [[nodiscard]] bool contains(key_hash hash) const { return first <= hash && hash <= last; }
};

/// A fencing token: orders the successive owners of a range. A server that checks tokens refuses
/// requests with a lower one than it has seen.
struct fence_token {
  std::uint64_t epoch = 0;     ///< The coordinator's epoch when the owner was assigned.
  std::uint64_t sequence = 0;  ///< Counts owner changes within the page.

  auto operator<=>(const fence_token&) const = default;
};

/// Returns the position of `key` in its service's key space.
key_hash hash_of_key(std::string_view key);

/// Returns "name/incarnation", the form used in logs and dumps.
std::string to_string(const agent_id& id);

/// Returns "epoch.sequence", the form sent to upstreams in the Masticshunt-Fence header.
std::string to_string(const fence_token& token);

/// Parses a token in the form "epoch.sequence". Returns nothing if `text` is malformed.
std::optional<fence_token> fence_from_text(std::string_view text);

}  // namespace masticshunt
