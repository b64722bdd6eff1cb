#include "masticshunt/demo/deployment.h"

namespace masticshunt::demo {

namespace {

using configuration::rank_record;

std::vector<rank_record> three_ranks(const std::string& service) {
  using std::chrono::milliseconds;
  return {rank_record{service, "urgent", 0, 0.3, 10, milliseconds{200}},
          rank_record{service, "normal", 1, 0.2, 3, milliseconds{1'000}},
          rank_record{service, "bulk", 2, 0.1, 1, milliseconds{5'000}}};
}

service_plan service(const std::string& name, std::uint32_t slots, std::uint32_t connections,
                     std::chrono::microseconds service_time) {
  return {name, slots, connections, service_time, true, three_ranks(name)};
}

}  // namespace

deployment_plan imhof_plan() {
  constexpr std::uint32_t slots = 12;
  constexpr std::uint32_t connections = 120;
  using std::chrono::microseconds;
  return {"imhof",
          {{"mittelland", "olten"},
           {"mittelland", "bern"},
           {"alpen", "erstfeld"},
           {"alpen", "brig"},
           {"tessin", "bellinzona"},
           {"tessin", "lugano"}},
          {service("schedule-viewer", slots, connections, microseconds{2'000}),
           service("booking-ledger", slots, connections, microseconds{4'000}),
           service("scan-archive", slots, connections, microseconds{6'000})},
          1,
          {}};
}

deployment_plan llyfrnod_plan() {
  constexpr std::uint32_t slots = 6;
  constexpr std::uint32_t connections = 65;
  using std::chrono::microseconds;
  return {"llyfrnod",
          {{"de-cymru", "caerdydd"},
           {"de-cymru", "abertawe"},
           {"gogledd", "bangor"},
           {"gogledd", "wrecsam"},
           {"canolbarth", "aberystwyth"},
           {"canolbarth", "drenewydd"}},
          {service("notebook-viewer", slots, connections, microseconds{2'000}),
           service("kernel-billing", slots, connections, microseconds{4'000}),
           service("dataset-storage", slots, connections, microseconds{6'000})},
          1,
          {}};
}

}  // namespace masticshunt::demo
