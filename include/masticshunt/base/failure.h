/// @file
/// The last reason for an error: a typed kind, what went wrong, and the remedy.
#pragma once

#include <string>
#include <string_view>

namespace masticshunt {

/// The kinds of failure that a caller of our functions can act upon.
enum class failure_kind {
  none,           ///< Nothing failed.
  bad_input,      ///< The input breaks a rule; the same input will fail again.
  conflict,       ///< Somebody else changed the object first.
  not_found,      ///< The object does not exist.
  unavailable,    ///< The other side could not be reached or did not answer in time.
  unsupported,    ///< A schema or protocol version that this build cannot read.
  over_budget,    ///< A limit of ours forbids the call now.
  internal_fault  ///< A broken promise inside the program.
};

/// Returns the name of `kind` as printed in logs and in machine-readable answers.
std::string_view to_string(failure_kind kind);

/// The last reason for an error. Functions that can fail return `std::optional` and fill one.
///
/// Usage:
///
///     failure reason;
///     auto settings = parse_settings(text, reason);
///     if (!settings) return report(reason);
struct failure {
  failure_kind kind = failure_kind::none;
  std::string message;  ///< What went wrong, with the place where there is one.
  std::string remedy;   ///< What the reader can do about it.

  /// Returns "message; remedy" on one line.
  [[nodiscard]] std::string describe() const;
};

}  // namespace masticshunt
