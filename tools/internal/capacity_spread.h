/// @file
/// Cost of the dissemination of pages and records by gossip: bytes, messages and convergence time.
#pragma once

#include <nlohmann/json.hpp>

#include "capacity_inputs.h"
#include "capacity_measure.h"
#include "capacity_routing.h"
#include "decisions/ownership/spread_network.h"
#include "masticshunt/decisions/ownership/spread_patch.h"

namespace masticshunt::capacity {

using std::chrono::seconds;

inline constexpr std::size_t regions = 10;
inline constexpr double transport_bytes = 58;  ///< WebSocket, TCP and IP headers.
inline constexpr double envelope_bytes = 40;   ///< {"v","t","from","b"} in CBOR.

/// Returns the encoded size of a message in bytes, including headers.
inline double encoded_bytes(const ownership::spread_message& message) {
  const auto body = std::visit([](const auto& one) { return nlohmann::json(one); }, message);
  return static_cast<double>(nlohmann::json::to_cbor(body).size()) + envelope_bytes +
         transport_bytes;
}

inline ownership::versioned_object sample_record(std::uint64_t index, std::uint64_t version) {
  return {"config/rank/service-" + std::to_string(index) + ".urgent", version,
          std::string(280, 'x') + std::to_string(version), false};
}

inline double seconds_of(duration length) {
  return std::chrono::duration<double>(length).count();
}

/// Puts `object` at agent `at` and returns the seconds until every agent has it.
inline double convergence_time(testing::spread_network& network,
                               const ownership::versioned_object& object, std::size_t at,
                               duration limit) {
  const auto start = network.now();
  network.put(at, object);
  const auto converged = [&] {
    return network.holders(object.name, object.version) == network.size();
  };
  while (network.now() - start < limit) {
    network.run(std::chrono::milliseconds{5});
    if (converged()) return seconds_of(network.now() - start);
  }
  return not_measured;
}

inline void measure_fan_out(const report& out, std::uint64_t seed, measured_slopes& slopes) {
  constexpr int changes = 20;
  table rows{"spread",
             {"agents", "messages an agent a change", "bytes an agent a change",
              "bytes between regions a change", "idle, bytes/s an agent",
              "to everywhere, ms (median, least, greatest)", "CPU a message, µs"},
             {}};
  std::vector<std::pair<double, double>> times;
  series line{"to everywhere, ms", {}};
  for (const std::size_t agents : {100, 200, 400, 800}) {
    testing::spread_network network(
        {.regions = regions, .agents_per_region = agents / regions, .seed = seed});
    network.run(seconds{15});
    double bytes = 0;
    network.seen = [&](const auto& message) { bytes += encoded_bytes(message); };
    network.run(seconds{60});
    const double idle = bytes / 60;
    bytes = 0;
    network.messages = 0;
    network.remote_bytes = 0;
    const auto start = network.now();
    readings converged;
    for (int change = 0; change < changes; ++change) {
      const auto object = sample_record(static_cast<std::uint64_t>(change), 5);
      const auto at = static_cast<std::size_t>(change) * 37 % agents;
      converged.values.push_back(1e3 * convergence_time(network, object, at, seconds{30}));
      network.run(seconds{2});
    }
    const double elapsed = seconds_of(network.now() - start);
    const double per_agent = 1.0 / (changes * static_cast<double>(agents));
    slopes.bytes_per_change = (bytes - idle * elapsed) * per_agent;
    slopes.messages_per_change = static_cast<double>(network.messages) * per_agent;
    slopes.remote_bytes_per_change = static_cast<double>(network.remote_bytes) / changes;
    slopes.idle_bytes_per_second = idle / static_cast<double>(agents);
    network.seen = nullptr;
    const auto before = network.messages;
    const auto cost = time_each(1, 1, [&] {
      for (std::uint64_t change = 100; change < 120; ++change) {
        convergence_time(network, sample_record(change, 5), change % agents, seconds{30});
      }
    });
    const auto handled = static_cast<double>(network.messages - before);
    slopes.spread_message_us = cost.median() / 1e3 / handled;
    rows.rows.push_back(
        {format_number(static_cast<double>(agents)), format_number(slopes.messages_per_change),
         format_number(slopes.bytes_per_change), format_number(slopes.remote_bytes_per_change),
         format_number(slopes.idle_bytes_per_second), converged.with_range(),
         format_number(slopes.spread_message_us)});
    const double slowest = std::ranges::max(converged.values);
    times.emplace_back(std::log(static_cast<double>(agents)), slowest);
    line.points.emplace_back(static_cast<double>(agents), slowest);
  }
  slopes.convergence_ms_by_log_agents = fit(times);
  out.write(rows);
  out.plot("spread", "Slowest of 20 changes to reach every agent", "agents", "ms", {line});
}

/// Returns a page value of realistic size and content: one JSON object for each of `ranges` ranges.
inline std::string sample_page_value(std::uint64_t group, std::size_t ranges) {
  std::string value;
  for (std::size_t index = 0; index < ranges; ++index) {
    value += "{\"first\":" + std::to_string((group * ranges + index) * 57'646'075'230'342ULL) +
             ",\"owner\":\"olten-agent-" + std::to_string(index * 7 % 100) + "\",\"token\":[3," +
             std::to_string(index) + "]},";
  }
  return value;
}

/// Returns `value` with another owner for every `step`th range.
inline std::string with_changed_owners(std::string value, std::size_t step, std::uint64_t version) {
  std::size_t at = 0;
  for (std::size_t index = 0; (at = value.find("agent-", at)) != std::string::npos; ++index) {
    at += 6;
    if (index % step == 0) value.replace(at, 1, std::to_string(version % 10));
  }
  return value;
}

inline ownership::versioned_object sample_page_object(std::uint64_t group, std::size_t ranges) {
  return {"groups/booking-ledger/" + std::to_string(group), 1, sample_page_value(group, ranges),
          false};
}

inline void measure_ordinary_day(const report& out, const capacity_inputs& inputs,
                                 std::uint64_t seed, measured_slopes& slopes) {
  constexpr std::uint64_t pages = 10;
  constexpr std::uint64_t records = 2'000;
  constexpr std::size_t ranges = 1'600;
  constexpr double length_seconds = 180;
  table rows{"spread_ordinary",
             {"agents", "bytes/s an agent, mean", "bytes/s an agent, greatest",
              "messages/s an agent", "adopted as patches, of pages"},
             {}};
  for (const std::size_t agents : {50, 100, 200}) {
    testing::spread_network network(
        {.regions = regions, .agents_per_region = agents / regions, .seed = seed});
    for (std::size_t agent = 0; agent < agents; ++agent) {
      for (std::uint64_t page = 0; page < pages; ++page) {
        network.agent(agent).put(sample_page_object(page, ranges), network.now());
      }
      for (std::uint64_t record = 0; record < records; ++record) {
        network.agent(agent).put(sample_record(record, 1), network.now());
      }
    }
    network.run(seconds{300});  // Until every agent has recorded that its peers have all objects.
    std::vector<std::uint64_t> sent_before;
    std::uint64_t patches_before = 0;
    for (std::size_t agent = 0; agent < agents; ++agent) {
      sent_before.push_back(network.agent(agent).counters().bytes_sent);
      patches_before += network.agent(agent).counters().patches_adopted;
    }
    const auto messages = network.messages;
    const double rate = inputs.changes_per_second() + inputs.page_writes_per_second();
    const auto count = static_cast<std::uint64_t>(rate * length_seconds);
    const auto every = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(length_seconds / static_cast<double>(count)));
    const double page_share = inputs.page_writes_per_second() / rate;
    double page_changes = 0;
    for (std::uint64_t change = 1; change <= count; ++change) {
      const auto at = static_cast<std::size_t>(change * 37) % agents;
      if (std::floor(static_cast<double>(change) * page_share) > page_changes) {
        auto page = network.agent(at).find(
            sample_page_object(static_cast<std::uint64_t>(page_changes) % pages, 1).name);
        page->version = 1'000 + change;
        page->value = with_changed_owners(page->value, 100, change);
        network.put(at, *page);
        ++page_changes;
      } else {
        network.put(at, sample_record(change % records, 1'000 + change));
      }
      network.run(every);
    }
    double sum = 0;
    double greatest = 0;
    std::uint64_t patches_after = 0;
    for (std::size_t agent = 0; agent < agents; ++agent) {
      const auto& counters = network.agent(agent).counters();
      const double rate_of_agent =
          static_cast<double>(counters.bytes_sent - sent_before[agent]) / length_seconds;
      sum += rate_of_agent;
      greatest = std::max(greatest, rate_of_agent);
      patches_after += counters.patches_adopted;
    }
    const auto per_agent = 1 / static_cast<double>(agents);
    slopes.ordinary_bytes_per_second = greatest;
    slopes.ordinary_messages_per_second =
        static_cast<double>(network.messages - messages) * per_agent / length_seconds;
    const double patch_share = static_cast<double>(patches_after - patches_before) /
                               (page_changes * static_cast<double>(agents - 1));
    rows.rows.push_back({format_number(static_cast<double>(agents)), format_number(sum * per_agent),
                         format_number(greatest),
                         format_number(slopes.ordinary_messages_per_second),
                         format_number(patch_share)});
  }
  out.write(rows);
}

inline void measure_events(const report& out, std::uint64_t seed, measured_slopes& slopes) {
  table rows{"spread_events", {"event", "agents", "seconds until everybody agrees"}, {}};
  const auto time_to_agreement = [](testing::spread_network& network, duration limit) {
    const auto start = network.now();
    const auto all_agree = [&] {
      for (std::size_t agent = 1; agent < network.size(); ++agent) {
        if (network.agent(agent).root_hash() != network.agent(0).root_hash()) return false;
      }
      return true;
    };
    while (network.now() - start < limit) {
      network.run(std::chrono::milliseconds{100});
      if (all_agree()) return seconds_of(network.now() - start);
    }
    return not_measured;
  };
  for (const std::size_t agents : {50, 100, 200}) {
    testing::spread_network network(
        {.regions = regions, .agents_per_region = agents / regions, .seed = seed});
    for (std::size_t agent = 0; agent < agents; ++agent) {
      for (std::uint64_t page = 0; page < 20; ++page) {
        network.agent(agent).put(sample_page_object(page, 1'600), network.now());
      }
    }
    network.run(seconds{300});
    for (std::uint64_t page = 0; page < 20; ++page) {
      auto object = *network.agent(0).find(sample_page_object(page, 1).name);
      object.version = 2;
      object.value = with_changed_owners(object.value, 4, page);
      network.put(page % agents, object);
    }
    slopes.domain_loss_seconds = time_to_agreement(network, seconds{600});
    rows.rows.push_back({"loss of a failure domain: 20 pages, a quarter of the ranges of each",
                         format_number(static_cast<double>(agents)),
                         format_number(slopes.domain_loss_seconds)});
  }
  for (const std::size_t agents : {20, 50, 100}) {
    testing::spread_network network(
        {.regions = regions, .agents_per_region = agents / regions, .seed = seed});
    const auto local = agents / regions;
    network.lost = [local](std::size_t from, std::size_t to) {
      return (from < local) != (to < local);
    };
    for (std::size_t agent = local; agent < agents; ++agent) {
      for (std::uint64_t record = 0; record < 5'000; ++record) {
        network.agent(agent).put(sample_record(record, 1), network.now());
      }
    }
    network.run(seconds{300});
    network.lost = nullptr;
    slopes.region_return_seconds = time_to_agreement(network, seconds{900});
    rows.rows.push_back({"a region returns after an hour with 5,000 changes",
                         format_number(static_cast<double>(agents)),
                         format_number(slopes.region_return_seconds)});
  }
  for (const std::size_t agents : {50, 100, 200}) {
    testing::spread_network network(
        {.regions = regions, .agents_per_region = agents / regions, .seed = seed});
    for (std::size_t agent = 1; agent < agents; ++agent) {
      for (std::uint64_t page = 0; page < 20; ++page) {
        network.agent(agent).put(sample_page_object(page, 1'600), network.now());
      }
      for (std::uint64_t record = 0; record < 2'000; ++record) {
        network.agent(agent).put(sample_record(record, 1), network.now());
      }
    }
    slopes.joiner_seconds = time_to_agreement(network, seconds{900});
    rows.rows.push_back({"an agent starts from nothing: 20 pages and 2,000 records",
                         format_number(static_cast<double>(agents)),
                         format_number(slopes.joiner_seconds)});
  }
  out.write(rows);
}

inline void measure_held_objects(const report& out, measured_slopes& slopes) {
  table rows{"spread_memory", {"objects", "bytes an object", "of these name and value"}, {}};
  for (const std::uint64_t count : {5'000, 20'000, 50'000}) {
    const double before = heap_bytes();
    ownership::spread_settings settings;
    settings.self = "a";
    ownership::spread objects(settings);
    double payload = 0;
    for (std::uint64_t index = 0; index < count; ++index) {
      const auto record = sample_record(index, 1);
      payload += static_cast<double>(record.name.size() + record.value.size());
      objects.put(record, time_point{});
    }
    const double bytes_per_object = (heap_bytes() - before) / static_cast<double>(count);
    const double payload_each = payload / static_cast<double>(count);
    slopes.held_bytes_per_object = bytes_per_object - payload_each;
    rows.rows.push_back({format_number(static_cast<double>(count)), format_number(bytes_per_object),
                         format_number(payload_each)});
  }
  out.write(rows);
}

}  // namespace masticshunt::capacity
