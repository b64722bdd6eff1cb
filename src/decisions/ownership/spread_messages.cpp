#include "masticshunt/decisions/ownership/spread_messages.h"

#include <nlohmann/json.hpp>
#include <numeric>

#include "masticshunt/base/identity.h"

namespace masticshunt::ownership {

namespace {

using nlohmann::json;

constexpr std::size_t message_overhead_bytes = 120;
constexpr std::size_t entry_bytes = 20;
constexpr std::size_t part_overhead_bytes = 48;

json binary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string text_of_binary(const json& in, const char* field) {
  const auto found = in.find(field);
  if (found == in.end()) return {};
  const auto& bytes = found->get_binary();
  return {bytes.begin(), bytes.end()};
}

template <class Value>
std::vector<Value> list(const json& in, const char* field) {
  const auto found = in.find(field);
  return found == in.end() ? std::vector<Value>{} : found->get<std::vector<Value>>();
}

std::size_t bytes_of(const object_part& part) {
  std::size_t bytes = part_overhead_bytes + part.name.size() + part.bytes.size();
  for (const auto& patch : part.patches) bytes += part_overhead_bytes + patch.steps.size();
  return bytes;
}

std::size_t body_bytes(const spread_notice& message) {
  return message.entries.size() * entry_bytes + message.whole_leaves.size() * 3;
}
std::size_t body_bytes(const spread_pull& message) {
  return message.items.size() * 2 * entry_bytes;
}
std::size_t body_bytes(const spread_digest& message) {
  return message.nodes.size() * entry_bytes;
}
std::size_t body_bytes(const spread_objects& message) {
  return std::accumulate(
      message.parts.begin(), message.parts.end(), std::size_t{0},
      [](std::size_t sum, const object_part& part) { return sum + bytes_of(part); });
}

}  // namespace

object_key object_key_of(std::string_view name) {
  return hash_of_key(name);
}

std::size_t wire_bytes(const spread_message& message) {
  return message_overhead_bytes +
         std::visit([](const auto& body) { return body_bytes(body); }, message);
}

// Version entries, pull items and digest nodes are encoded as arrays, not objects: they make up
// most of the control traffic.

void to_json(json& out, const version_entry& value) {
  out = json::array({value.key, value.version});
}
void from_json(const json& in, version_entry& value) {
  value = {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
}

void to_json(json& out, const pull_item& value) {
  out = json::array({value.key, value.have_version, value.offset, value.part_of});
}
void from_json(const json& in, pull_item& value) {
  value = {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>(),
           in.at(2).get<std::uint64_t>(), in.at(3).get<std::uint64_t>()};
}

void to_json(json& out, const digest_node& value) {
  out = json::array({value.index, value.hash});
}
void from_json(const json& in, digest_node& value) {
  value = {in.at(0).get<std::uint32_t>(), in.at(1).get<std::uint64_t>()};
}

void to_json(json& out, const value_patch& value) {
  out = json{{"f", value.from_version},
             {"t", value.to_version},
             {"h", value.result_hash},
             {"s", binary(value.steps)}};
}
void from_json(const json& in, value_patch& value) {
  value.from_version = in.value("f", std::uint64_t{0});
  value.to_version = in.value("t", std::uint64_t{0});
  value.result_hash = in.value("h", std::uint64_t{0});
  value.steps = text_of_binary(in, "s");
}

void to_json(json& out, const object_part& value) {
  out = json{{"n", value.name}, {"v", value.version}};
  if (value.deleted) out["x"] = true;
  if (value.total_bytes != 0) out["l"] = value.total_bytes;
  if (value.offset != 0) out["o"] = value.offset;
  if (!value.bytes.empty()) out["b"] = binary(value.bytes);
  if (!value.patches.empty()) out["p"] = value.patches;
}
void from_json(const json& in, object_part& value) {
  value.name = in.value("n", std::string{});
  value.version = in.value("v", std::uint64_t{0});
  value.deleted = in.value("x", false);
  value.total_bytes = in.value("l", std::uint64_t{0});
  value.offset = in.value("o", std::uint64_t{0});
  value.bytes = text_of_binary(in, "b");
  value.patches = list<value_patch>(in, "p");
}

void to_json(json& out, const spread_notice& value) {
  out = json{{"e", value.entries}};
  if (!value.whole_leaves.empty()) out["w"] = value.whole_leaves;
}
void from_json(const json& in, spread_notice& value) {
  value.entries = list<version_entry>(in, "e");
  value.whole_leaves = list<std::uint32_t>(in, "w");
}

void to_json(json& out, const spread_pull& value) {
  out = json{{"i", value.items}};
}
void from_json(const json& in, spread_pull& value) {
  value.items = list<pull_item>(in, "i");
}

void to_json(json& out, const spread_objects& value) {
  out = json{{"o", value.parts}};
}
void from_json(const json& in, spread_objects& value) {
  value.parts = list<object_part>(in, "o");
}

void to_json(json& out, const spread_digest& value) {
  out = json{{"d", value.depth}, {"n", value.nodes}};
  if (value.in_sync) out["s"] = true;
}
void from_json(const json& in, spread_digest& value) {
  value.depth = in.value("d", std::uint32_t{0});
  value.nodes = list<digest_node>(in, "n");
  value.in_sync = in.value("s", false);
}

}  // namespace masticshunt::ownership
