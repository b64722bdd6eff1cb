#include "masticshunt/decisions/claims/claim_map.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/claims/map_update.h"

namespace masticshunt::claims {

using nlohmann::json;

const claim* claim_map::find(shard_key key) const {
  const auto after =
      std::ranges::upper_bound(claims, key, {}, [](const claim& each) { return each.keys.first; });
  if (after == claims.begin()) return nullptr;
  const claim& found = *std::prev(after);
  return found.keys.contains(key) ? &found : nullptr;
}

bool claim_map::covers_all() const {
  std::uint64_t next = 0;
  for (const claim& each : claims) {
    if (each.keys.first != next || each.keys.last < each.keys.first) return false;
    next = std::uint64_t{each.keys.last} + 1;
  }
  return next == std::uint64_t{last_shard_key} + 1;
}

claim_map empty_map(std::string service) {
  claim_map map;
  map.service = std::move(service);
  map.claims.emplace_back();
  return map;
}

void split_at(std::vector<claim>& claims, const key_range& keys) {
  const auto split_before = [&claims](std::uint64_t border) {
    for (std::size_t i = 0; i < claims.size(); ++i) {
      if (claims[i].keys.first >= border || claims[i].keys.last < border) continue;
      claim upper = claims[i];
      upper.keys.first = static_cast<shard_key>(border);
      claims[i].keys.last = static_cast<shard_key>(border - 1);
      claims.insert(claims.begin() + static_cast<std::ptrdiff_t>(i) + 1, std::move(upper));
      return;
    }
  };
  split_before(keys.first);
  split_before(std::uint64_t{keys.last} + 1);
}

namespace {

std::int64_t microseconds_in(duration span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

json pack(const key_range& keys) {
  return json::array({keys.first, keys.last});
}
key_range unpack_range(const json& in) {
  return {in.at(0).get<shard_key>(), in.at(1).get<shard_key>()};
}
json pack(const upstream_incarnation& incarnation) {
  return json::array({incarnation.id, incarnation.start_ms});
}
upstream_incarnation unpack_incarnation(const json& in) {
  return {in.at(0).get<std::string>(), in.at(1).get<std::int64_t>()};
}
json pack(const holder_id& holder) {
  return json::array({holder.agent, holder.registration});
}
holder_id unpack_holder(const json& in) {
  return {in.at(0).get<std::string>(), in.at(1).get<std::uint64_t>()};
}

json pack(const claim& packed) {
  return json::array({packed.keys.first, packed.keys.last, packed.fence, packed.handover});
}
claim unpack_claim(const json& in, const json& holders) {
  claim unpacked{.keys = unpack_range(in),
                 .fence = in.at(2).get<std::uint64_t>(),
                 .handover = in.at(3).get<std::string>()};
  if (in.size() > 4) {
    const json& holder = holders.at(in.at(4).get<std::size_t>());
    unpacked.holder = unpack_holder(holder.at(0));
    unpacked.upstream = unpack_incarnation(holder.at(1));
  }
  return unpacked;
}

json pack(const claim_map& map) {
  // Each holder is written once; claims refer to it by index.
  json claims = json::array();
  std::vector<std::pair<holder_id, upstream_incarnation>> holders;
  for (const claim& each : map.claims) {
    claims.push_back(pack(each));
    if (each.holder.agent.empty()) continue;
    const auto holder = std::pair(each.holder, each.upstream);
    const auto found = std::ranges::find(holders, holder);
    claims.back().push_back(found - holders.begin());
    if (found == holders.end()) holders.push_back(holder);
  }
  json packed_holders = json::array();
  for (const auto& [holder, incarnation] : holders)
    packed_holders.push_back(json::array({pack(holder), pack(incarnation)}));
  json out{{"service", map.service},
           {"revision", map.revision},
           {"beat", map.write_counter},
           {"writer", map.writer},
           {"leader", map.leader},
           {"leader_address", map.leader_address},
           {"leader_life", map.leader_incarnation},
           {"earlier_leases_us", microseconds_in(map.earlier_leases)},
           {"next_fence", map.next_fence},
           {"holders", std::move(packed_holders)},
           {"claims", std::move(claims)}};
  if (map.earlier_era_leases > duration{})
    out["earlier_eras_us"] = microseconds_in(map.earlier_era_leases);
  return out;
}
claim_map unpack_map(const json& in) {
  claim_map map;
  map.service = in.at("service").get<std::string>();
  map.revision = in.at("revision").get<std::uint64_t>();
  map.write_counter = in.at("beat").get<std::uint64_t>();
  map.writer = in.at("writer").get<std::string>();
  map.leader = in.at("leader").get<std::string>();
  map.leader_address = in.at("leader_address").get<std::string>();
  map.leader_incarnation = in.at("leader_life").get<std::uint64_t>();
  map.earlier_leases = std::chrono::microseconds{in.value("earlier_leases_us", std::int64_t{0})};
  map.earlier_era_leases = std::chrono::microseconds{in.value("earlier_eras_us", std::int64_t{0})};
  map.next_fence = in.at("next_fence").get<std::uint64_t>();
  for (const json& each : in.at("claims"))
    map.claims.push_back(unpack_claim(each, in.at("holders")));
  return map;
}
claim_map unpack_complete_map(const json& in) {
  claim_map map = unpack_map(in);
  if (!map.covers_all()) throw std::out_of_range("claims do not cover every key once");
  return map;
}

json pack(const map_update& update) {
  json out = pack(update.map);
  if (update.since > 0) out["since"] = update.since;
  return out;
}
map_update unpack_update(const json& in) {
  const auto since = in.value("since", std::uint64_t{0});
  if (since == 0) return {.map = unpack_complete_map(in)};
  return {.since = since, .map = unpack_map(in)};
}

json pack(const std::vector<released_range>& ranges) {
  json out = json::array();
  for (const auto& each : ranges)
    out.push_back(json::array({pack(each.keys), each.fence, each.handover}));
  return out;
}
std::vector<released_range> unpack_released(const json& in) {
  std::vector<released_range> out;
  for (const json& each : in)
    out.push_back(
        {unpack_range(each.at(0)), each.at(1).get<std::uint64_t>(), each.at(2).get<std::string>()});
  return out;
}

void pack_earlier_era(const owner_report& report, json& out) {
  if (report.earlier_leader != 0) out["earlier_leader"] = report.earlier_leader;
  for (const auto& each : report.earlier)
    out["earlier"].push_back(json::array({pack(each.keys), each.fence}));
}
void unpack_earlier_era(const json& in, owner_report& report) {
  report.earlier_leader = in.value("earlier_leader", std::uint64_t{0});
  for (const json& each : in.value("earlier", json::array()))
    report.earlier.push_back({unpack_range(each.at(0)), each.at(1).get<std::uint64_t>()});
}

json pack(const owner_report& report) {
  json loads = json::array();
  for (const auto& each : report.loads) loads.push_back(json::array({pack(each.keys), each.slots}));
  json out{{"service", report.service},
           {"era", report.era},
           {"holder", pack(report.holder)},
           {"address", report.address},
           {"agent_life", report.agent_incarnation},
           {"upstream", pack(report.upstream)},
           {"accepting", report.accepting},
           {"restarting", report.restarting},
           {"relocating", report.relocating},
           {"slots", report.slots},
           {"service_us", microseconds_in(report.service_time)},
           {"map", report.map_revision},
           {"rejected", report.rejected_incarnation},
           {"right_left_us", microseconds_in(report.lease_remaining)},
           {"changes", report.takes_changes},
           {"released", pack(report.released)},
           {"loads", std::move(loads)}};
  pack_earlier_era(report, out);
  return out;
}
owner_report unpack_report(const json& in) {
  owner_report report;
  report.service = in.at("service").get<std::string>();
  report.era = in.value("era", store_era{0});
  report.holder = unpack_holder(in.at("holder"));
  report.address = in.at("address").get<std::string>();
  report.agent_incarnation = in.at("agent_life").get<std::uint64_t>();
  report.upstream = unpack_incarnation(in.at("upstream"));
  report.accepting = in.at("accepting").get<bool>();
  report.restarting = in.at("restarting").get<bool>();
  report.relocating = in.value("relocating", false);
  report.slots = in.at("slots").get<std::uint32_t>();
  report.service_time = std::chrono::microseconds{in.at("service_us").get<std::int64_t>()};
  report.map_revision = in.at("map").get<std::uint64_t>();
  report.rejected_incarnation = in.at("rejected").get<std::uint64_t>();
  report.lease_remaining = std::chrono::microseconds{in.at("right_left_us").get<std::int64_t>()};
  report.takes_changes = in.value("changes", false);
  report.released = unpack_released(in.at("released"));
  for (const json& each : in.at("loads"))
    report.loads.push_back({unpack_range(each.at(0)), each.at(1).get<double>()});
  unpack_earlier_era(in, report);
  return report;
}

json pack(const leader_reply& reply) {
  json out{{"right_us", microseconds_in(reply.lease)},
           {"is_leader", reply.is_leader},
           {"life", reply.leader_incarnation},
           {"to_release", pack(reply.to_release)}};
  if (reply.update) out["map"] = pack(*reply.update);
  return out;
}
leader_reply unpack_reply(const json& in) {
  leader_reply reply;
  reply.lease = std::chrono::microseconds{in.at("right_us").get<std::int64_t>()};
  reply.is_leader = in.at("is_leader").get<bool>();
  reply.leader_incarnation = in.at("life").get<std::uint64_t>();
  reply.to_release = unpack_released(in.at("to_release"));
  if (const auto map = in.find("map"); map != in.end()) reply.update = unpack_update(*map);
  return reply;
}

std::string cbor_text(const json& value) {
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

template <class Value, class Parse, class Unpack>
std::optional<Value> read(std::string_view object, failure& reason, Parse parse, Unpack unpack) {
  try {
    return unpack(parse());
  } catch (const std::exception& error) {
    reason = {failure_kind::bad_input, std::string(object) + " can't be read: " + error.what(),
              "check which version of masticshunt wrote it"};
    return std::nullopt;
  }
}

}  // namespace

std::string to_json_text(const claim_map& map) {
  return pack(map).dump();
}
std::optional<claim_map> map_from_json_text(std::string_view text, failure& reason) {
  return read<claim_map>(
      "claim map", reason, [&] { return json::parse(text); }, unpack_complete_map);
}
std::string to_cbor_bytes(const map_update& update) {
  return cbor_text(pack(update));
}
std::optional<map_update> update_from_cbor_bytes(std::string_view bytes, failure& reason) {
  return read<map_update>(
      "claim map", reason, [&] { return json::from_cbor(bytes); }, unpack_update);
}
std::string to_cbor_bytes(const owner_report& report) {
  return cbor_text(pack(report));
}
std::optional<owner_report> report_from_cbor_bytes(std::string_view bytes, failure& reason) {
  return read<owner_report>(
      "owner report", reason, [&] { return json::from_cbor(bytes); }, unpack_report);
}
std::string to_cbor_bytes(const leader_reply& reply) {
  return cbor_text(pack(reply));
}
std::optional<leader_reply> reply_from_cbor_bytes(std::string_view bytes, failure& reason) {
  return read<leader_reply>(
      "leader reply", reason, [&] { return json::from_cbor(bytes); }, unpack_reply);
}

}  // namespace masticshunt::claims
