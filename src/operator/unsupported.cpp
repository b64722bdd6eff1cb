#include "masticshunt/operator/unsupported.h"

namespace masticshunt::operators {

std::optional<failure> find_unsupported(const configuration::record& record) {
  if (std::holds_alternative<configuration::key_range_record>(record.body)) {
    return failure{failure_kind::unsupported,
                   configuration::object_name(record) +
                       ": this version does not support placement of key ranges by record, so the "
                       "record would have no effect",
                   "remove the key-range record"};
  }
  const auto* service = std::get_if<configuration::service_record>(&record.body);
  if (service != nullptr && !service->regions.empty()) {
    return failure{failure_kind::unsupported,
                   configuration::object_name(record) +
                       ": this version does not support home regions, so `regions` would have no "
                       "effect",
                   "remove `regions`"};
  }
  return std::nullopt;
}

}  // namespace masticshunt::operators
