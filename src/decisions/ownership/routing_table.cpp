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

/// Returns the index of the last element of `firsts` that is not above `hash`; `hash` must not be
/// below the first element. `last` is the end of the last range. Interpolation search: starts at
/// the expected position and widens in doubling steps.
std::size_t index_of(const std::vector<key_hash>& firsts, key_hash last, key_hash hash) {
  const auto offset = static_cast<double>(hash - firsts.front());
  const auto width = static_cast<double>(last - firsts.front()) + 1;
  const auto count = firsts.size();
  const auto guess =
      std::min(static_cast<std::size_t>(offset / width * static_cast<double>(count)), count - 1);
  std::size_t low = guess;
  std::size_t high = guess + 1;
  for (std::size_t step = 1; firsts[low] > hash; step *= 2) {
    high = low;
    low = low > step ? low - step : 0;
  }
  for (std::size_t step = 1; high < count && firsts[high] <= hash; step *= 2) {
    low = high;
    high = std::min(high + step, count);
  }
  const auto begin = firsts.begin() + static_cast<std::ptrdiff_t>(low);
  const auto end = firsts.begin() + static_cast<std::ptrdiff_t>(high);
  return static_cast<std::size_t>(std::upper_bound(begin, end, hash) - firsts.begin()) - 1;
}

}  // namespace

routing_table::held_page routing_table::compact(const assignment_page& page) {
  static_assert(sizeof(key_hash) + sizeof(range_owner) <= 40);
  held_page held{page.group, page.version, 0, page.members, {}, {}};
  held.firsts.reserve(page.ranges.size());
  held.owners.reserve(page.ranges.size());
  const auto add = [&](key_hash first, const fence_token& token, std::uint32_t owner) {
    held.firsts.push_back(first);
    held.owners.push_back({token, owner});
  };
  const auto indices = indices_by_name(page.members);
  for (const auto& assignment : page.ranges) {
    const bool gap_before = !held.firsts.empty() && held.last + 1 != assignment.range.first;
    if (gap_before) add(held.last + 1, {}, no_owner);
    const auto index = indices.find(assignment.owner.name);
    const bool known = index != indices.end() && page.members[index->second].id == assignment.owner;
    add(assignment.range.first, assignment.token, known ? index->second : no_owner);
    held.last = assignment.range.last;
  }
  return held;
}

void routing_table::sort(service_table& table) {
  std::ranges::sort(table.pages, {}, [](const held_page& page) { return page.firsts.front(); });
  table.firsts.resize(table.pages.size());
  std::ranges::transform(table.pages, table.firsts.begin(),
                         [](const held_page& page) { return page.firsts.front(); });
}

bool routing_table::apply(const assignment_page& page) {
  if (page.ranges.empty() || page.version <= page_version(page.service, page.group)) return false;
  auto& table = services_[page.service];
  auto position = std::ranges::find(table.pages, page.group, &held_page::group);
  if (position == table.pages.end()) position = table.pages.insert(position, held_page{});
  *position = compact(page);
  sort(table);
  return true;
}

std::optional<routing_entry> routing_table::find(std::string_view service, key_hash hash) const {
  const auto table = services_.find(service);
  if (table == services_.end()) return std::nullopt;
  const auto& [firsts, pages] = table->second;
  if (hash < firsts.front()) return std::nullopt;
  const auto& page = pages[index_of(firsts, pages.back().last, hash)];
  if (hash > page.last) return std::nullopt;
  const auto index = index_of(page.firsts, page.last, hash);
  const auto& range = page.owners[index];
  if (range.owner == no_owner) return std::nullopt;
  const bool is_last = index + 1 == page.firsts.size();
  const key_hash last = is_last ? page.last : page.firsts[index + 1] - 1;
  return routing_entry{
      &page.members[range.owner], {page.firsts[index], last}, range.token, page.group};
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
    for (const auto& page : table.pages) count += page.firsts.size();
  }
  return count;
}

std::size_t routing_table::range_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [name, table] : services_) {
    bytes += table.firsts.capacity() * sizeof(key_hash) + table.pages.size() * sizeof(held_page);
    for (const auto& page : table.pages) {
      bytes += page.firsts.capacity() * sizeof(key_hash);
      bytes += page.owners.capacity() * sizeof(range_owner);
    }
  }
  return bytes;
}

}  // namespace masticshunt::ownership
