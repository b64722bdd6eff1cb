/// @file
/// Gossip messages that disseminate versioned objects among agents, and their JSON form.
///
/// Objects are identified by the hash of their name (`object_key`), which keeps notices small.
/// Every message is smaller than 64 KiB. Unknown fields are ignored; missing fields take their
/// defaults.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticshunt::ownership {

/// The hash of an object's name.
using object_key = std::uint64_t;

/// Returns the key of the object named `name`.
object_key object_key_of(std::string_view name);

/// An object of the platform's store as it is disseminated among agents.
struct versioned_object {
  std::string name;
  std::uint64_t version = 0;
  std::string value;     ///< Empty if the object was deleted.
  bool deleted = false;  ///< The deletion is itself a version.

  bool operator==(const versioned_object&) const = default;
};

/// Identifies one version of an object.
struct version_entry {
  object_key key = 0;
  std::uint64_t version = 0;

  bool operator==(const version_entry&) const = default;
};

/// Announces versions held by the sender.
struct spread_notice {
  std::vector<version_entry> entries;
  /// Leaves of the digest tree whose whole content is in `entries`; the receiver responds with its
  /// objects of these leaves that are newer or absent there. Empty for a plain notice.
  std::vector<std::uint32_t> whole_leaves;

  bool operator==(const spread_notice&) const = default;
};

/// Requests one object.
struct pull_item {
  object_key key = 0;
  std::uint64_t have_version = 0;  ///< The version held by the requester; zero for none.
  std::uint64_t offset = 0;        ///< Bytes already received of `part_of`.
  std::uint64_t part_of = 0;       ///< The version that `offset` belongs to; zero at the start.

  bool operator==(const pull_item&) const = default;
};

/// Requests objects.
struct spread_pull {
  std::vector<pull_item> items;

  bool operator==(const spread_pull&) const = default;
};

/// The difference between the values of two successive versions.
struct value_patch {
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  std::uint64_t result_hash = 0;  ///< Hash of the resulting value.
  std::string steps;              ///< Copies and insertions; see spread_patch.h.

  bool operator==(const value_patch&) const = default;
};

/// An object, a part of its value, or the patches that produce it.
struct object_part {
  std::string name;
  std::uint64_t version = 0;
  bool deleted = false;
  std::uint64_t total_bytes = 0;     ///< Length of the whole value.
  std::uint64_t offset = 0;          ///< Position of `bytes` in the value.
  std::string bytes;                 ///< Empty if `patches` are given.
  std::vector<value_patch> patches;  ///< Oldest first, from the requester's version to `version`.

  bool operator==(const object_part&) const = default;
};

/// The response to a pull.
struct spread_objects {
  std::vector<object_part> parts;

  bool operator==(const spread_objects&) const = default;
};

/// One node of the digest tree: the combined hash of all versions below it.
struct digest_node {
  std::uint32_t index = 0;  ///< Among the nodes of its depth.
  std::uint64_t hash = 0;

  bool operator==(const digest_node&) const = default;
};

/// Compares the objects of two agents. Depth 0 is the root, depth 2 the leaves.
struct spread_digest {
  std::uint32_t depth = 0;
  std::vector<digest_node> nodes;
  bool in_sync = false;  ///< Response to a root hash equal to the receiver's.

  bool operator==(const spread_digest&) const = default;
};

/// A gossip message.
using spread_message = std::variant<spread_notice, spread_pull, spread_objects, spread_digest>;

/// Returns the approximate size of `message` on the wire, including transport headers.
std::size_t wire_bytes(const spread_message& message);

/// @name JSON forms, found by nlohmann::json.
/// @{
void to_json(nlohmann::json& out, const spread_notice& value);
void from_json(const nlohmann::json& in, spread_notice& value);
void to_json(nlohmann::json& out, const spread_pull& value);
void from_json(const nlohmann::json& in, spread_pull& value);
void to_json(nlohmann::json& out, const spread_objects& value);
void from_json(const nlohmann::json& in, spread_objects& value);
void to_json(nlohmann::json& out, const spread_digest& value);
void from_json(const nlohmann::json& in, spread_digest& value);
/// @}

}  // namespace masticshunt::ownership
