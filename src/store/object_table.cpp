#include "store/internal/object_table.h"

namespace masticshunt::store {

const versioned_object* object_table::find(std::string_view name) const {
  const auto found = objects_.find(name);
  return found == objects_.end() || found->second.deleted ? nullptr : &found->second;
}

std::optional<std::uint64_t> object_table::put(std::string_view name, std::uint64_t expected,
                                               std::string value) {
  const auto* const current = find(name);
  if ((current == nullptr ? 0 : current->version) != expected) return std::nullopt;
  objects_.insert_or_assign(std::string(name),
                            versioned_object{++revision_, std::move(value), false});
  return revision_;
}

std::optional<std::uint64_t> object_table::remove(std::string_view name, std::uint64_t expected) {
  const auto* const current = find(name);
  if (current == nullptr || current->version != expected) return std::nullopt;
  objects_.insert_or_assign(std::string(name), versioned_object{++revision_, {}, true});
  return revision_;
}

std::vector<named_object> object_table::list(std::string_view prefix) const {
  auto result = changed_since(prefix, 0);
  std::erase_if(result, [](const auto& each) { return each.object.deleted; });
  return result;
}

std::vector<named_object> object_table::changed_since(std::string_view prefix,
                                                      std::uint64_t after) const {
  std::vector<named_object> result;
  for (auto found = objects_.lower_bound(prefix);
       found != objects_.end() && found->first.starts_with(prefix); ++found) {
    if (found->second.version > after) result.push_back({found->first, found->second});
  }
  return result;
}

}  // namespace masticshunt::store
