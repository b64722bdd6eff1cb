/// @file
/// A structured event log that is rate-limited and never blocks.
#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"

namespace masticshunt::support {

/// Builds the text of a log line: the name of the event, followed by "key=value" pairs.
///
///     log.line(line_class::process, event_text("store_lost").add("away", away).text(), now);
class event_text {
 public:
  explicit event_text(std::string_view event) : text_(event) {}

  /// Adds a value that contains no spaces.
  event_text& add(std::string_view name, std::string_view value);
  /// Adds an integer.
  template <std::integral Number>
  event_text& add(std::string_view name, Number number) {
    return add(name, std::string_view(std::to_string(number)));
  }
  /// Adds a number with two decimals, or "none".
  event_text& add(std::string_view name, const std::optional<double>& number);
  /// Adds a duration in milliseconds; `name` should end in "_ms".
  event_text& add(std::string_view name, duration span);
  /// Adds a quoted text; quotes and line breaks in it are replaced by '.
  event_text& add_quoted(std::string_view name, std::string_view text);

  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// The class of a line; each class has its own rate limit.
enum class line_class {
  process,  ///< Start, stop, reload, dependencies, changes of the local view.
  failure,  ///< A request that was not served.
  success   ///< A request that was served.
};

/// Rate limits of a log, by class of line.
struct event_log_budget {
  std::array<double, 3> lines_per_second{40, 25, 4};
  double burst_seconds = 3;
  /// Lines are dropped while more than this is buffered because the descriptor accepts no data.
  std::size_t buffered_bytes_max = 256 * 1024;
};

/// Writes "time=... event=..." lines. Counts lines over the rate limit and logs the counts.
///
/// Usage: call `line` for each event and `flush` several times a second.
/// Thread safety: none.
class event_log {
 public:
  /// Logs to `descriptor` and makes it non-blocking. `process` names the process in every line.
  event_log(int descriptor, std::string process, event_log_budget budget = {});

  /// Adds a line of class `kind`, unless over its limit. `text` is the event's name followed by
  /// "key=value" pairs.
  void line(line_class kind, std::string_view text, time_point now);
  /// Takes one line of class `kind` from the rate limit. Returns false and counts the line as held
  /// back if the limit is exhausted.
  bool admits(line_class kind, time_point now);
  /// Adds a line that `admits` has accepted.
  void write_admitted(std::string_view text) { write(text); }
  /// Writes buffered lines to the descriptor without blocking.
  void flush(time_point now);
  /// Returns the total number of lines of class `kind` that the rate limit held back.
  [[nodiscard]] std::uint64_t held_back(line_class kind) const {
    return held_total_.at(static_cast<std::size_t>(kind));
  }
  /// Returns the number of lines dropped because the buffer was full.
  [[nodiscard]] std::uint64_t lost() const { return lost_; }

 private:
  void write(std::string_view text);

  int descriptor_;
  std::string process_;
  event_log_budget budget_;
  std::array<double, 3> tokens_{};
  std::array<std::uint64_t, 3> held_since_summary_{};
  std::array<std::uint64_t, 3> held_total_{};
  time_point refilled_{};
  time_point next_summary_{};
  std::uint64_t lost_ = 0;
  std::string buffer_;
};

}  // namespace masticshunt::support
