/// @file
/// A client of the platform's store, with watches of object kinds.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/internal/http_client.h"
#include "masticshunt/support/event_log.h"
#include "platform/calls.h"
#include "platform/documents.h"

namespace masticshunt::fleet {

/// The answer of the store. Without an answer `verdict` is unset: the call may have taken effect.
struct store_answer {
  std::optional<platform::store_verdict> verdict;
  std::string body;
  [[nodiscard]] bool done() const { return verdict == platform::store_verdict::done; }
};

/// Counters of calls by result.
struct store_counts {
  std::uint64_t calls = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
};

/// Sends calls to the store.
///
/// Thread safety: none.
class store_client {
 public:
  store_client(const boost::asio::any_io_executor& executor, endpoint address,
               support::event_log& log);

  /// Sends a call. Does not retry.
  boost::asio::awaitable<store_answer> call(platform::call request, duration timeout);
  /// Returns all objects of a kind with the revision of the listing, or nothing on failure.
  boost::asio::awaitable<std::optional<platform::stored_page>> list(std::string kind,
                                                                    platform::freshness data);

  [[nodiscard]] const store_counts& counts() const { return counts_; }
  /// Returns true if the last call was answered and not refused.
  [[nodiscard]] bool reached() const { return !unreachable_since_; }
  void sweep(time_point now) { pool_.sweep(now); }
  [[nodiscard]] const boost::asio::any_io_executor& executor() const { return pool_.executor(); }
  [[nodiscard]] support::event_log& log() { return log_; }
  /// Logs why objects of `kind` were left out.
  void log_unreadable(const std::string& kind, const std::vector<std::string>& reasons);

 private:
  void set_reached(bool reached, const std::string& why);

  connection_pool pool_;
  endpoint address_;
  support::event_log& log_;
  store_counts counts_;
  std::optional<time_point> unreachable_since_;
};

/// Follows a kind of objects: lists it, then watches for changes, and lists again when the store no
/// longer has the history.
///
/// Thread safety: none.
class store_watch {
 public:
  struct handlers {
    std::function<void(const std::vector<platform::stored_object>&)> listed;
    std::function<void(const platform::stored_change&)> changed;
    /// The store has answered: everything up to now was passed to the other handlers.
    std::function<void()> up_to_date;
  };
  /// How the kind is read: its first listing, and everything after it.
  struct reading {
    platform::freshness first_listing = platform::freshness::current;
    platform::freshness changes = platform::freshness::current;
    duration batching{};  ///< Pause after changes, so that further ones arrive together.
  };
  store_watch(store_client& store, std::string kind, reading how, handlers on);

  /// Follows the kind for the lifetime of the process.
  boost::asio::awaitable<void> run();
  /// Ends a pause between calls early.
  void poll_now() { pause_.cancel(); }

 private:
  boost::asio::awaitable<void> wait(duration span);

  store_client& store_;
  std::string kind_;
  reading how_;
  handlers on_;
  boost::asio::steady_timer pause_;
};

}  // namespace masticshunt::fleet
