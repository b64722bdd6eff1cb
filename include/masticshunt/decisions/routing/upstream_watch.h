/// @file
/// An agent's view of its local upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::routing {

/// A heartbeat of an upstream.
struct upstream_heartbeat {
  upstream_incarnation incarnation;
  std::string service;
  std::uint32_t slots = 1;
  bool draining = false;
  std::uint64_t sequence = 0;  ///< Rises within one incarnation.
};

/// Tracks the incarnations of the local upstream by its heartbeats.
///
/// Heartbeats may arrive late, also those of an earlier incarnation: an older incarnation, or a
/// lower sequence of the same incarnation, is ignored. An incarnation that said that it drains,
/// leaves or is gone does not become ready again, even if that was the first message received from
/// it. What an earlier process published says which incarnation was there, not that it still is:
/// it may have left meanwhile, and have told only that process. Thread safety: none.
class upstream_watch {
 public:
  /// Without a heartbeat for `timeout`, the upstream counts as gone.
  explicit upstream_watch(duration timeout) : timeout_(timeout) {}

  /// Applies a heartbeat. Returns false if it was outdated.
  bool heartbeat_received(const upstream_heartbeat& heartbeat, time_point now);
  /// The upstream `id` reported that it is gone. Returns false if it is not the current one.
  bool gone(const std::string& id, time_point now);
  /// `incarnation` said in an answer to a request that it leaves: from now on it drains, whatever
  /// its heartbeats say. Returns false if it is not the current one, or drained already.
  bool leaving(const upstream_incarnation& incarnation, time_point now);
  /// Applies the registration that an earlier process on this VM published last, until the first
  /// heartbeat arrives.
  void restore(const registration& published, time_point now);

  /// Returns true if a heartbeat arrived within the timeout: only then may the upstream be used.
  [[nodiscard]] bool present(time_point now) const {
    return last_heartbeat_ && heartbeat_received_ && now - last_heartbeat_at_ < timeout_;
  }
  /// Returns true if this process received a heartbeat.
  [[nodiscard]] bool confirmed() const { return heartbeat_received_; }
  /// Returns true if `stage` can be published: a heartbeat or a deregistration arrived, or nothing
  /// for the timeout after `restore`.
  [[nodiscard]] bool settled(time_point now) const {
    return heartbeat_received_ || gone_ || (restored_at_ && now - *restored_at_ >= timeout_);
  }
  /// Returns when the last heartbeat arrived.
  [[nodiscard]] time_point last_heartbeat_at() const { return last_heartbeat_at_; }
  /// Returns the last heartbeat, or what stands in for it after `restore` or `gone`; or nothing.
  [[nodiscard]] const std::optional<upstream_heartbeat>& last() const { return last_heartbeat_; }
  /// Returns when the upstream reported that it drains or is gone, or nothing.
  [[nodiscard]] std::optional<time_point> draining_since() const { return draining_since_; }
  /// Returns the stage to publish.
  [[nodiscard]] upstream_stage stage(time_point now) const;

 private:
  duration timeout_;
  std::optional<upstream_heartbeat> last_heartbeat_;
  bool heartbeat_received_ = false;
  bool gone_ = false;
  time_point last_heartbeat_at_{};
  std::optional<time_point> restored_at_;
  std::optional<time_point> draining_since_;
};

}  // namespace masticshunt::routing
