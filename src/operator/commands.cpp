#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <iterator>

#include "masticshunt/agent/settings.h"
#include "masticshunt/operator/command.h"
#include "masticshunt/operator/unsupported.h"
#include "masticshunt/support/ini.h"
#include "masticshunt/support/units.h"
#include "operator/internal/agent_query.h"
#include "operator/internal/apply.h"
#include "operator/internal/output.h"

namespace masticshunt::operators {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds agent_deadline{3'000};

std::optional<std::string> option_or_environment(const arguments& args, const std::string& option,
                                                 const char* variable) {
  if (auto text = text_argument(args, option)) return text;
  const char* const value = std::getenv(variable);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::vector<endpoint> split_addresses(std::string_view text) {
  std::vector<endpoint> result;
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    if (end > 0) result.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return result;
}

/// Gives a command access to its options, the environment, the store and the agents.
class command_context {
 public:
  explicit command_context(const arguments& args) : args_(args) {}

  [[nodiscard]] bool as_json() const { return text_argument(args_, "--output") == "json"; }

  /// Prints a failure and returns its exit code.
  int fail(const failure& reason) const {
    print_failure(reason, as_json());
    return exit_code_of(reason.kind);
  }

  /// Prints `text`, or `value` if the output format is JSON.
  void print(const std::string& text, const json& value) const {
    if (as_json()) {
      std::puts(value.dump(-1, ' ', false, json::error_handler_t::replace).c_str());
    } else {
      std::fputs(text.c_str(), stdout);
    }
  }

  /// Returns a session with the store, or nothing after printing a failure.
  std::optional<store_session> store() {
    const auto text = option_or_environment(args_, "--store", "MASTICSHUNT_STORE");
    const auto addresses = split_addresses(text.value_or(""));
    if (addresses.empty()) {
      fail({failure_kind::bad_input, "no store address given",
            "pass --store=IP:PORT or set MASTICSHUNT_STORE"});
      return std::nullopt;
    }
    return std::optional<store_session>(std::in_place, io, addresses);
  }

  /// Returns the operator ports of the agents, or an empty list after printing a failure.
  std::vector<endpoint> agents() const {
    auto result =
        split_addresses(option_or_environment(args_, "--agent", "MASTICSHUNT_AGENTS").value_or(""));
    if (result.empty()) {
      fail({failure_kind::bad_input, "no agent address given",
            "pass --agent=IP:PORT,... (operator ports) or set MASTICSHUNT_AGENTS"});
    }
    return result;
  }

  [[nodiscard]] std::string text(const std::string& name) const {
    return text_argument(args_, name).value_or("");
  }
  [[nodiscard]] bool flag(const std::string& name) const {
    const auto found = args_.find(name);
    return found != args_.end() && found->second.isBool() && found->second.asBool();
  }
  [[nodiscard]] std::vector<std::string> list(const std::string& name) const {
    const auto found = args_.find(name);
    if (found == args_.end() || !found->second.isStringList()) return {};
    return found->second.asStringList();
  }

  boost::asio::io_context io;

 private:
  const arguments& args_;
};

std::string operator_name() {
  const char* const name = std::getenv("MASTICSHUNT_OPERATOR");
  if (name != nullptr) return name;
  const char* const user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

std::optional<std::vector<file_record>> read_files(const std::vector<std::string>& files,
                                                   failure& reason) {
  std::vector<file_record> result;
  for (const auto& path : files) {
    const auto text = support::read_file(path, reason);
    if (!text) return std::nullopt;
    auto records = parse_records(path, *text, reason);
    if (!records) return std::nullopt;
    for (auto& record : *records) {
      const auto duplicate = std::ranges::find_if(result, [&](const file_record& other) {
        return object_name(other.content) == object_name(record.content);
      });
      if (duplicate != result.end()) {
        reason = {failure_kind::bad_input,
                  record.location + ": duplicate of the record at " + duplicate->location,
                  "remove one of the two"};
        return std::nullopt;
      }
      result.push_back(std::move(record));
    }
  }
  return result;
}

/// Returns the name in the store for KIND and NAME, or nothing with `reason` filled.
std::optional<std::string> object_argument(const command_context& context, failure& reason) {
  const auto kind = configuration::kind_from(context.text("KIND"));
  if (kind) return configuration::object_name(*kind, context.text("NAME"));
  reason = {failure_kind::bad_input, "unknown kind of record: " + context.text("KIND"),
            "write service, rank, key-range or drain"};
  return std::nullopt;
}

/// Waits until `revision` is in force at the agents if --wait is given. Returns the exit code.
int wait_if_requested(command_context& context, std::uint64_t revision) {
  if (!context.flag("--wait")) return exit_ok;
  const auto agents = context.agents();
  if (agents.empty()) return exit_usage;
  const auto timeout = support::duration_from(context.text("--timeout"));
  if (!timeout) {
    return context.fail(
        {failure_kind::bad_input, "--timeout is not a duration", "write a duration as 30s or 2m"});
  }
  const auto missing = wait_in_force(context.io, agents, revision, *timeout);
  if (missing.empty()) {
    std::fprintf(stderr, "in force at all %zu agents asked\n", agents.size());
    return exit_ok;
  }
  std::string names;
  for (const auto& each : missing) names += (names.empty() ? "" : ", ") + each;
  print_failure({failure_kind::unavailable,
                 "accepted, but not yet in force at " + names + " within the timeout",
                 "check masticshunt status; the record is stored and needs no second apply"},
                context.as_json());
  return exit_not_accepted;
}

int finish_apply(command_context& context, const apply_report& report) {
  const bool dry_run = context.flag("--dry-run");
  auto value = report_json(report);
  value["dry_run"] = dry_run;
  context.print(report_text(report) + (dry_run ? "dry run: nothing was written\n" : ""), value);
  if (const auto failed = report.first_failure()) return exit_code_of(failed->kind);
  return dry_run ? exit_ok : wait_if_requested(context, report.revision());
}

int apply_and_finish(command_context& context, const std::vector<file_record>& records) {
  auto store = context.store();
  if (!store) return exit_usage;
  const apply_options options{context.flag("--dry-run"), operator_name(), make_write_id()};
  return finish_apply(context, apply_records(*store, records, options));
}

int run_apply(const arguments& args) {
  command_context context(args);
  failure reason;
  auto records = read_files(context.list("FILE"), reason);
  if (!records) return context.fail(reason);
  for (const auto& record : *records) {
    if (auto fault = find_unsupported(record.content)) {
      fault->message = record.location + ": " + fault->message;
      return context.fail(*fault);
    }
  }
  if (!context.text("--expect").empty()) {
    const auto expected = support::count_from(context.text("--expect"));
    if (!expected || records->size() != 1) {
      return context.fail({failure_kind::bad_input, "--expect takes one version, for one record",
                           "write the version in the files as version = N instead"});
    }
    records->front().expected_version = expected;
  }
  return apply_and_finish(context, *records);
}

int run_get(const arguments& args) {
  command_context context(args);
  failure reason;
  const auto name = object_argument(context, reason);
  if (!name) return context.fail(reason);
  auto store = context.store();
  if (!store) return exit_usage;
  const auto done = store->read(*name);
  if (!done.object) return context.fail(done.reason);
  const auto content = configuration::from_value(*name, done.object->value, reason);
  if (!content) return context.fail(reason);
  const auto stamp = configuration::stamp_of(done.object->value);
  context.print(to_ini(*content, done.object->version),
                {{"object", *name},
                 {"version", done.object->version},
                 {"edited_by", stamp.edited_by},
                 {"value", json::parse(done.object->value, nullptr, false)}});
  return exit_ok;
}

int run_list(const arguments& args) {
  command_context context(args);
  const auto kind_text = context.text("KIND");
  if (!kind_text.empty() && !configuration::kind_from(kind_text)) {
    failure reason;
    object_argument(context, reason);
    return context.fail(reason);
  }
  auto store = context.store();
  if (!store) return exit_usage;
  const auto done = store->list("config/" + (kind_text.empty() ? "" : kind_text + "/"));
  if (!done.objects) return context.fail(done.reason);
  std::string text;
  auto items = json::array();
  for (const auto& object : *done.objects) {
    failure reason;
    const auto content = configuration::from_value(object.name, object.value, reason);
    const auto schema =
        content ? std::to_string(content->schema_version) : std::string("unreadable");
    const auto stamp = configuration::stamp_of(object.value);
    text += object.name + "  version=" + std::to_string(object.version) + "  schema=" + schema +
            "  by=" + stamp.edited_by + "\n";
    items.push_back({{"object", object.name},
                     {"version", object.version},
                     {"schema", schema},
                     {"edited_by", stamp.edited_by}});
  }
  context.print(text, {{"revision", done.revision}, {"records", items}});
  return exit_ok;
}

int run_diff(const arguments& args) {
  command_context context(args);
  failure reason;
  const auto records = read_files(context.list("FILE"), reason);
  if (!records) return context.fail(reason);
  auto store = context.store();
  if (!store) return exit_usage;
  apply_report report;
  for (const auto& record : *records) {
    apply_line line{.object = object_name(record.content)};
    const auto done = store->read(line.object);
    if (!done.object && done.reason.kind != failure_kind::not_found)
      return context.fail(done.reason);
    std::optional<configuration::record> stored;
    if (done.object) {
      line.version = done.object->version;
      stored = configuration::from_value(line.object, done.object->value, reason);
    }
    line.changes = differences(stored, record.content);
    line.outcome = line.changes.empty() ? apply_outcome::unchanged
                   : done.object        ? apply_outcome::changed
                                        : apply_outcome::created;
    report.lines.push_back(std::move(line));
  }
  context.print(report_text(report), report_json(report));
  const bool same = std::ranges::all_of(report.lines, [](const apply_line& line) {
    return line.outcome == apply_outcome::unchanged;
  });
  return same ? exit_ok : exit_failed;
}

int finish_delete(command_context& context, store_session& store, const std::string& object,
                  std::uint64_t expected) {
  apply_report report;
  report.lines.push_back(delete_record(store, object, expected));
  return finish_apply(context, report);
}

int run_delete(const arguments& args) {
  command_context context(args);
  failure reason;
  const auto name = object_argument(context, reason);
  if (!name) return context.fail(reason);
  const auto expected = support::count_from(context.text("--expect"));
  if (!expected) {
    return context.fail({failure_kind::bad_input, "--expect is not a version",
                         "write the version that masticshunt get shows"});
  }
  auto store = context.store();
  if (!store) return exit_usage;
  return finish_delete(context, *store, *name, *expected);
}

enum class drain_target { agent, failure_domain };

/// Returns the drain record of the agent or failure domain `target`.
configuration::record drain_of(drain_target kind, const std::string& target) {
  const bool is_agent = kind == drain_target::agent;
  configuration::drain_record result{(is_agent ? "agent-" : "domain-") + target, "", ""};
  std::ranges::replace_if(
      result.name, [](char c) { return !configuration::is_record_name(std::string_view(&c, 1)); },
      '-');
  (is_agent ? result.agent : result.failure_domain) = target;
  return {1, std::move(result)};
}

/// Returns the drain record for "agent NAME" or "domain NAME".
configuration::record drain_from_arguments(const command_context& context) {
  return drain_of(context.flag("agent") ? drain_target::agent : drain_target::failure_domain,
                  context.text("NAME"));
}

int write_drain(command_context& context, const configuration::record& desired) {
  failure reason;
  if (!configuration::from_value(object_name(desired), configuration::to_value(desired), reason)) {
    return context.fail(reason);
  }
  return apply_and_finish(context, {file_record{desired, std::nullopt, "the command line"}});
}

int remove_drain(command_context& context, const configuration::record& desired) {
  auto store = context.store();
  if (!store) return exit_usage;
  const auto done = store->read(object_name(desired));
  if (!done.object) return context.fail(done.reason);
  failure reason;
  const auto stored = configuration::from_value(done.object->name, done.object->value, reason);
  if (stored != desired) {
    return context.fail({failure_kind::conflict,
                         done.object->name + " is not the drain order that would be removed",
                         "check it with masticshunt get, and remove it with masticshunt delete"});
  }
  return finish_delete(context, *store, done.object->name, done.object->version);
}

int run_drain(const arguments& args) {
  command_context context(args);
  return write_drain(context, drain_from_arguments(context));
}

int run_undrain(const arguments& args) {
  command_context context(args);
  return remove_drain(context, drain_from_arguments(context));
}

int run_evacuate(const arguments& args) {
  command_context context(args);
  const auto order = drain_of(drain_target::failure_domain, context.text("ZONE"));
  return context.flag("--undo") ? remove_drain(context, order) : write_drain(context, order);
}

int print_answers(const command_context& context, const std::vector<agent_answer>& answers) {
  auto items = json::array();
  std::string text;
  int result = exit_ok;
  for (const auto& answer : answers) {
    json item{{"agent", answer.agent}};
    if (answer.body) {
      item["answer"] = json::parse(*answer.body, nullptr, false);
      text += answer.agent + "\n" + item["answer"].dump(2) + "\n";
    } else {
      item["error"] = failure_json(answer.reason);
      text += answer.agent + "\n  " + answer.reason.message +
              "\n  remedy: " + answer.reason.remedy + "\n";
      result = exit_code_of(answer.reason.kind);
    }
    items.push_back(std::move(item));
  }
  context.print(text, {{"agents", items}});
  return result;
}

int query_and_print(const arguments& args, const std::string& target) {
  command_context context(args);
  const auto agents = context.agents();
  if (agents.empty()) return exit_usage;
  return print_answers(context, query_agents(context.io, agents, target, agent_deadline));
}

int run_status(const arguments& args) {
  return query_and_print(args, "/status");
}

int run_dump(const arguments& args) {
  return query_and_print(args, "/dump");
}

int run_validate(const arguments& args) {
  command_context context(args);
  failure reason;
  const auto config = text_argument(args, "--config");
  const bool valid = config ? agent::load_agent_settings(*config, reason).has_value()
                            : read_files(context.list("FILE"), reason).has_value();
  if (!valid) return context.fail(reason);
  context.print("valid\n", {{"valid", true}});
  return exit_ok;
}

const std::string output_option = "  --output=FORM    text or json [default: text].\n";
const std::string store_option =
    "  --store=ADDR     The store, IP:PORT,... (or MASTICSHUNT_STORE).\n";
const std::string agent_option =
    "  --agent=ADDR     Operator ports, IP:PORT,... (or MASTICSHUNT_AGENTS).\n";
const std::string dry_run_option = "  --dry-run        Checks everything and writes nothing.\n";
const std::string wait_options =
    "  --wait           Waits until the change is in force at the agents.\n"
    "  --timeout=TIME   How long to wait [default: 30s].\n" +
    agent_option;

/// Returns a usage text of one pattern and its options.
std::string usage(const std::string& pattern, const std::string& options) {
  return "  masticshunt " + pattern + "\n\nOptions:\n" + options + output_option;
}

const std::array commands{
    command{"apply", "Writes records of routing intent to the store",
            usage("apply [options] FILE...",
                  "  --expect=N       The version that the one record was made from.\n" +
                      dry_run_option + wait_options + store_option),
            &run_apply},
    command{"get", "Prints a record in the form that apply reads",
            usage("get [options] KIND NAME", store_option), &run_get},
    command{"list", "Lists the records with their versions",
            usage("list [options] [KIND]", store_option), &run_list},
    command{"diff", "Compares files with the store; exit code 1 if they differ",
            usage("diff [options] FILE...", store_option), &run_diff},
    command{"delete", "Deletes the version of a record that you saw",
            usage("delete [options] --expect=N KIND NAME",
                  "  --expect=N       The version that masticshunt get showed.\n" + wait_options +
                      store_option),
            &run_delete},
    command{"drain", "Takes an agent or a failure domain out of service",
            usage("drain [options] (agent | domain) NAME",
                  dry_run_option + wait_options + store_option),
            &run_drain},
    command{"undrain", "Lifts a drain order",
            usage("undrain [options] (agent | domain) NAME", wait_options + store_option),
            &run_undrain},
    command{
        "evacuate", "Empties a zone, or takes it back into service",
        usage("evacuate [options] ZONE", "  --undo           Takes the zone back into service.\n" +
                                             wait_options + store_option),
        &run_evacuate},
    command{"status", "Prints the status that agents report",
            usage("status [options]", agent_option), &run_status},
    command{"dump", "Prints the whole state of agents", usage("dump [options]", agent_option),
            &run_dump},
    command{"validate", "Checks record files, or an agent's settings",
            usage("validate [options] --config=FILE\n  masticshunt validate [options] FILE...",
                  "  --config=FILE    The agent's settings.\n"),
            &run_validate},
};

}  // namespace

std::span<const command> operator_commands() {
  return commands;
}

}  // namespace masticshunt::operators
