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
  const auto place = in.find(field);
  if (place == in.end()) return {};
  const auto& bytes = place->get_binary();
  return {bytes.begin(), bytes.end()};
}

template <class Value>
std::vector<Value> list(const json& in, const char* field) {
  const auto place = in.find(field);
  return place == in.end() ? std::vector<Value>{} : place->get<std::vector<Value>>();
}

std::size_t bytes_of(const object_part& part) {
  std::size_t bytes = part_overhead_bytes + part.name.size() + part.bytes.size();
  for (const auto& patch : part.patches) bytes += part_overhead_bytes + patch.steps.size();
  return bytes;
}

std::size_t body_bytes(const spread_notice& what) {
  return what.entries.size() * entry_bytes + what.whole_leaves.size() * 3;
}
std::size_t body_bytes(const spread_pull& what) {
  return what.items.size() * 2 * entry_bytes;
}
std::size_t body_bytes(const spread_digest& what) {
  return what.nodes.size() * entry_bytes;
}
std::size_t body_bytes(const spread_objects& what) {
  return std::accumulate(
      what.parts.begin(), what.parts.end(), std::size_t{0},
      [](std::size_t sum, const object_part& part) { return sum + bytes_of(part); });
}

}  // namespace

object_key object_key_of(std::string_view name) {
  return hash_of_key(name);
}

std::size_t wire_bytes(const spread_message& what) {
  return message_overhead_bytes +
         std::visit([](const auto& body) { return body_bytes(body); }, what);
}

// Entries are arrays, not objects: they make up most of the control traffic.

void to_json(json& out, const version_entry& what) {
  out = json::array({what.key, what.version});
}
void from_json(const json& in, version_entry& what) {
  what = {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
}

void to_json(json& out, const pull_item& what) {
  out = json::array({what.key, what.have_version, what.offset, what.part_of});
}
void from_json(const json& in, pull_item& what) {
  what = {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>(),
          in.at(2).get<std::uint64_t>(), in.at(3).get<std::uint64_t>()};
}

void to_json(json& out, const digest_node& what) {
  out = json::array({what.index, what.hash});
}
void from_json(const json& in, digest_node& what) {
  what = {in.at(0).get<std::uint32_t>(), in.at(1).get<std::uint64_t>()};
}

void to_json(json& out, const value_patch& what) {
  out = json{{"f", what.from_version},
             {"t", what.to_version},
             {"h", what.result_hash},
             {"s", binary(what.steps)}};
}
void from_json(const json& in, value_patch& what) {
  what.from_version = in.value("f", std::uint64_t{0});
  what.to_version = in.value("t", std::uint64_t{0});
  what.result_hash = in.value("h", std::uint64_t{0});
  what.steps = text_of_binary(in, "s");
}

void to_json(json& out, const object_part& what) {
  out = json{{"n", what.name}, {"v", what.version}};
  if (what.deleted) out["x"] = true;
  if (what.total_bytes != 0) out["l"] = what.total_bytes;
  if (what.offset != 0) out["o"] = what.offset;
  if (!what.bytes.empty()) out["b"] = binary(what.bytes);
  if (!what.patches.empty()) out["p"] = what.patches;
}
void from_json(const json& in, object_part& what) {
  what.name = in.value("n", std::string{});
  what.version = in.value("v", std::uint64_t{0});
  what.deleted = in.value("x", false);
  what.total_bytes = in.value("l", std::uint64_t{0});
  what.offset = in.value("o", std::uint64_t{0});
  what.bytes = text_of_binary(in, "b");
  what.patches = list<value_patch>(in, "p");
}

void to_json(json& out, const spread_notice& what) {
  out = json{{"e", what.entries}};
  if (!what.whole_leaves.empty()) out["w"] = what.whole_leaves;
}
void from_json(const json& in, spread_notice& what) {
  what.entries = list<version_entry>(in, "e");
  what.whole_leaves = list<std::uint32_t>(in, "w");
}

void to_json(json& out, const spread_pull& what) {
  out = json{{"i", what.items}};
}
void from_json(const json& in, spread_pull& what) {
  what.items = list<pull_item>(in, "i");
}

void to_json(json& out, const spread_objects& what) {
  out = json{{"o", what.parts}};
}
void from_json(const json& in, spread_objects& what) {
  what.parts = list<object_part>(in, "o");
}

void to_json(json& out, const spread_digest& what) {
  out = json{{"d", what.depth}, {"n", what.nodes}};
  if (what.in_sync) out["s"] = true;
}
void from_json(const json& in, spread_digest& what) {
  what.depth = in.value("d", std::uint32_t{0});
  what.nodes = list<digest_node>(in, "n");
  what.in_sync = in.value("s", false);
}

}  // namespace masticshunt::ownership
