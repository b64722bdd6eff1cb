#include "masticshunt/operator/command.h"

#include <algorithm>
#include <cstdio>
#include <exception>

namespace masticshunt::operators {

namespace {

constexpr int summary_column = 20;

void print_overview(std::span<const command> commands) {
  std::puts("masticshunt " MASTICSHUNT_VERSION
            ": a router for servers that own keys exclusively\n");
  std::puts("Commands (masticshunt COMMAND --help shows the options):");
  for (const auto& each : commands) {
    std::printf("  %-*.*s %.*s\n", summary_column, static_cast<int>(each.name.size()),
                each.name.data(), static_cast<int>(each.summary.size()), each.summary.data());
  }
  std::puts("\nExit codes: 0 ok, 1 failed, 2 usage or bad input, 3 conflict, 4 unavailable,");
  std::puts("            5 not accepted or not yet in force, 6 not found");
}

/// Returns the usage text in docopt syntax: every pattern line starts with the program name.
std::string docopt_text(const command& chosen) {
  return std::string(chosen.summary) + "\n\nUsage:\n" + chosen.usage;
}

int parse_and_run(const command& chosen, const std::vector<std::string>& words) {
  const auto text = docopt_text(chosen);
  arguments parsed;
  try {
    parsed = docopt::docopt_parse(text, words, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    std::puts(text.c_str());
    return exit_ok;
  } catch (const docopt::DocoptArgumentError& error) {
    std::fprintf(stderr, "masticshunt: %s\n%s\n", error.what(), text.c_str());
    return exit_usage;
  }
  try {
    return chosen.run(parsed);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "masticshunt: %s\n", error.what());
    return exit_failed;
  }
}

}  // namespace

exit_code exit_code_of(failure_kind kind) {
  switch (kind) {
    case failure_kind::none:
      return exit_ok;
    case failure_kind::bad_input:
      return exit_usage;
    case failure_kind::conflict:
      return exit_conflict;
    case failure_kind::unavailable:
    case failure_kind::over_budget:
      return exit_unavailable;
    case failure_kind::unsupported:
      return exit_not_accepted;
    case failure_kind::not_found:
      return exit_not_found;
    case failure_kind::internal_fault:
      return exit_failed;
  }
  return exit_failed;
}

std::optional<std::string> text_argument(const arguments& args, const std::string& name) {
  const auto found = args.find(name);
  if (found == args.end() || !found->second.isString()) return std::nullopt;
  return found->second.asString();
}

int run_command(std::span<const command> commands, const std::vector<std::string>& words) {
  if (words.empty() || words.front() == "--help" || words.front() == "-h" ||
      words.front() == "help") {
    print_overview(commands);
    return words.empty() ? exit_usage : exit_ok;
  }
  const auto name = words.front() == "--version" ? std::string("version") : words.front();
  const auto chosen = std::ranges::find(commands, name, &command::name);
  if (chosen == commands.end()) {
    std::fprintf(stderr, "masticshunt: there is no command %s; masticshunt help lists them\n",
                 name.c_str());
    return exit_usage;
  }
  return parse_and_run(*chosen, {words.begin(), words.end()});
}

}  // namespace masticshunt::operators
