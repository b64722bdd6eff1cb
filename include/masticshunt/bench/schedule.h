/// @file
/// A seeded open-loop schedule of request arrivals.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace masticshunt::bench {

/// One kind of request.
struct request_kind {
  std::string service = "demo";
  std::string rank;       ///< Empty: the service's default rank.
  std::string report_as;  ///< Label in the result; empty: the rank.
  std::string method = "GET";
  double rate = 100;               ///< Mean arrivals a second.
  std::uint64_t body_bytes = 0;    ///< Size of the request's body.
  std::uint64_t answer_bytes = 0;  ///< Size of the answer asked for; 0: a small receipt.
  std::string key;                 ///< Fixed key of all requests; empty: drawn by popularity.
  std::chrono::milliseconds deadline{5'000};

  /// Returns the label of the results.
  [[nodiscard]] const std::string& label() const { return report_as.empty() ? rank : report_as; }
};

/// Multiplies the rate of all kinds of one rank within a time window.
struct flood {
  std::string rank;
  double factor = 10;
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};
};

/// The popularity distribution of keys.
struct key_popularity {
  std::uint32_t keys = 1'000;
  double zipf_exponent = 1.0;  ///< 0: uniform.
  /// Interval at which the popular keys change; 0: never.
  std::chrono::milliseconds hot_key_shift_interval{0};
};

/// One request of the schedule.
struct arrival {
  std::chrono::nanoseconds at{0};  ///< Time since the start.
  std::uint32_t kind = 0;
  std::uint32_t key = 0;  ///< Index of the key; meaningless if the kind has a fixed key.
};

/// The inputs of a schedule.
struct schedule_settings {
  std::vector<request_kind> kinds;
  std::vector<flood> floods;
  key_popularity popularity;
  std::chrono::milliseconds duration{5'000};
  std::uint64_t seed = 1;
};

/// Returns the arrivals in order of time. Each kind is an independent Poisson process, so that a
/// flood of one kind does not change the arrivals of the others.
std::vector<arrival> make_schedule(const schedule_settings& settings);

/// Returns the name of the key with `index`.
std::string key_name(std::uint32_t index);

}  // namespace masticshunt::bench
