/// @file
/// Which large bodies may travel over a VM's link now.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Names one transfer.
using transfer_id = std::uint64_t;

/// A transfer that asks to begin.
struct transfer_request {
  transfer_id id = 0;
  std::uint64_t bytes = 0;
  time_point deadline;
};

/// What became of a transfer.
struct transfer_action {
  enum class kind { start, refuse };
  kind what = kind::start;
  transfer_id id = 0;
};
using transfer_actions = std::vector<transfer_action>;

/// Settings of a link.
struct transfer_settings {
  double bytes_per_second = 125e6;
  double share = 0.7;  ///< Of the link, for large bodies; the rest is for everything else.
  duration in_flight_time =
      std::chrono::milliseconds{100};  ///< Of the link's time, that may be under way.
  double wait_share = 0.25;  ///< Of the time left that a transfer may wait before it is refused.
};

/// Lets large bodies travel one after the other as fast as the link takes them, so that small
/// requests behind them are not held up, and refuses those that would wait too long.
///
/// Life cycle: `offer` each transfer; report `finished` once for each started one, however it
/// ended. Thread safety: none.
class transfer_queue {
 public:
  explicit transfer_queue(transfer_settings settings) : settings_(settings) {}

  /// Asks for a transfer: it is started, kept, or refused.
  void offer(const transfer_request& request, time_point now, transfer_actions& out);
  /// A started transfer has ended.
  void finished(transfer_id id, transfer_actions& out);
  /// Nobody waits for `id` any more. Returns false if it was not waiting.
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
