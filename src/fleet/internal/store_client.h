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

/// Limits of connections to the store. Watches leave them silent, so the kernel must notice early
/// that one has died; a probe that is lost by chance costs only a new watch.
inline constexpr pool_limits store_connections{.connect_timeout = std::chrono::milliseconds{600},
                                               .keepalive_idle = std::chrono::seconds{1},
                                               .keepalive_probes = 1};

/// The answer of the store. Without an answer `verdict` is unset: the call may have taken effect.
struct store_answer {
  bool too_large = false;  ///< The store answered with more than `document_bytes_max`.
  std::optional<platform::store_verdict> verdict;
  store_era era = 0;  ///< In which the store answered.
  std::string body;
  [[nodiscard]] bool done() const { return verdict == platform::store_verdict::done; }
  /// Decodes the body as an object, or as the changes of a watch, with revisions of `era`.
  [[nodiscard]] std::optional<platform::stored_object> object(failure& reason) const {
    return platform::decode_object(body, reason, era);
  }
  [[nodiscard]] std::optional<platform::stored_changes> changes(failure& reason) const {
    return platform::decode_changes(body, reason, era);
  }
};

/// Counters of calls by result.
struct store_counts {
  std::uint64_t calls = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
};

/// Sends calls to the store, and follows its era: an answer of an earlier era than another one
/// before it tells nothing about the present, and counts as no answer.
///
/// Thread safety: none.
class store_client {
 public:
  store_client(const boost::asio::any_io_executor& executor, endpoint address,
               support::event_log& log);

  /// Sends a call. Does not retry. With `cancel`, the call can be given up.
  boost::asio::awaitable<store_answer> call(platform::call request, duration timeout,
                                            cancellation* cancel = nullptr);
  /// Returns all objects of a kind with the revision of the listing, or nothing on failure.
  boost::asio::awaitable<std::optional<platform::stored_page>> list(std::string kind,
                                                                    platform::freshness data);

  /// Adds a callback that runs when the store answers again after a call without an answer.
  /// Connections opened before that call may be dead too.
  void on_regained(std::function<void(time_point lost_at)> action) {
    on_regained_.push_back(std::move(action));
  }
  /// Adds a callback that runs when the store is known to be in a later era, also in the first one
  /// that is known, before the answer that showed it is returned.
  void on_era(std::function<void(store_era)> action) { on_era_.push_back(std::move(action)); }
  /// A peer has seen the store in `era`.
  void era_seen(store_era era);
  [[nodiscard]] bool era_known() const { return era_.has_value(); }
  /// Returns the latest era known; that of a store which states none, if none is known.
  [[nodiscard]] store_era era() const { return era_.value_or(first_store_era); }
  /// Takes all connections opened so far for dead although nothing has failed on them.
  void suspect_connections();

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
  void regained(time_point lost_at) const;

  connection_pool pool_;
  endpoint address_;
  support::event_log& log_;
  store_counts counts_;
  std::optional<time_point> unreachable_since_;
  std::optional<time_point> unanswered_at_;  ///< Of the last call, if no other was answered since.
  std::vector<std::function<void(time_point)>> on_regained_;
  std::optional<store_era> era_;
  std::vector<std::function<void(store_era)>> on_era_;
};

}  // namespace masticshunt::fleet
