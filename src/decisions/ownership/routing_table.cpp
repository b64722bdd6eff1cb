#include "masticshunt/decisions/ownership/routing_table.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace masticshunt::ownership {

namespace {

std::unordered_map<std::string, std::uint32_t> indices_by_name(
    const std::vector<agent_description>& members) {
  std::unordered_map<std::string, std::uint32_t> indices;
  indices.reserve(members.size());
  for (std::uint32_t index = 0; index < members.size(); ++index) {
    indices.emplace(members[index].id.name, index);
  }
  return indices;
}

}  // namespace

routing_table::held_page routing_table::compact(const assignment_page& page) {
  static_assert(sizeof(compact_range) <= 40);
  held_page held{page.group, page.version, 0, page.members, {}};
  held.ranges.reserve(page.ranges.size());
  const auto indices = indices_by_name(page.members);
  for (const auto& assignment : page.ranges) {
    const bool gap_before = !held.ranges.empty() && held.last + 1 != assignment.range.first;
    if (gap_before) held.ranges.push_back({held.last + 1, {}, nobody});
    const auto index = indices.find(assignment.owner.name);
    const bool known = index != indices.end() && page.members[index->second].id == assignment.owner;
    held.ranges.push_back(
        {assignment.range.first, assignment.token, known ? index->second : nobody});
    held.last = assignment.range.last;
  }
  return held;
}

void routing_table::sort(service_table& table) {
  std::ranges::sort(table.pages, {}, [](const held_page& page) { return page.ranges[0].first; });
  table.firsts.resize(table.pages.size());
  std::ranges::transform(table.pages, table.firsts.begin(),
                         [](const held_page& page) { return page.ranges[0].first; });
}

bool routing_table::apply(const assignment_page& page) {
  if (page.ranges.empty() || page.version <= page_version(page.service, page.group)) return false;
  auto& table = services_[page.service];
  auto place = std::ranges::find(table.pages, page.group, &held_page::group);
  if (place == table.pages.end()) place = table.pages.insert(place, held_page{});
  *place = compact(page);
  sort(table);
  return true;
}

std::optional<routing_entry> routing_table::find(std::string_view service, key_hash hash) const {
  const auto table = services_.find(service);
  if (table == services_.end()) return std::nullopt;
  const auto& firsts = table->second.firsts;
  const auto after_page = std::ranges::upper_bound(firsts, hash);
  if (after_page == firsts.begin()) return std::nullopt;
  const auto& page = table->second.pages[after_page - firsts.begin() - 1];
  if (hash > page.last) return std::nullopt;
  const auto after = std::ranges::upper_bound(page.ranges, hash, {}, &compact_range::first);
  const auto& range = *std::prev(after);
  if (range.owner == nobody) return std::nullopt;
  const key_hash last = after == page.ranges.end() ? page.last : after->first - 1;
  return routing_entry{&page.members[range.owner], {range.first, last}, range.token, page.group};
}

std::uint64_t routing_table::page_version(std::string_view service, std::uint32_t group) const {
  const auto table = services_.find(service);
  if (table == services_.end()) return 0;
  const auto page = std::ranges::find(table->second.pages, group, &held_page::group);
  return page == table->second.pages.end() ? 0 : page->version;
}

std::size_t routing_table::range_count() const {
  std::size_t count = 0;
  for (const auto& [name, table] : services_) {
    for (const auto& page : table.pages) count += page.ranges.size();
  }
  return count;
}

std::size_t routing_table::range_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [name, table] : services_) {
    bytes += table.firsts.capacity() * sizeof(key_hash) + table.pages.size() * sizeof(held_page);
    for (const auto& page : table.pages) bytes += page.ranges.capacity() * sizeof(compact_range);
  }
  return bytes;
}

}  // namespace masticshunt::ownership
