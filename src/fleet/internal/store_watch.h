/// @file
/// Follows the objects of one kind in the platform's store.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet/internal/store_client.h"

namespace masticshunt::fleet {

/// Follows a kind of objects: lists it, then watches for changes, and lists again when the store no
/// longer has the history.
///
/// A watch whose connection may be dead is given up and started again. When the store enters
/// another era, the kind is listed again: a watch from an earlier revision would miss what was
/// lost. Thread safety: none.
class store_watch {
 public:
  struct handlers {
    std::function<void(const std::vector<platform::stored_object>&)> listed;
    std::function<void(const platform::stored_change&)> changed;
    /// The store has answered: everything up to this revision was passed to the other handlers. An
    /// answer that was late may state an earlier revision than the last one.
    std::function<void(store_revision)> up_to_date;
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
  /// Asks the store at once whether anything has changed. If the watch should have brought it,
  /// takes the connections to the store for dead.
  boost::asio::awaitable<void> confirm();

 private:
  boost::asio::awaitable<bool> list();
  boost::asio::awaitable<bool> watch();
  boost::asio::awaitable<void> wait(duration span);
  void apply(const platform::stored_changes& changes);
  void forget_history();
  void era_began(store_era era);
  void log_lost_watch(const store_answer& answer, time_point opened);

  store_client& store_;
  std::string kind_;
  reading how_;
  handlers on_;
  boost::asio::steady_timer pause_;
  platform::freshness listing_data_;
  std::optional<store_revision> revision_;  ///< Up to which changes were passed on.
  /// Of the call that waits for changes; null between calls.
  cancellation* waiting_ = nullptr;
  time_point waiting_since_{};
  bool confirming_ = false;
};

}  // namespace masticshunt::fleet
