/// @file
/// A client of the object store, used by agents and by the operator commands.
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

/// Addresses, rate limits and timeouts of a `store_client`.
struct store_client_settings {
  std::vector<endpoint> addresses;  ///< Tried in turn; the next one after a failed connect.
  /// The rate limit of this client, watches included: its share of the rate of the store.
  double calls_per_second = 5;
  double burst = 20;
  std::chrono::milliseconds call_deadline{1'000};
  std::chrono::milliseconds watch_duration{20'000};
  std::chrono::milliseconds backoff_first{50};
  std::chrono::milliseconds backoff_max{2'000};
};

/// Call counters of a `store_client`, for metrics and the state dump.
struct store_client_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t read_backs = 0;      ///< Reads that resolved a write without a response.
  std::uint64_t held_by_budget = 0;  ///< Calls that the rate limit delayed.
};

/// An asynchronous client of the store with a rate limit, deadlines and jittered back-off.
///
/// A write that was sent but got no response, or only a status 429 or 5xx, is resolved by reading
/// the object back and comparing the write ID that every write carries ("write_id" in its JSON
/// value). It is sent again only if the read shows that it has not taken effect. If the read does
/// not succeed before the deadline, the failure says that the write may have taken effect.
/// Calls over the rate limit wait; those that would wait past their deadline end with
/// `over_budget`. If a reused connection responds much later than usual, it is considered dead and
/// the call is retried on a new connection.
/// Handlers are called on the executor, each exactly once, also when the client is stopped.
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
  /// Writes one object if its version in the store is `call.expected_version`.
  void async_write(const ownership::store_write& call,
                   std::function<void(ownership::store_write_done)> handler);
  /// Lists the objects under a prefix, or watches the prefix until an object under it changes.
  void async_list(const ownership::store_list& call,
                  std::function<void(ownership::store_list_done)> handler);
  /// Deletes one object if its version is `call.expected_version`; `call.value` is not used. A
  /// deletion without a response that a read confirms reports version 0.
  void async_remove(const ownership::store_write& call,
                    std::function<void(ownership::store_write_done)> handler);
  /// Ends all pending calls with `unavailable`.
  void stop();
  /// Returns the counts since construction.
  [[nodiscard]] store_client_counts counts() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace masticshunt::store
