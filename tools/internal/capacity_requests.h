/// @file
/// Cost of the decisions on the request path: the gate and the idempotency ledger.
#pragma once

#include "capacity_measure.h"
#include "masticshunt/decisions/requests/gate.h"
#include "masticshunt/decisions/requests/idempotency_ledger.h"

namespace masticshunt::capacity {

inline requests::request_descriptor sample_request(std::uint64_t index, time_point now) {
  requests::request_descriptor request;
  request.attempt = index;
  request.service = "booking-ledger";
  request.hash = index * 0x9e3779b97f4a7c15ULL;
  request.caller = "planner-" + std::to_string(index % 200);
  request.rank = static_cast<std::uint32_t>(index % 3);
  request.deadline = now + std::chrono::seconds{10};
  return request;
}

inline double measure_gate(std::size_t waiting, const report&, double& bytes) {
  constexpr std::size_t steps = 100'000;
  requests::gate_settings settings;
  settings.ranks = {{"urgent", 0.2}, {"normal", 0.2}, {"bulk", 0.1}};
  settings.slots = 12;
  time_point now{std::chrono::hours{1}};
  const double before = heap_bytes();
  requests::gate gate(settings);
  requests::gate_actions actions;
  std::vector<requests::attempt_id> running;
  std::uint64_t next = 0;
  const auto collect = [&] {
    for (const auto& action : actions) {
      if (const auto* start = std::get_if<requests::start_attempt>(&action)) {
        running.push_back(start->attempt);
      }
    }
    actions.clear();
  };
  const auto offer = [&] {
    gate.offer(sample_request(++next, now), now, actions);
    collect();
  };
  for (std::size_t index = 0; index < waiting; ++index) offer();
  bytes = heap_bytes() - before;
  return time_each(steps, 5,
                   [&] {
                     for (std::size_t step = 0; step < steps; ++step) {
                       now += std::chrono::microseconds{476};
                       offer();
                       if (running.empty()) continue;
                       const auto done = running.back();
                       running.pop_back();
                       gate.finished(done, requests::attempt_result::answered, now, actions);
                       collect();
                     }
                   })
      .median();
}

inline void measure_requests(const report& out, std::uint64_t, measured_slopes& slopes) {
  table rows{"requests", {"decision", "size", "ns a request", "bytes of state"}, {}};
  for (const std::size_t waiting : {16, 256, 2'048}) {
    slopes.gate_ns = measure_gate(waiting, out, slopes.gate_bytes);
    rows.rows.push_back({"gate: offer and finish",
                         format_number(static_cast<double>(waiting)) + " offered at the start",
                         format_number(slopes.gate_ns), format_number(slopes.gate_bytes)});
  }
  for (const std::size_t identities : {4'096, 16'384, 65'536}) {
    const double before = heap_bytes();
    time_point now{std::chrono::hours{1}};
    requests::idempotency_ledger ledger({});
    const auto elapsed = time_each(identities, 1, [&] {
      for (std::uint64_t index = 0; index < identities; ++index) {
        auto request = sample_request(index, now);
        request.idempotent = false;
        request.idempotency_key = "booking-" + std::to_string(index);
        ledger.begin(request, time_point::min(), now);
        ledger.ended(request, requests::execution_status::answered, {200, "text/plain", "ok", true},
                     now);
      }
    });
    const auto entries = static_cast<double>(ledger.size());
    slopes.ledger_ns = elapsed.median();
    slopes.ledger_bytes_per_identity = (heap_bytes() - before) / std::max(entries, 1.0);
    rows.rows.push_back({"ledger: begin and end", format_number(entries) + " identities",
                         format_number(slopes.ledger_ns),
                         format_number(slopes.ledger_bytes_per_identity) + " an identity"});
  }
  out.write(rows);
}

}  // namespace masticshunt::capacity
