/// @file
/// The table of commands that the one binary offers.
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

/// Exit codes of every command; docs/OPERATORS.md is their reference.
enum exit_code : int {
  exit_ok = 0,
  exit_failed = 1,        ///< The command ran and found or met a failure.
  exit_usage = 2,         ///< The command line or an input file breaks a rule.
  exit_conflict = 3,      ///< Somebody else changed the object first.
  exit_unavailable = 4,   ///< The store or an agent did not answer.
  exit_not_accepted = 5,  ///< The record is not accepted, or not yet in force everywhere.
  exit_not_found = 6      ///< The named object does not exist.
};

/// Returns the exit code that tells of `kind`.
exit_code exit_code_of(failure_kind kind);

/// The parsed arguments of one command, by option and positional name.
using arguments = std::map<std::string, docopt::value>;

/// Returns the text of argument `name`, or nothing if it was not given.
std::optional<std::string> text_argument(const arguments& args, const std::string& name);

/// One command of the binary.
struct command {
  std::string_view name;
  std::string_view summary;  ///< One line, for the list of commands.
  std::string usage;         ///< Patterns and options in docopt's language.
  int (*run)(const arguments& args);
};

/// Returns the commands that operators use against the store and the agents.
std::span<const command> operator_commands();

/// Finds the command that `words` (without the program's name) start with, parses the rest by its
/// usage and runs it. Prints help or the fault where there is one. Returns the exit code.
int run_command(std::span<const command> commands, const std::vector<std::string>& words);

}  // namespace masticshunt::operators
