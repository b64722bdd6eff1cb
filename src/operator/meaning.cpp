#include "masticshunt/operator/meaning.h"

namespace masticshunt::operators {

std::optional<failure> not_carried_out(const configuration::record& what) {
  if (std::holds_alternative<configuration::key_range_record>(what.body)) {
    return failure{failure_kind::unsupported,
                   configuration::object_name(what) +
                       ": this version does not place key ranges by wish, so the record would have "
                       "no force",
                   "leave the key-range record out"};
  }
  const auto* service = std::get_if<configuration::service_record>(&what.body);
  if (service != nullptr && !service->regions.empty()) {
    return failure{failure_kind::unsupported,
                   configuration::object_name(what) +
                       ": this version does not keep groups in home regions, so `regions` would "
                       "have no force",
                   "leave `regions` out"};
  }
  return std::nullopt;
}

}  // namespace masticshunt::operators
