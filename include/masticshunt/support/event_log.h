/// @file
/// Structured lines on standard output whose volume is bounded and that never block.
#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "masticshunt/base/time.h"

namespace masticshunt::support {

/// Builds the text of a line: the event's name, then "key=value" pairs.
///
///     log.line(line_class::process, event_text("store_lost").add("away", away).text(), now);
class event_text {
 public:
  explicit event_text(std::string_view event) : text_(event) {}

  /// Adds a word without blanks.
  event_text& add(std::string_view name, std::string_view word);
  /// Adds a whole number.
  template <std::integral Number>
  event_text& add(std::string_view name, Number number) {
    return add(name, std::string_view(std::to_string(number)));
  }
  /// Adds a time in milliseconds; `name` should end in "_ms".
  event_text& add(std::string_view name, duration span);
  /// Adds a text between quotes; quotes and line ends in it are replaced.
  event_text& add_quoted(std::string_view name, std::string_view text);

  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// How much a line matters when the budget is short.
enum class line_class {
  process,  ///< Start, stop, reload, dependencies, beliefs.
  failure,  ///< A request that was not served.
  success   ///< A request that was served.
};

/// Budgets of a log, by class of line, in lines a second.
struct event_log_budget {
  std::array<double, 3> lines_per_second{40, 25, 4};
  double burst_seconds = 3;
  std::size_t buffered_bytes_max =
      256 * 1024;  ///< Lines that standard output does not take are lost.
};

/// Writes "time=... event=..." lines. Lines over the budget are counted, and the counts are logged.
///
/// Life cycle: `line` whenever something was decided; `flush` several times a second.
/// Thread safety: none.
class event_log {
 public:
  /// Writes to `descriptor`, which is made non-blocking.
  event_log(int descriptor, std::string process, event_log_budget budget = {});

  /// Adds a line of `kind`. `text` begins with the event's name, then "key=value" pairs.
  void line(line_class kind, std::string_view text, time_point now);
  /// Returns true if a line of `kind` would be written now; else it is counted as held back.
  bool admits(line_class kind, time_point now);
  /// Adds a line that `admits` has let through.
  void write_admitted(std::string_view text) { write(text); }
  /// Passes lines on without waiting.
  void flush(time_point now);
  /// Returns how many lines of `kind` were held back since the start.
  [[nodiscard]] std::uint64_t held_back(line_class kind) const {
    return held_total_.at(static_cast<std::size_t>(kind));
  }
  /// Returns how many lines were lost because standard output took nothing.
  [[nodiscard]] std::uint64_t lost() const { return lost_; }

 private:
  void write(std::string_view text);

  int descriptor_;
  std::string process_;
  event_log_budget budget_;
  std::array<double, 3> tokens_{};
  std::array<std::uint64_t, 3> held_{};
  std::array<std::uint64_t, 3> held_total_{};
  time_point refilled_{};
  time_point next_summary_{};
  std::uint64_t lost_ = 0;
  std::string out_;
};

}  // namespace masticshunt::support
