/// @file
/// The rate at which an upstream in need takes requests.
#pragma once

#include <cstddef>
#include <optional>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/token_bucket.h"

namespace masticshunt::requests {

/// Settings of a rate limit.
struct rate_limit_settings {
  /// Requests that were not sent may be sent later at once, up to what the limit allows in this
  /// time.
  duration burst = std::chrono::milliseconds{250};
  /// Under a lower limit, single requests are still let through this far apart: only an answer
  /// tells that the limit has ended.
  duration trial_interval = std::chrono::milliseconds{1'250};
  /// A limit holds until answers have not named it for this long: answers overtake one another.
  duration memory = std::chrono::milliseconds{500};
};

/// Spaces the requests to an upstream by the limit that it names in its answers (a token bucket).
///
/// Without a limit, requests may start at any time. Thread safety: none.
class rate_limit {
 public:
  explicit rate_limit(rate_limit_settings settings = {}) : settings_(settings) {}

  /// An answer of the upstream named `per_second`, or nothing.
  void answered(std::optional<double> per_second, time_point now);
  /// Somebody else was told of a limit of `per_second`. It counts until the first answer.
  void learned(double per_second, time_point now);
  /// Another incarnation of the upstream: it has named nothing so far.
  void reset();
  /// Records that a request starts.
  void started(time_point now);

  /// Returns true if a request may start now.
  [[nodiscard]] bool available(time_point now) const { return wait(0, now) <= duration{}; }
  /// Returns how long a request must wait that has `ahead` requests before it.
  [[nodiscard]] duration wait(std::size_t ahead, time_point now) const;
  /// Returns the limit in force in requests a second, or nothing.
  [[nodiscard]] std::optional<double> limit() const { return limit_; }

 private:
  void set_limit(std::optional<double> per_second, time_point now);

  rate_limit_settings settings_;
  std::optional<double> limit_;
  bool has_answered_ = false;  ///< The incarnation has answered here.
  time_point named_at_{};
  std::optional<token_bucket> bucket_;  ///< Empty without a limit.
};

}  // namespace masticshunt::requests
