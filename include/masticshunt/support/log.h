/// @file
/// Configures the process log and limits the rate of lines on hot paths.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"

namespace masticshunt::support {

/// Sets the level (an spdlog level name) and the format ("key-value" or "json") of the process log.
void configure_log(const std::string& level, std::string_view format);

/// Returns `text` with quotes, backslashes and control characters escaped for a JSON string.
std::string json_escaped(std::string_view text);

/// Admits one line per interval and counts the suppressed ones.
///
/// Thread safety: all members may be called from any thread.
///
///     static log_limiter limiter(std::chrono::seconds{1});
///     if (const auto suppressed = limiter.pass(boot_now())) {
///       spdlog::warn("shed requests suppressed={}", *suppressed);
///     }
class log_limiter {
 public:
  explicit log_limiter(duration interval) : interval_(interval) {}

  /// Returns the number of lines suppressed since the last admitted one, or nothing if this line is
  /// to be suppressed too.
  std::optional<std::uint64_t> pass(time_point now);

 private:
  duration interval_;
  std::atomic<duration::rep> next_{duration::min().count()};
  std::atomic<std::uint64_t> suppressed_{0};
};

}  // namespace masticshunt::support
