/// @file
/// Reconstructs what happened to a request from the logs of several processes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshunt::operators {

/// A parsed line of an event log.
struct log_line {
  double time = 0;  ///< Unix time in seconds, by the clock of the VM that wrote the line.
  std::string agent;
  std::string event;
  std::map<std::string, std::string, std::less<>> values;
  std::string text;  ///< The line from the event name on.

  /// Returns the value of the field `name`, or an empty text.
  [[nodiscard]] std::string_view value(std::string_view name) const;
};

/// Parses a line of an event log, ignoring any prefix before "time=". Returns nothing if the line
/// is not from an event log.
std::optional<log_line> parse_log_line(std::string_view text);

/// The result of `explain_request`.
struct explanation {
  bool found = false;  ///< At least one line has the ID of the request.
  std::string text;    ///< Human-readable: the timeline, its interpretation, and missing lines.
};

/// Explains the request `id`: its log lines in order of time, the meaning of its refusal or
/// failure, the events that the agents involved and the leaders logged shortly before its end, and
/// which lines are missing.
explanation explain_request(std::string_view id, const std::vector<log_line>& lines);

}  // namespace masticshunt::operators
