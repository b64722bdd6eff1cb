/// @file
/// Time and memory measurement and linear fits for the capacity measurements.
#pragma once

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include "capacity_report.h"

namespace masticshunt::capacity {

inline constexpr double not_measured = std::numeric_limits<double>::quiet_NaN();

/// Several readings of one quantity.
struct readings {
  std::vector<double> values;

  [[nodiscard]] double median() const {
    auto sorted = values;
    std::ranges::sort(sorted);
    return sorted.empty() ? not_measured : sorted[sorted.size() / 2];
  }
  /// Returns "median (least to greatest)".
  [[nodiscard]] std::string with_range() const {
    const auto [least, greatest] = std::ranges::minmax(values);
    return format_number(median()) + " (" + format_number(least) + " to " +
           format_number(greatest) + ")";
  }
};

/// Calls `run` `repetitions` times. Returns the nanoseconds for each of its `count` steps, one
/// reading for each call.
template <class Run>
readings time_each(std::size_t count, std::size_t repetitions, Run run) {
  readings result;
  for (std::size_t repeat = 0; repeat < repetitions; ++repeat) {
    const auto start = std::chrono::steady_clock::now();
    run();
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    result.values.push_back(elapsed.count() / static_cast<double>(count));
  }
  return result;
}

/// Returns the bytes of heap that the program has allocated.
inline double heap_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// A linear least-squares fit.
struct slope {
  double at_zero = not_measured;
  double per_unit = not_measured;

  [[nodiscard]] double at(double x) const { return at_zero + per_unit * x; }
};

inline slope fit(const std::vector<std::pair<double, double>>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const auto count = static_cast<double>(points.size());
  const double per_unit = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  return {(sum_y - per_unit * sum_x) / count, per_unit};
}

/// The measured values that the derived tables are computed from.
struct measured_slopes {
  slope routing_bytes_by_range;     ///< Ranges and the descriptions of their owners.
  double lookup_ns = not_measured;  ///< At the largest table.
  double apply_us = not_measured;   ///< One page of 1,600 ranges.
  slope convergence_ms_by_log_agents;
  double idle_bytes_per_second = not_measured;
  double bytes_per_change = not_measured;  ///< Sent by one agent for one small record.
  double messages_per_change = not_measured;
  double remote_bytes_per_change = not_measured;  ///< Between regions, for the whole fleet.
  double ordinary_bytes_per_second = not_measured;
  double ordinary_messages_per_second = not_measured;
  double spread_message_us = not_measured;
  double held_bytes_per_object = not_measured;  ///< Overhead besides name and value.
  double domain_loss_seconds = not_measured;
  double region_return_seconds = not_measured;
  double joiner_seconds = not_measured;
  double channel_message_us = not_measured;        ///< Both ends.
  double channel_connection_bytes = not_measured;  ///< Both ends.
  double store_call_us = not_measured;             ///< Client and stand-in.
  double domain_unavailable_ms = not_measured;     ///< After the loss of a quarter of a group.
  double gate_ns = not_measured;
  double gate_bytes = not_measured;
  double ledger_ns = not_measured;
  double ledger_bytes_per_identity = not_measured;
  double hot_keys_ns = not_measured;
  double hot_keys_bytes = not_measured;
  slope plan_us_by_members;
  slope page_bytes_by_members;
  slope page_decode_us_by_members;
  slope page_encode_us_by_members;
  slope coordinator_messages_by_members;  ///< In and out, a second.
  slope coordinator_bytes_by_members;     ///< Sent, a second.
  slope coordinator_received_by_members;  ///< Received, a second.
  slope coordinator_core_by_members;      ///< Share of a core.
  double owner_bytes_per_second = not_measured;
  double owner_messages_per_second = not_measured;
  double owner_core_share = not_measured;
  double standby_bytes_per_second = not_measured;
  double standby_core_share = not_measured;
  double unavailable_ms = not_measured;  ///< The longest, over the losses of one owner.
};

}  // namespace masticshunt::capacity
