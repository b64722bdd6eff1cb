/// @file
/// The platform's object store as an agent and the operator's command use it.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"
#include "masticshunt/decisions/ownership/agent_core.h"

namespace masticshunt::store {

/// Limits that the client keeps.
struct store_client_settings {
  std::vector<endpoint> addresses;  ///< Tried in turn.
  double calls_per_second = 5;      ///< The agent's share of the store's rate, watches included.
  double burst = 20;
  std::chrono::milliseconds call_deadline{1'000};
  std::chrono::milliseconds watch_duration{20'000};
  std::chrono::milliseconds backoff_first{50};
  std::chrono::milliseconds backoff_max{2'000};
};

/// Counts of the client's calls, for metrics and the dump.
struct store_client_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t read_backs = 0;      ///< Lost answers resolved by reading back.
  std::uint64_t held_by_budget = 0;  ///< Calls that waited for the rate budget.
};

/// An asynchronous client of the store with a rate budget, deadlines and jittered back-off.
///
/// A write whose answer was lost is resolved by reading the object back and comparing the identity
/// that every write carries ("write_id" in its JSON value); it is never sent twice blindly. If that
/// does not succeed before the deadline, the failure says that the write may have taken effect.
/// Calls that would exceed the budget wait; those that would wait past their deadline end with
/// `over_budget`. A kept connection that answers much later than usual is taken for silent, and the
/// call moves to a new one.
/// Life cycle: handlers are called on the executor, each once, also when the client is stopped.
/// Thread safety: all members may be called from any thread.
class store_client {
 public:
  store_client(boost::asio::any_io_executor executor, store_client_settings settings,
               std::uint64_t seed);
  ~store_client();
  store_client(const store_client&) = delete;
  store_client& operator=(const store_client&) = delete;

  /// Reads one object.
  void async_read(const ownership::store_read& call,
                  std::function<void(ownership::store_read_done)> handler);
  /// Writes one object if its version is as expected.
  void async_write(const ownership::store_write& call,
                   std::function<void(ownership::store_write_done)> handler);
  /// Lists a prefix, or waits for a change of it.
  void async_list(const ownership::store_list& call,
                  std::function<void(ownership::store_list_done)> handler);
  /// Deletes one object if its version is `call.expected_version`; `call.value` is not used. A
  /// deletion whose answer was lost, and that shows when read back, has version 0.
  void async_remove(const ownership::store_write& call,
                    std::function<void(ownership::store_write_done)> handler);
  /// Ends all calls with `unavailable`.
  void stop();
  /// Returns the counts so far.
  [[nodiscard]] store_client_counts counts() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace masticshunt::store
