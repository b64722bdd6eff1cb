/// @file
/// Describes why an operation failed: a typed kind, a message and a remedy.
#pragma once

#include <string>
#include <string_view>

namespace masticshunt {

/// The kinds of failure that callers of library functions can handle.
enum class failure_kind {
  none,           ///< Nothing failed.
  bad_input,      ///< The input is invalid; retrying with the same input fails again.
  conflict,       ///< Another writer changed the object first.
  not_found,      ///< The object does not exist.
  unavailable,    ///< The peer was unreachable or did not answer in time.
  unsupported,    ///< This build does not support the schema or protocol version.
  over_budget,    ///< A local rate limit or budget forbids the call now.
  internal_fault  ///< An internal invariant was violated.
};

/// Returns the name of `kind` as printed in logs and machine-readable responses.
std::string_view to_string(failure_kind kind);

/// Describes one error. Functions that can fail return `std::optional` or `bool` and set a
/// `failure` that the caller passes.
///
/// Usage:
///
///     failure reason;
///     auto settings = parse_settings(text, reason);
///     if (!settings) return report(reason);
struct failure {
  failure_kind kind = failure_kind::none;
  std::string message;  ///< What went wrong, with the file and line where they apply.
  std::string remedy;   ///< What the reader can do to correct it.

  /// Returns "message; remedy" on one line.
  [[nodiscard]] std::string describe() const;
};

}  // namespace masticshunt
