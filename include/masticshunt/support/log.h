/// @file
/// The format of the log, and a limit for lines on hot paths.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"

namespace masticshunt::support {

/// Sets the level (spdlog's names) and the format of the process's log: "key-value" or "json".
void configure_log(const std::string& level, std::string_view format);

/// Returns `text` with quotes, backslashes and control characters escaped as JSON wants them.
std::string json_escaped(std::string_view text);

/// Lets one line through in each interval and counts the others.
///
/// Thread safety: all members may be called from any thread.
///
///     static log_limiter limiter(std::chrono::seconds{1});
///     if (const auto held = limiter.pass(boot_now())) {
///       spdlog::warn("shed requests suppressed={}", *held);
///     }
class log_limiter {
 public:
  explicit log_limiter(duration interval) : interval_(interval) {}

  /// Returns how many lines were held back since the last one, or nothing if this one is to be.
  std::optional<std::uint64_t> pass(time_point now);

 private:
  duration interval_;
  std::atomic<duration::rep> next_{duration::min().count()};
  std::atomic<std::uint64_t> held_{0};
};

}  // namespace masticshunt::support
