/// @file
/// The subcommands of the masticshunt binary.
#pragma once

#include <docopt/docopt.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"

namespace masticshunt::operators {

/// Exit codes of all commands; documented in docs/OPERATORS.md.
enum exit_code : int {
  exit_ok = 0,
  exit_failed = 1,        ///< The command ran and failed, or found a problem.
  exit_usage = 2,         ///< Invalid command line or input file.
  exit_conflict = 3,      ///< Another writer changed the object first.
  exit_unavailable = 4,   ///< The store or an agent did not respond.
  exit_not_accepted = 5,  ///< The record is not accepted, or not in force everywhere yet.
  exit_not_found = 6      ///< The named object does not exist.
};

/// Returns the exit code for a failure of `kind`.
exit_code exit_code_of(failure_kind kind);

/// The parsed arguments of a command, by name of the option or positional argument.
using arguments = std::map<std::string, docopt::value>;

/// Returns the text of the argument `name`, or nothing if it is absent.
std::optional<std::string> text_argument(const arguments& args, const std::string& name);

/// A subcommand.
struct command {
  std::string_view name;
  std::string_view summary;  ///< One line for the list of commands.
  std::string usage;         ///< Usage patterns and options in docopt syntax.
  int (*run)(const arguments& args);
};

/// Returns the commands for operators, which use the store and the agents.
std::span<const command> operator_commands();

/// Runs the command that the first of `words` (without the program name) names, with arguments
/// parsed according to its usage text. Prints help or usage errors. Returns the exit code.
int run_command(std::span<const command> commands, const std::vector<std::string>& words);

}  // namespace masticshunt::operators
