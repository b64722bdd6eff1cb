#include "masticshunt/base/failure.h"

namespace masticshunt {

std::string_view to_string(failure_kind kind) {
  switch (kind) {
    case failure_kind::none:
      return "none";
    case failure_kind::bad_input:
      return "bad_input";
    case failure_kind::conflict:
      return "conflict";
    case failure_kind::not_found:
      return "not_found";
    case failure_kind::unavailable:
      return "unavailable";
    case failure_kind::unsupported:
      return "unsupported";
    case failure_kind::over_budget:
      return "over_budget";
    case failure_kind::internal_fault:
      return "internal_fault";
  }
  return "unknown";
}

std::string failure::describe() const {
  return remedy.empty() ? message : message + "; " + remedy;
}

}  // namespace masticshunt
