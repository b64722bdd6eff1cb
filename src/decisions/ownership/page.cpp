#include "masticshunt/decisions/ownership/page.h"

#include <algorithm>
#include <limits>

#include "internal/json_codec.h"

namespace masticshunt::ownership {

group_name name_of(const assignment_page& page) {
  return {page.service, page.group};
}

std::string page_object_name(const group_name& group) {
  return "groups/" + group.service + "/" + std::to_string(group.group);
}

std::string to_value(const assignment_page& page) {
  nlohmann::json value = page;
  value.erase("version");
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<assignment_page> page_from_object(const store_object& object, failure& reason) {
  try {
    auto page = nlohmann::json::parse(object.value).get<assignment_page>();
    page.version = object.version;
    if (object.name == page_object_name(name_of(page)) && ranges_are_contiguous(page)) return page;
    reason = {failure_kind::bad_input, object.name + " is not a valid assignment page",
              "restore the object, or delete it to let the group start afresh"};
  } catch (const std::exception& error) {
    reason = {failure_kind::bad_input, object.name + " is not an assignment page: " + error.what(),
              "restore the object, or delete it to let the group start afresh"};
  }
  return std::nullopt;
}

std::vector<range_assignment> even_ranges(std::uint32_t group, std::uint32_t groups,
                                          std::uint32_t count) {
  constexpr key_hash last_hash = std::numeric_limits<key_hash>::max();
  const std::uint64_t parts = std::uint64_t{std::max(groups, 1U)} * std::max(count, 1U);
  const key_hash stride = last_hash / parts;
  const std::uint64_t begin = std::uint64_t{group} * std::max(count, 1U);
  std::vector<range_assignment> ranges(std::max(count, 1U));
  for (std::uint64_t index = 0; index < ranges.size(); ++index) {
    const std::uint64_t part = begin + index;
    const key_hash first = part * stride;
    ranges[index].range = {first, part + 1 == parts ? last_hash : first + stride - 1};
  }
  return ranges;
}

std::uint32_t group_of_agent(std::string_view agent_name, std::uint32_t groups) {
  return static_cast<std::uint32_t>(hash_of_key(agent_name) % std::max(groups, 1U));
}

const renewer_record* find_renewer(const assignment_page& page, const agent_id& id) {
  const auto found = std::ranges::find(page.renewers, id, &renewer_record::id);
  return found == page.renewers.end() ? nullptr : &*found;
}

const renewer_record* find_appointment(const assignment_page& page, std::uint64_t appointment) {
  const auto found = std::ranges::find(page.renewers, appointment, &renewer_record::appointment);
  return found == page.renewers.end() ? nullptr : &*found;
}

void withdraw(renewer_record& record, std::uint64_t sequence) {
  if (record.withdrawn) return;
  record.withdrawn = true;
  record.withdrawn_at = sequence;
}

bool appointments_disjoint(const renewer_record& left, const renewer_record& right) {
  return (left.withdrawn && left.withdrawn_at <= right.appointment) ||
         (right.withdrawn && right.withdrawn_at <= left.appointment);
}

const agent_description* find_member(const assignment_page& page, std::string_view name) {
  const auto found = std::ranges::find(
      page.members, name, [](const auto& member) { return std::string_view(member.id.name); });
  return found == page.members.end() ? nullptr : &*found;
}

const range_assignment* find_range(const assignment_page& page, key_hash hash) {
  const auto after = std::ranges::upper_bound(
      page.ranges, hash, {}, [](const range_assignment& entry) { return entry.range.first; });
  if (after == page.ranges.begin()) return nullptr;
  const auto& candidate = *std::prev(after);
  return candidate.range.contains(hash) ? &candidate : nullptr;
}

bool is_coordinator(const assignment_page& page, const agent_id& id) {
  return !page.renewers.empty() && page.renewers.front().id == id &&
         !page.renewers.front().withdrawn;
}

bool owns_any(const assignment_page& page, const agent_id& id) {
  return std::ranges::find(page.ranges, id, &range_assignment::owner) != page.ranges.end();
}

bool ranges_are_contiguous(const assignment_page& page) {
  const auto follows = [](const range_assignment& left, const range_assignment& right) {
    return left.range.first > left.range.last || left.range.last + 1 != right.range.first;
  };
  return std::ranges::adjacent_find(page.ranges, follows) == page.ranges.end();
}

}  // namespace masticshunt::ownership
