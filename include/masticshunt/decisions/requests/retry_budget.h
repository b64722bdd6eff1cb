/// @file
/// A budget for retries that may reach an upstream a second time, kept without communication
/// between agents.
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
  double ratio = 0.2;                          ///< Retries for each request.
  duration window = std::chrono::seconds{10};  ///< The bound holds over any span of this length.
  double slack = 60;        ///< Further retries in a window, for all agents together.
  double used_share = 0.6;  ///< Share of the bound that the agents use.
};

/// One agent's part of the bound: limits its retries in a sliding window by its own requests in
/// that window plus an equal share of the slack.
///
/// Thread safety: none.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}

  /// Changes the bound for retries from now on.
  void set_bound(double ratio, double slack);
  /// Records a request of a caller for `service`.
  void record_request(std::string_view service, time_point now);
  /// Takes one retry for `service` from the budget. Returns false if the budget is exhausted.
  bool take(std::string_view service, std::size_t agents, time_point now);
  /// Charges `share` of a retry for a request for `service`: `share` is the probability that the
  /// request was made by an execution that is itself a retry.
  void charge(std::string_view service, double share, time_point now);
  /// Returns the number of retries that remain for `service`.
  [[nodiscard]] double remaining(std::string_view service, std::size_t agents, time_point now);

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
