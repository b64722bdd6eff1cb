#include "masticshunt/operator/unsupported.h"

namespace masticshunt::operators {

std::optional<failure> find_unsupported(const configuration::record& record) {
  if (std::holds_alternative<configuration::key_range_record>(record.body)) {
    return failure{failure_kind::unsupported,
                   configuration::object_name(record) +
                       ": this version does not place key ranges by wish, so the record would have "
                       "no force",
                   "leave the key-range record out"};
  }
  const auto* service = std::get_if<configuration::service_record>(&record.body);
  if (service != nullptr && !service->regions.empty()) {
    return failure{failure_kind::unsupported,
                   configuration::object_name(record) +
                       ": this version does not keep groups in home regions, so `regions` would "
                       "have no force",
                   "leave `regions` out"};
  }
  return std::nullopt;
}

}  // namespace masticshunt::operators
