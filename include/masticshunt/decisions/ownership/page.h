/// @file
/// Stored form of assignment pages, and queries on their content.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/ownership/agent_core.h"
#include "masticshunt/decisions/ownership/messages.h"
#include "masticshunt/decisions/ownership/types.h"

namespace masticshunt::ownership {

/// Returns the group of a page.
group_name name_of(const assignment_page& page);

/// Returns the store name of a group's page: "groups/<service>/<group>".
std::string page_object_name(const group_name& group);

/// Returns the stored form of `page` (JSON).
std::string to_value(const assignment_page& page);

/// Returns the page in a stored object, or nothing with `reason` filled. The page takes the version
/// of the object.
std::optional<assignment_page> page_from_object(const store_object& object, failure& reason);

/// Returns `count` ranges of equal width that cover the part of the key space of group `group` of
/// `groups`.
std::vector<range_assignment> even_ranges(std::uint32_t group, std::uint32_t groups,
                                          std::uint32_t count);

/// Returns the group that an agent joins in a service with `groups` groups.
std::uint32_t group_of_agent(std::string_view agent_name, std::uint32_t groups);

/// Returns the renewer record of `id`, or null.
const renewer_record* find_renewer(const assignment_page& page, const agent_id& id);

/// Returns the renewer record of `appointment`, or null.
const renewer_record* find_appointment(const assignment_page& page, std::uint64_t appointment);

/// Marks `record` as withdrawn at page `sequence`, unless it already is.
void withdraw(renewer_record& record, std::uint64_t sequence);

/// Returns true if neither of two renewers can ever have supported the other or relied on its
/// support: the page that appointed one of them already had the other withdrawn.
bool appointments_disjoint(const renewer_record& left, const renewer_record& right);

/// Returns the member named `name`, or null.
const agent_description* find_member(const assignment_page& page, std::string_view name);

/// Returns the range that contains `hash`, or null.
const range_assignment* find_range(const assignment_page& page, key_hash hash);

/// Returns true if `id` is the coordinator of `page`.
bool is_coordinator(const assignment_page& page, const agent_id& id);

/// Returns true if `id` owns at least one range of `page`.
bool owns_any(const assignment_page& page, const agent_id& id);

/// Returns true if the ranges are sorted, do not overlap, and have no gaps between them.
bool ranges_are_contiguous(const assignment_page& page);

}  // namespace masticshunt::ownership
