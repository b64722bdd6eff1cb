#include "platform/internal/object_table.h"

namespace masticshunt::platform {

const table_entry* object_table::find(std::string_view name) const {
  const auto place = entries_.find(name);
  return place == entries_.end() || place->second.deleted ? nullptr : &place->second;
}

std::optional<std::uint64_t> object_table::put(std::string_view name, std::uint64_t expected,
                                               std::string value) {
  const auto* const current = find(name);
  if ((current == nullptr ? 0 : current->version) != expected) return std::nullopt;
  entries_.insert_or_assign(std::string(name), table_entry{++revision_, std::move(value), false});
  return revision_;
}

std::optional<std::uint64_t> object_table::remove(std::string_view name, std::uint64_t expected) {
  const auto* const current = find(name);
  if (current == nullptr || current->version != expected) return std::nullopt;
  entries_.insert_or_assign(std::string(name), table_entry{++revision_, {}, true});
  return revision_;
}

std::vector<named_entry> object_table::list(std::string_view prefix) const {
  auto result = newer(prefix, 0);
  std::erase_if(result, [](const auto& each) { return each.entry.deleted; });
  return result;
}

std::vector<named_entry> object_table::newer(std::string_view prefix, std::uint64_t after) const {
  std::vector<named_entry> result;
  for (auto place = entries_.lower_bound(prefix);
       place != entries_.end() && place->first.starts_with(prefix); ++place) {
    if (place->second.version > after) result.push_back({place->first, place->second});
  }
  return result;
}

}  // namespace masticshunt::platform
