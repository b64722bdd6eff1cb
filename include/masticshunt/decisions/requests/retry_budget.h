/// @file
/// How many requests may reach upstreams a second time, without a word between agents.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// The bound that all agents together keep, for each service.
struct retry_budget_settings {
  double ratio = 0.2;                          ///< Repeats for each request.
  duration window = std::chrono::seconds{10};  ///< Any span of this length counts.
  double slack = 60;                           ///< Repeats allowed besides, for all agents.
  double used_share = 0.6;                     ///< Of the bound that agents use.
};

/// One agent's part of the bound: repeats in a sliding window against its own requests in it, and
/// an even part of the slack.
///
/// Thread safety: none.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}

  /// Notes a request of a caller for `service`.
  void requested(std::string_view service, time_point now);
  /// Takes one repeat for `service` out of the budget. Returns false if there is none left.
  bool take(std::string_view service, std::size_t agents, time_point now);
  /// Notes that a request for `service` is itself a repeat with probability `share`, since a run
  /// that was repeated may have made it.
  void charge(std::string_view service, double share, time_point now);
  /// Returns how many repeats are left for `service`.
  [[nodiscard]] double left(std::string_view service, std::size_t agents, time_point now);

 private:
  static constexpr std::size_t bucket_count = 20;
  struct counts {
    std::array<double, bucket_count> requests{};
    std::array<double, bucket_count> retries{};
    std::int64_t newest_bucket = 0;
  };
  counts& advance(std::string_view service, time_point now);

  retry_budget_settings settings_;
  std::map<std::string, counts, std::less<>> services_;
};

}  // namespace masticshunt::requests
