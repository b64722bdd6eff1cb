/// @file
/// Cost of the control channel and the store client over loopback sockets.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <ctime>
#include <thread>

#include "capacity_measure.h"
#include "masticshunt/agent/control_channel.h"
#include "masticshunt/store/store_client.h"
#include "masticshunt/store/store_stand_in.h"

namespace masticshunt::capacity {

/// Returns the processor time of the program in microseconds.
inline double processor_us() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC * 1e6;
}

/// Waits until `done` returns true. Returns false if that takes longer than 20 s.
template <class Done>
bool wait_until(Done done) {
  constexpr std::chrono::seconds limit{20};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  return true;
}

inline void measure_control_channel(const report& out, measured_slopes& slopes) {
  constexpr std::uint64_t rounds = 100;
  constexpr std::size_t message_bytes = 200;
  table rows{"control_channel",
             {"connections", "processor a message, both ends, µs",
              "heap a connection, both ends, "
              "bytes",
              "arrived, of sent"},
             {}};
  for (const std::size_t peers : {20, 50, 100}) {
    std::atomic<std::uint64_t> arrived = 0;
    agent::control_channel hub([&](const std::string&) { ++arrived; });
    failure reason;
    if (!hub.listen("127.0.0.1", 0, reason)) {
      std::cerr << reason.describe() << "\n";
      return;
    }
    const auto address = "127.0.0.1:" + std::to_string(hub.port());
    std::vector<std::unique_ptr<agent::control_channel>> channels;
    for (std::size_t peer = 0; peer < peers; ++peer) {
      channels.push_back(std::make_unique<agent::control_channel>([](const std::string&) {}));
    }
    const double before = heap_bytes();
    for (auto& channel : channels) channel->send(address, std::string(message_bytes, 'x'));
    if (!wait_until([&] { return arrived >= peers; }))
      std::cerr << "not all channels connected within 20 s\n";
    const double bytes_per_connection = (heap_bytes() - before) / static_cast<double>(peers);
    const auto first = arrived.load();
    const double start = processor_us();
    for (std::uint64_t round = 0; round < rounds; ++round) {
      for (auto& channel : channels) channel->send(address, std::string(message_bytes, 'x'));
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    const auto sent = static_cast<double>(rounds * peers);
    const bool complete = wait_until([&] { return arrived - first >= rounds * peers; });
    const double used = processor_us() - start;
    const auto received = static_cast<double>(arrived - first);
    slopes.channel_message_us = used / received;
    slopes.channel_connection_bytes = bytes_per_connection;
    rows.rows.push_back(
        {format_number(static_cast<double>(peers)), format_number(slopes.channel_message_us),
         format_number(bytes_per_connection),
         complete ? "all" : format_number(received) + " of " + format_number(sent)});
    for (auto& channel : channels) channel->stop();
    hub.stop();
  }
  out.write(rows);
}

inline void measure_store_client(const report& out, measured_slopes& slopes) {
  constexpr int calls = 2'000;
  table rows{"store_client",
             {"value, bytes", "processor a read, client and stand-in, µs", "reads that succeeded"},
             {}};
  for (const std::size_t value_bytes : {300, 3'000, 230'000}) {
    boost::asio::io_context context;
    store::store_stand_in store(context.get_executor());
    store.put("groups/booking-ledger/0", std::string(value_bytes, 'x'));
    store::store_client_settings settings;
    settings.addresses = {store.address()};
    settings.calls_per_second = 1e9;
    settings.burst = 1e9;
    store::store_client client(context.get_executor(), settings, 1);
    int succeeded = 0;
    int calls_remaining = calls;
    std::function<void()> read = [&] {
      if (calls_remaining-- == 0) {
        client.stop();
        store.stop();
        context.stop();
        return;
      }
      client.async_read(
          {static_cast<ownership::store_call_id>(calls_remaining), "groups/booking-ledger/0"},
          [&](const ownership::store_read_done& done) {
            succeeded += done.object.has_value() ? 1 : 0;
            read();
          });
    };
    const double start = processor_us();
    read();
    context.run_for(std::chrono::seconds{20});
    const double used = (processor_us() - start) / calls;
    if (value_bytes == 300) slopes.store_call_us = used;
    rows.rows.push_back({format_number(static_cast<double>(value_bytes)), format_number(used),
                         format_number(succeeded) + " of " + format_number(calls)});
  }
  out.write(rows);
}

}  // namespace masticshunt::capacity
