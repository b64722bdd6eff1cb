/// @file
/// JSON forms of the ownership types, shared by control messages and stored pages.
///
/// Readers ignore unknown fields and use defaults for missing ones; a field of a wrong type throws,
/// which `decode` and `page_from_object` turn into a failure.
#pragma once

#include <nlohmann/json.hpp>

#include "masticshunt/decisions/ownership/messages.h"

namespace nlohmann {

template <>
struct adl_serializer<masticshunt::duration> {
  static void to_json(json& out, const masticshunt::duration& value) {
    out = std::chrono::floor<std::chrono::microseconds>(value).count();
  }
  static void from_json(const json& in, masticshunt::duration& value) {
    constexpr std::int64_t longest_us = 3'600'000'000;
    const auto count = in.get<std::int64_t>();
    if (count < 0 || count > longest_us) throw std::out_of_range("duration out of range");
    value = std::chrono::microseconds{count};
  }
};

template <typename Value>
struct adl_serializer<std::optional<Value>> {
  static void to_json(json& out, const std::optional<Value>& value) {
    if (value) {
      out = *value;
    } else {
      out = nullptr;
    }
  }
  static void from_json(const json& in, std::optional<Value>& value) {
    if (in.is_null()) {
      value.reset();
    } else {
      value = in.get<Value>();
    }
  }
};

}  // namespace nlohmann

namespace masticshunt {

inline void to_json(nlohmann::json& out, const fence_token& value) {
  out = nlohmann::json::array({value.epoch, value.sequence});
}
inline void from_json(const nlohmann::json& in, fence_token& value) {
  value = {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
}
inline void to_json(nlohmann::json& out, const hash_range& value) {
  out = nlohmann::json::array({value.first, value.last});
}
inline void from_json(const nlohmann::json& in, hash_range& value) {
  value = {in.at(0).get<key_hash>(), in.at(1).get<key_hash>()};
}
inline void to_json(nlohmann::json& out, const agent_id& value) {
  out = nlohmann::json::array({value.name, value.incarnation});
}
inline void from_json(const nlohmann::json& in, agent_id& value) {
  value = {in.at(0).get<std::string>(), in.at(1).get<std::uint64_t>()};
}

namespace ownership {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(upstream_description, service, address, incarnation,
                                                slots, connections, checks_fences)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(agent_description, id, control, forward, caller,
                                                region, failure_domain, schema_version_max,
                                                upstream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(range_assignment, range, owner, token,
                                                had_earlier_owner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(renewer_record, id, control, failure_domain,
                                                withdrawn, appointment, alone, withdrawn_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(assignment_page, service, group, version, epoch,
                                                renewers, members, ranges, sequence, owner_changes,
                                                move_since, schema_floor, write_id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(group_name, service, group)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(join_request, group, agent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(page_request, group, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(page_update, page)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(support_end, appointment, ends_in)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(page_ack, group, sequence, appointment, supports,
                                                own_grants_end_in)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(renew_request, group, owner, request, sequence,
                                                leaving, released, config_digest, config_revision,
                                                schema_version_max, busy_slots, reads_whole_grants)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(renew_reply, group, owner, request, sequence, lease,
                                                granted, whole)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(release_request, group, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(support_request, group, appointment, request,
                                                sequence, epoch, next_stop, active_stops)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(support_reply, group, appointment, supporter,
                                                request, sequence, supported)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(stop_request, group, epoch, number, sequence,
                                                appointment, owner, up_to, active)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(stop_reply, group, epoch, number, appointment,
                                                owner, ends_in, heard_ago)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(stored_record, name, version, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(records_update, revision, complete, records)

}  // namespace ownership
}  // namespace masticshunt
