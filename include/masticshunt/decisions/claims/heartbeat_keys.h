/// @file
/// The keys in heartbeats of an upstream and in the answers to them.
#pragma once

#include <string>
#include <vector>

#include "masticshunt/decisions/claims/claim_map.h"

namespace masticshunt::claims {

/// Keys that an upstream holds, or on which it is still at work.
struct held_keys {
  key_range keys;
  std::uint64_t fence = 0;

  bool operator==(const held_keys&) const = default;
};

/// Keys that an upstream has released, with the state for their next owner.
struct freed_keys {
  key_range keys;
  std::string handover;

  bool operator==(const freed_keys&) const = default;
};

/// The keys that an upstream reports in a heartbeat.
struct reported_keys {
  std::vector<held_keys> held;
  std::vector<freed_keys> freed;  ///< Since its last heartbeat that was answered.

  bool operator==(const reported_keys&) const = default;

  /// Returns true if any key of `keys` is held, under any fence.
  [[nodiscard]] bool holds_any(const key_range& keys) const;
  /// Returns true if every key of `keys` is held under `fence`.
  [[nodiscard]] bool holds_all(const key_range& keys, std::uint64_t fence) const;
};

/// Keys granted in the answer to a heartbeat.
struct granted_keys {
  key_range keys;
  std::uint64_t fence = 0;
  std::string handover;  ///< Empty: the upstream has the keys' state already, or none exists.

  bool operator==(const granted_keys&) const = default;
};

/// The answer to a heartbeat: all keys that the upstream is to hold. It releases every other key.
struct heartbeat_answer {
  std::vector<granted_keys> keys;
  std::chrono::milliseconds hold{};  ///< Runs from when the upstream sent the heartbeat.

  bool operator==(const heartbeat_answer&) const = default;
};

}  // namespace masticshunt::claims
