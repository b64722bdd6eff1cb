/// @file
/// The objects of the store stand-in, without transport.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshunt::store {

/// An object, or the tombstone of a deleted one.
struct versioned_object {
  std::uint64_t version = 0;
  std::string value;
  bool deleted = false;
};

/// An object or tombstone with its name.
struct named_object {
  std::string name;
  versioned_object object;
};

/// Versioned objects by name. Thread safety: none.
class object_table {
 public:
  /// Returns the object called `name`, or null if there is none.
  [[nodiscard]] const versioned_object* find(std::string_view name) const;
  /// Sets the value if the object's version is `expected` (0: if there is none). Returns the new
  /// version, or nothing on a conflict.
  std::optional<std::uint64_t> put(std::string_view name, std::uint64_t expected,
                                   std::string value);
  /// Deletes the object if its version is `expected`. Returns the version of the deletion, or
  /// nothing on a conflict.
  std::optional<std::uint64_t> remove(std::string_view name, std::uint64_t expected);
  /// Returns the objects under `prefix`.
  [[nodiscard]] std::vector<named_object> list(std::string_view prefix) const;
  /// Returns the objects under `prefix` whose version is above `after`, tombstones included.
  [[nodiscard]] std::vector<named_object> changed_since(std::string_view prefix,
                                                        std::uint64_t after) const;
  /// Returns the version of the last change.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  std::map<std::string, versioned_object, std::less<>> objects_;
  std::uint64_t revision_ = 0;
};

}  // namespace masticshunt::store
