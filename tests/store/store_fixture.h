/// @file
/// A store stand-in and a client on one context that tests run step by step.
#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>

#include "masticshunt/store/store_client.h"
#include "masticshunt/store/store_stand_in.h"

namespace masticshunt::store::testing {

/// Each call runs the context until its handler has been called; nothing runs between calls.
class store_fixture {
 public:
  explicit store_fixture(store_client_settings settings = quick_settings())
      : store(context.get_executor()), client(context.get_executor(), completed(settings), 1) {}

  static store_client_settings quick_settings() {
    store_client_settings settings;
    settings.calls_per_second = 1000;
    settings.burst = 1000;
    settings.call_deadline = std::chrono::milliseconds{400};
    settings.watch_duration = std::chrono::milliseconds{300};
    settings.backoff_first = std::chrono::milliseconds{1};
    settings.backoff_max = std::chrono::milliseconds{5};
    return settings;
  }

  ownership::store_read_done read(std::string name) {
    return wait<ownership::store_read_done>([&](auto handler) {
      client.async_read({1, std::move(name)}, handler);
    });
  }

  ownership::store_write_done write(std::string name, std::uint64_t expected, std::string value) {
    return wait<ownership::store_write_done>([&](auto handler) {
      client.async_write({2, std::move(name), expected, std::move(value)}, handler);
    });
  }

  ownership::store_write_done remove(std::string name, std::uint64_t expected) {
    return wait<ownership::store_write_done>([&](auto handler) {
      client.async_remove({3, std::move(name), expected, {}}, handler);
    });
  }

  ownership::store_list_done list(std::string prefix,
                                  std::optional<std::uint64_t> after = std::nullopt) {
    return wait<ownership::store_list_done>([&](auto handler) {
      client.async_list({4, std::move(prefix), after}, handler);
    });
  }

  /// Runs the context until `condition` holds.
  template <class Condition>
  void run_until(Condition condition) {
    while (!condition()) context.run_one();
  }

  boost::asio::io_context context;
  store_stand_in store;
  store_client client;

 private:
  store_client_settings completed(store_client_settings settings) const {
    if (settings.addresses.empty()) settings.addresses = {store.address()};
    return settings;
  }

  template <class Done, class Start>
  Done wait(Start start) {
    std::optional<Done> result;
    start(std::function<void(Done)>([&](Done done) { result = std::move(done); }));
    run_until([&] { return result.has_value(); });
    return std::move(*result);
  }
};

}  // namespace masticshunt::store::testing
