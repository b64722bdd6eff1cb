/// @file
/// Cost of the routing table at about 20,000, 80,000 and 320,000 ranges.
#pragma once

#include <random>

#include "capacity_measure.h"
#include "masticshunt/decisions/ownership/routing_table.h"

namespace masticshunt::capacity {

/// Returns an agent description of realistic size.
inline ownership::agent_description sample_agent(std::uint32_t index) {
  const auto address = "10." + std::to_string(index / 65'536) + "." +
                       std::to_string(index / 256 % 256) + "." + std::to_string(index % 256);
  ownership::agent_description agent;
  agent.id = {"olten-agent-" + std::to_string(index), 1};
  agent.control = address + ":7400";
  agent.forward = address + ":7500";
  agent.caller = address + ":7000";
  agent.region = "region-" + std::to_string(index / 100 % 10);
  agent.failure_domain = agent.region + "-" + std::to_string(index % 4);
  agent.schema_version_max = 2;
  agent.upstream =
      ownership::upstream_description{"booking-ledger", address + ":8000", 1, 12, 120, true};
  return agent;
}

/// Returns page `group` of `groups`, with `members` members of 16 ranges each.
inline ownership::assignment_page sample_page(std::uint32_t group, std::uint32_t groups,
                                              std::uint32_t members) {
  constexpr std::uint32_t ranges_per_member = 16;
  ownership::assignment_page page;
  page.service = "booking-ledger";
  page.group = group;
  page.version = 1;
  page.epoch = 3;
  for (std::uint32_t index = 0; index < members; ++index) {
    page.members.push_back(sample_agent(group * members + index));
  }
  for (std::uint32_t index = 0; index < 3; ++index) {
    const auto& agent = page.members[index];
    page.renewers.push_back({agent.id, agent.control, agent.failure_domain});
  }
  const std::uint64_t count = std::uint64_t{members} * ranges_per_member;
  const key_hash width = ~key_hash{0} / (groups * count);
  for (std::uint64_t index = 0; index < count; ++index) {
    const key_hash first = (group * count + index) * width;
    ownership::range_assignment range;
    range.range = {first, first + width - 1};
    range.owner = page.members[index * 7 % members].id;
    range.token = {3, 1'000 + index};
    page.ranges.push_back(range);
  }
  return page;
}

inline void measure_routing(const report& out, std::uint64_t seed, measured_slopes& slopes) {
  constexpr std::size_t lookups = 1'000'000;
  constexpr std::size_t repetitions = 5;
  table rows{"routing_table",
             {"ranges", "groups", "bytes a range", "bytes a range with descriptions", "lookup, ns",
              "apply a page, µs"},
             {}};
  std::vector<std::pair<double, double>> bytes_points;
  series lookup_line{"lookup, ns", {}};
  for (const std::uint32_t groups : {12U, 50U, 200U}) {
    const double before = heap_bytes();
    ownership::routing_table routes;
    auto page = sample_page(0, groups, 100);
    for (std::uint32_t group = 0; group < groups; ++group) {
      page = sample_page(group, groups, 100);
      routes.apply(page);
    }
    const auto ranges = static_cast<double>(routes.range_count());
    const double heap_growth = heap_bytes() - before;
    std::mt19937_64 random(seed);
    std::vector<key_hash> hashes(lookups);
    std::ranges::generate(hashes, std::ref(random));
    std::size_t found = 0;
    const auto lookup = time_each(lookups, repetitions, [&] {
      for (const auto hash : hashes) found += routes.find("booking-ledger", hash).has_value();
    });
    if (found == 0) std::cerr << "no lookup found an owner\n";
    const auto apply = time_each(1, repetitions, [&] {
      ++page.version;
      routes.apply(page);
    });
    const double range_bytes = static_cast<double>(routes.range_bytes()) / ranges;
    rows.rows.push_back({format_number(ranges), format_number(groups), format_number(range_bytes),
                         format_number(heap_growth / ranges), lookup.with_range(),
                         format_number(apply.median() / 1e3)});
    bytes_points.emplace_back(ranges, heap_growth);
    lookup_line.points.emplace_back(ranges, lookup.median());
    slopes.lookup_ns = lookup.median();
    slopes.apply_us = apply.median() / 1e3;
  }
  slopes.routing_bytes_by_range = fit(bytes_points);
  out.write(rows);
  out.plot("routing_table", "Lookup in the routing table", "ranges", "ns", {lookup_line});
}

}  // namespace masticshunt::capacity
