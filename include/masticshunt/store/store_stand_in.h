/// @file
/// An in-memory stand-in of the object store, for tests and the demo.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/identity.h"
#include "masticshunt/decisions/ownership/agent_core.h"

namespace masticshunt::store {

/// Call counters of a `store_stand_in`.
struct store_stand_in_counts {
  std::uint64_t calls = 0;  ///< All calls, watches included.
  std::uint64_t reads = 0;  ///< Reads, lists and watches.
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;  ///< Writes refused because of a version mismatch.
  std::uint64_t applied = 0;    ///< Writes that took effect.
  std::uint64_t dropped_responses = 0;
  std::uint64_t waiting_watches = 0;  ///< Watches that are waiting for a change now.
};

/// Serves the store interface of docs/INTERFACES.md over HTTP from memory, with fault injection.
///
/// Listens from construction until `stop` or destruction. The executor's context must outlive it
/// and be run by the caller.
/// Thread safety: all members may be called from any thread.
///
///     boost::asio::io_context context;
///     store_stand_in store(context.get_executor());
///     store.drop_next_responses(1);
///     context.run();
class store_stand_in {
 public:
  /// Listens on `address` and `port` (0: any free port). Throws boost::system::system_error on
  /// failure.
  explicit store_stand_in(const boost::asio::any_io_executor& executor, std::uint16_t port = 0,
                          const std::string& address = "127.0.0.1");
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;

  /// Returns the listening port.
  [[nodiscard]] std::uint16_t port() const;
  /// Returns the listening address, for example "127.0.0.1:4700".
  [[nodiscard]] endpoint address() const;
  /// Closes the listener and all connections.
  void stop();

  /// While `down`, closes every connection without a response, waiting watches included.
  void set_down(bool down);
  /// While `unresponsive`, executes calls but sends no responses.
  void set_unresponsive(bool unresponsive);
  /// Executes each call `apply_delay` after it arrived, and responds `answer_delay` after that.
  void set_slow(std::chrono::milliseconds answer_delay,
                std::chrono::milliseconds apply_delay = std::chrono::milliseconds{0});
  /// Executes the next `count` writes but closes their connections instead of responding.
  void drop_next_responses(std::uint64_t count);
  /// Does the same to a random share of all writes, drawn with `seed`. A share of 0 ends it.
  void drop_response_share(double share, std::uint64_t seed);

  /// Returns the counts since construction.
  [[nodiscard]] store_stand_in_counts counts() const;
  /// Returns an object directly, without a counted call.
  [[nodiscard]] std::optional<ownership::store_object> object(std::string_view name) const;
  /// Sets an object directly, regardless of its version. Returns the new version.
  std::uint64_t put(std::string_view name, std::string value);
  /// Deletes an object directly, regardless of its version.
  void remove(std::string_view name);

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace masticshunt::store
