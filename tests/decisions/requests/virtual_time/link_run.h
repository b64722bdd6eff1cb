/// @file
/// Lookups and large bodies on one link between regions, with and without a budget.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "decisions/requests/virtual_time/draws.h"
#include "decisions/requests/virtual_time/event_queue.h"
#include "masticshunt/decisions/requests/link_budget.h"

namespace masticshunt::testing {

/// What the lookups and the bodies got.
struct link_result {
  duration lookup_p99{};  ///< Time on the link, queueing included.
  double bulk_share = 0;  ///< Bytes of large bodies as a share of what the link can carry.
  std::uint64_t reserve_broken = 0;
};

/// Sends lookups of 4 KiB at random times, and as much of four large bodies as it may, for a while.
/// Without a budget each body keeps one window of 1 MiB on the way.
inline link_result run_link(bool budgeted, std::uint64_t seed, bool with_bulk = true) {
  constexpr std::uint64_t lookup_bytes = 4'096;
  constexpr std::uint64_t piece_bytes = 65'536;
  constexpr double window_bytes = 4UL << 20U;
  constexpr auto length = std::chrono::seconds{2};
  const requests::link_settings settings;
  requests::link_budget budget{settings};
  draws random{seed};
  time_point link_free{};
  std::uint64_t bulk_bytes = 0;
  std::vector<duration> delays;
  const auto carry = [&](std::uint64_t bytes, time_point now) {
    const auto time =
        static_cast<duration::rep>(1e9 * static_cast<double>(bytes) / settings.bytes_per_second);
    link_free = std::max(link_free, now) + duration{time};
  };
  const auto send_bulk = [&](time_point now) {
    if (!with_bulk) return;
    if (budgeted) {
      const std::uint64_t granted =
          budget.take(requests::transfer_kind::bulk, 4 * piece_bytes, now);
      carry(granted, now);
      bulk_bytes += granted;
      return;
    }
    const auto backlog = [&] {
      const auto waiting = std::max(duration{}, link_free - now);
      return std::chrono::duration<double>(waiting).count() * settings.bytes_per_second;
    };
    while (backlog() + piece_bytes <= window_bytes) {
      carry(piece_bytes, now);
      bulk_bytes += piece_bytes;
    }
  };
  time_point next_bulk{};
  for (time_point now{}; now < time_point{length};
       now += random.exponential(std::chrono::microseconds{50})) {
    for (; next_bulk <= now; next_bulk += std::chrono::microseconds{500}) send_bulk(next_bulk);
    const bool granted =
        !budgeted || budget.take(requests::transfer_kind::lookup, lookup_bytes, now) > 0;
    if (!granted) continue;
    carry(lookup_bytes, now);
    delays.push_back(link_free - now);
  }
  std::ranges::sort(delays);
  const double seconds = std::chrono::duration<double>(length).count();
  return {delays[delays.size() * 99 / 100],
          static_cast<double>(bulk_bytes) / (settings.bytes_per_second * seconds),
          budget.counts().reserve_broken};
}

}  // namespace masticshunt::testing
