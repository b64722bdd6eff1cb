/// @file
/// Puts a request's story together from the logs of several processes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshunt::operators {

/// One line that an event log wrote.
struct log_line {
  double time = 0;  ///< Unix seconds, by the clock of the VM that wrote it.
  std::string agent;
  std::string event;
  std::map<std::string, std::string, std::less<>> values;
  std::string text;  ///< From the event's name on.

  /// Returns the value called `name`, or an empty text.
  [[nodiscard]] std::string_view value(std::string_view name) const;
};

/// Reads a line of an event log. Whatever stands before its "time=" is left out. Returns nothing if
/// it is no such line.
std::optional<log_line> parse_log_line(std::string_view text);

/// What the logs tell of one request.
struct explanation {
  bool found = false;  ///< Some line names the request.
  std::string text;    ///< For people: the story in order, its meaning, and what is missing.
};

/// Explains the request called `id`: the lines that name it, what its refusal or failure means,
/// what the agents concerned came to believe shortly before, and which lines are missing.
explanation explain_request(std::string_view id, const std::vector<log_line>& lines);

}  // namespace masticshunt::operators
