/// @file
/// A small stand-in of the platform's object store, for tests and the demo.
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

/// What the stand-in has been asked so far.
struct store_stand_in_counts {
  std::uint64_t calls = 0;  ///< All calls, watches included.
  std::uint64_t reads = 0;  ///< Reads, lists and watches.
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;  ///< Writes that were refused for their version.
  std::uint64_t applied = 0;    ///< Writes that took effect.
  std::uint64_t dropped_responses = 0;
  std::uint64_t waiting_watches = 0;  ///< Watches that wait now.
};

/// The store of docs/INTERFACES.md over HTTP, in memory, with faults that can be switched on.
///
/// Life cycle: listens from construction until `stop` or destruction; the executor's context must
/// outlive it and be run by somebody.
/// Thread safety: all members may be called from any thread.
///
///     boost::asio::io_context context;
///     store_stand_in store(context.get_executor());
///     store.lose_next_answers(1);
///     context.run();
class store_stand_in {
 public:
  /// Listens on `address` and `port` (0: any free one). Throws boost::system::system_error if it
  /// cannot.
  explicit store_stand_in(const boost::asio::any_io_executor& executor, std::uint16_t port = 0,
                          const std::string& address = "127.0.0.1");
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;

  /// Returns the port that it listens on.
  [[nodiscard]] std::uint16_t port() const;
  /// Returns where it listens, for example "127.0.0.1:4700".
  [[nodiscard]] endpoint address() const;
  /// Closes the listener and all connections.
  void stop();

  /// While `down`, closes every connection without an answer, waiting watches included.
  void set_down(bool down);
  /// While `unresponsive`, takes calls and carries them out but answers none.
  void set_unresponsive(bool unresponsive);
  /// Answers `answer_delay` after a call was carried out, and carries out calls `apply_delay`
  /// after they arrived.
  void set_slow(std::chrono::milliseconds answer_delay,
                std::chrono::milliseconds apply_delay = std::chrono::milliseconds{0});
  /// Carries out the next `count` writes but closes their connections in place of answering.
  void drop_next_responses(std::uint64_t count);
  /// Does the same to a share of all writes, chosen from `seed`. 0 ends it.
  void drop_response_share(double share, std::uint64_t seed);

  /// Returns the counts so far.
  [[nodiscard]] store_stand_in_counts counts() const;
  /// Returns an object without a call.
  [[nodiscard]] std::optional<ownership::store_object> object(std::string_view name) const;
  /// Sets an object without a call and whatever its version; returns the new version.
  std::uint64_t put(std::string_view name, std::string value);
  /// Deletes an object without a call.
  void remove(std::string_view name);

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace masticshunt::store
