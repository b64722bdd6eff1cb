/// @file
/// An in-memory store for simulations in virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "masticshunt/decisions/ownership/agent_core.h"

namespace masticshunt::testing {

/// Stores versioned objects with conditional writes. The fleet simulates delays, losses and
/// outages.
class fake_store {
 public:
  /// Called after every write that took effect, with the object before and after the write.
  std::function<void(const ownership::store_object& before, const ownership::store_object& after)>
      on_write;

  ownership::store_read_done read(const ownership::store_read& call) const {
    ownership::store_read_done response{call.call, find(call.name), {}};
    if (!response.object) response.reason.kind = failure_kind::not_found;
    return response;
  }

  ownership::store_write_done write(const ownership::store_write& call) {
    ownership::store_write_done response{call.call, {}, {}, {}};
    const auto current = find(call.name);
    if ((current ? current->version : 0) != call.expected_version) {
      response.current = current;
      response.reason.kind = failure_kind::conflict;
      return response;
    }
    response.version = put(call.name, call.value);
    return response;
  }

  ownership::store_list_done list(const ownership::store_list& call) const {
    const std::uint64_t after = call.after_revision.value_or(0);
    ownership::store_list_done response{
        call.call, std::vector<ownership::store_object>{}, revision_, {}};
    for (const auto& [name, object] : objects_) {
      if (name.starts_with(call.prefix) && object.version > after &&
          (call.after_revision || !object.value.empty())) {
        response.objects->push_back(object);
      }
    }
    return response;
  }

  /// Writes unconditionally, like an operator's command that has read the current version.
  std::uint64_t put(const std::string& name, const std::string& value) {
    auto& object = objects_[name];
    const ownership::store_object before = object;
    object = {name, ++revision_, value};
    if (on_write) on_write(before, object);
    return revision_;
  }

  std::optional<ownership::store_object> find(const std::string& name) const {
    const auto found = objects_.find(name);
    if (found == objects_.end() || found->second.value.empty()) return std::nullopt;
    return found->second;
  }

  std::uint64_t revision() const { return revision_; }

 private:
  std::map<std::string, ownership::store_object> objects_;
  std::uint64_t revision_ = 0;
};

}  // namespace masticshunt::testing
