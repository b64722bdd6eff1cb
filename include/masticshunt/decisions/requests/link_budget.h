/// @file
/// Bytes and connections of one link between regions: large bodies yield to lookups.
#pragma once

#include <cstdint>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// What a transfer is to the link.
enum class transfer_kind {
  lookup,  ///< Small requests and answers; they go first.
  bulk     ///< Large bodies; they take what lookups leave.
};

/// Settings of a link: one agent's share of it.
struct link_settings {
  double bytes_per_second = 500e6;  ///< 4 Gbit/s.
  duration burst = std::chrono::milliseconds{2};
  double lookup_reserve = 0.5;  ///< Part of the burst that bulk leaves to lookups.
  std::uint32_t connections = 120;
  std::uint32_t connections_for_lookups = 30;  ///< Of these, kept free of bulk.
  bool ignore_reserve = false;                 ///< Test only: bulk takes all.
};

/// Counts of a link.
struct link_counts {
  std::uint64_t lookup_bytes = 0;
  std::uint64_t bulk_bytes = 0;
  std::uint64_t connections_refused = 0;
  std::uint64_t reserve_broken = 0;  ///< Broken promise: bulk took the part kept for lookups.
};

/// Shares a link between lookups and bulk transfers.
///
/// Lookups draw on the whole burst and may run it into debt by one burst; bulk transfers draw only
/// on what is above the reserve, so that they stop first.
/// Life cycle: one for each region that the agent sends to. Ask before sending each piece.
/// Thread safety: none; the shell holds the lock of the link.
class link_budget {
 public:
  explicit link_budget(link_settings settings);

  /// Returns how many of `wanted` bytes may be sent now; takes them from the budget.
  std::uint64_t take(transfer_kind kind, std::uint64_t wanted, time_point now);
  /// Returns how long to wait until `wanted` bytes, or a full piece for bulk, can be taken.
  [[nodiscard]] duration wait_for(transfer_kind kind, std::uint64_t wanted, time_point now) const;
  /// Takes a connection. Returns false if none is left for this kind.
  bool open_connection(transfer_kind kind);
  /// Gives a connection back.
  void close_connection(transfer_kind kind);
  /// Returns the counts so far.
  [[nodiscard]] const link_counts& counts() const { return counts_; }

 private:
  void refill(time_point now);
  [[nodiscard]] double tokens_at(time_point now) const;
  [[nodiscard]] double available(transfer_kind kind, double tokens) const;

  link_settings settings_;
  double tokens_max_;
  double tokens_;
  time_point last_{};
  std::uint32_t lookup_connections_ = 0;
  std::uint32_t bulk_connections_ = 0;
  link_counts counts_;
};

}  // namespace masticshunt::requests
