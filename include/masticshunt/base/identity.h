/// @file
/// Names of agents, places in the key space, and the token that fences an owner.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticshunt {

/// One life of one agent. A restarted agent keeps its name and takes a higher incarnation.
struct agent_id {
  std::string name;
  std::uint64_t incarnation = 0;

  auto operator<=>(const agent_id&) const = default;
};

/// An IP number and a port, as text: "10.0.3.7:7400".
using endpoint = std::string;

/// The place of a key in its service's key space: the xxHash64 of the key's bytes.
using key_hash = std::uint64_t;

/// An inclusive stretch of one service's key space.
struct hash_range {
  key_hash first = 0;
  key_hash last = 0;

  auto operator<=>(const hash_range&) const = default;

  /// Returns true if `hash` lies in the range.
  [[nodiscard]] bool contains(key_hash hash) const { return first <= hash && hash <= last; }
};

/// Orders the owners that a range has had. A server that checks fences refuses lower tokens.
struct fence_token {
  std::uint64_t epoch = 0;     ///< The coordinator's epoch when the owner was assigned.
  std::uint64_t sequence = 0;  ///< Counts owner changes within the page.

  auto operator<=>(const fence_token&) const = default;
};

/// Returns the place of `key` in its service's key space.
key_hash hash_of_key(std::string_view key);

/// Returns "name/incarnation", for logs and dumps.
std::string to_string(const agent_id& id);

/// Returns "epoch.sequence", as sent to upstreams in the fence header.
std::string to_string(const fence_token& token);

/// Returns the token in "epoch.sequence", or nothing if `text` is not one.
std::optional<fence_token> fence_from_text(std::string_view text);

}  // namespace masticshunt
