/// @file
/// Schedules the transfers of large bodies over a VM's link.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Identifies one transfer.
using transfer_id = std::uint64_t;

/// A request to start a transfer.
struct transfer_request {
  transfer_id id = 0;
  std::uint64_t bytes = 0;
  time_point deadline;
};

/// A decision of the queue about one transfer.
struct transfer_action {
  enum class kind { start, refuse };
  kind decision = kind::start;
  transfer_id id = 0;
};
using transfer_actions = std::vector<transfer_action>;

/// Settings of a link.
struct transfer_settings {
  double bytes_per_second = 125e6;
  double share = 0.7;  ///< Share of the link for large bodies; the rest is for other traffic.
  /// Maximum data in flight, as transfer time at `share` of the link. A single transfer may exceed
  /// it.
  duration in_flight_time = std::chrono::milliseconds{100};
  /// A transfer is refused if it would wait longer than this share of its remaining time.
  double wait_share = 0.25;
};

/// Starts large transfers in order of arrival at the rate that their share of the link can carry,
/// so that they do not delay small requests, and refuses transfers that would wait too long.
///
/// Usage: call `offer` for each transfer and `finished` once for each started one, however it
/// ended. Thread safety: none.
class transfer_queue {
 public:
  explicit transfer_queue(transfer_settings settings) : settings_(settings) {}

  /// Offers a transfer: it is started, queued, or refused.
  void offer(const transfer_request& request, time_point now, transfer_actions& out);
  /// Reports that a started transfer ended.
  void finished(transfer_id id, transfer_actions& out);
  /// Removes a waiting transfer whose caller stopped waiting. Returns false if it was not waiting.
  bool abandoned(transfer_id id);

  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] std::size_t in_flight() const { return in_flight_.size(); }

 private:
  [[nodiscard]] bool fits(std::uint64_t bytes) const;
  void start_waiting(transfer_actions& out);

  transfer_settings settings_;
  std::deque<transfer_request> waiting_;
  std::map<transfer_id, std::uint64_t> in_flight_;
  std::uint64_t bytes_in_flight_ = 0;
  std::uint64_t bytes_waiting_ = 0;
};

}  // namespace masticshunt::requests
