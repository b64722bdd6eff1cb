/// @file
/// Selects the rank that the next free slot goes to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// One rank's use of the concurrency.
struct rank_share {
  double floor = 0;
  std::uint32_t running = 0;
  std::uint32_t eligible = 0;     ///< Waiting attempts that could start.
  double credit = 0;              ///< Slot-nanoseconds by which the rank is behind its floor.
  std::uint32_t passed_over = 0;  ///< Starts of other ranks while a whole slot was due to this one.
};

/// Divides the concurrency between ranks: ranks behind their floors first, then by urgency.
///
/// While a rank has waiting attempts and uses fewer slots than its floor, it earns credit at the
/// rate of the difference; it spends credit while it uses more. Unused floors are lent to other
/// ranks by urgency and reclaimed with the next free slot. A rank that is owed a whole slot and was
/// passed over for more starts than the concurrency limit goes before all other ranks, even if
/// their attempts end immediately. Thread safety: none.
class rank_shares {
 public:
  explicit rank_shares(std::vector<double> floors);

  /// Returns one rank's share.
  [[nodiscard]] rank_share& at(std::size_t rank) { return ranks_[rank]; }
  [[nodiscard]] const rank_share& at(std::size_t rank) const { return ranks_[rank]; }
  /// Returns the number of ranks.
  [[nodiscard]] std::size_t size() const { return ranks_.size(); }

  /// Updates the credits up to `now` under a concurrency `limit`; `usual_service` bounds the
  /// credit and the debt that are carried over.
  void advance(double limit, duration usual_service, time_point now);

  /// Returns the rank that the next free slot goes to, if any rank has an eligible attempt.
  [[nodiscard]] std::optional<std::size_t> next(double limit, bool ignore_floors) const;

  /// Reports that an attempt of `rank` starts. Returns false if a rank that is owed a whole slot
  /// was passed over more often than the floors allow.
  bool started(std::size_t rank, double limit);

 private:
  [[nodiscard]] bool is_owed(const rank_share& share, double limit) const;

  std::vector<rank_share> ranks_;
  time_point last_;
};

}  // namespace masticshunt::requests
