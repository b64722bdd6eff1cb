#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <string_view>

#include "masticshunt/agent/run.h"
#include "masticshunt/agent/settings.h"
#include "masticshunt/bench/run.h"
#include "masticshunt/demo/run.h"
#include "masticshunt/fleet/run.h"
#include "masticshunt/operator/command.h"
#include "masticshunt/operator/explain.h"
#include "masticshunt/store/store_stand_in.h"
#include "masticshunt/support/log.h"
#include "masticshunt/upstream/stand_in.h"

namespace {

using masticshunt::operators::arguments;
using masticshunt::operators::command;
using masticshunt::operators::exit_ok;
using masticshunt::operators::exit_usage;
using masticshunt::operators::text_argument;

constexpr std::uint64_t port_max = 65'535;
constexpr std::uint64_t slots_max = 100'000;

/// Returns the unsigned integer argument called `name`, or nothing if it is not one.
std::optional<std::uint64_t> number_argument(const arguments& args, const char* name) {
  const auto text = text_argument(args, name).value_or("");
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

int run_version(const arguments& /*with*/) {
  std::puts("masticshunt " MASTICSHUNT_VERSION " (built " __DATE__ ", compiler " __VERSION__ ")");
  return exit_ok;
}

int run_agent_command(const arguments& args) {
  masticshunt::failure reason;
  const auto settings =
      masticshunt::agent::load_agent_settings(text_argument(args, "--config").value_or(""), reason);
  if (!settings) {
    std::fprintf(stderr, "masticshunt: %s\n", reason.describe().c_str());
    return exit_usage;
  }
  masticshunt::support::configure_log(settings->log.level, settings->log.format);
  return masticshunt::agent::run_agent(*settings);
}

int run_fleet_agent_command(const arguments& args) {
  auto path = text_argument(args, "--config");
  if (!path) {
    const char* configured = std::getenv("MASTICSHUNT_CONFIG");
    path = configured == nullptr ? "" : configured;
  }
  return masticshunt::fleet::run_fleet_agent(*path);
}

int run_store_stand_in(const arguments& args) {
  const auto port = number_argument(args, "--port");
  if (!port || *port > port_max) {
    std::fputs("masticshunt: --port is not a port number; write a number from 0 to 65535\n",
               stderr);
    return exit_usage;
  }
  boost::asio::io_context context;
  masticshunt::store::store_stand_in store(context.get_executor(),
                                           static_cast<std::uint16_t>(*port));
  std::printf("store stand-in listens on %s\n", store.address().c_str());
  std::fflush(stdout);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const auto&, int) { context.stop(); });
  context.run();
  return exit_ok;
}

/// Reads --seconds and --seed. Returns false after printing an error if one is not a valid number.
bool read_run_length(const arguments& args, std::chrono::seconds& length, std::uint64_t& seed) {
  const auto seconds = number_argument(args, "--seconds");
  const auto given_seed = number_argument(args, "--seed");
  if (!seconds || !given_seed || *seconds == 0) {
    std::fputs("masticshunt: --seconds takes a positive whole number, --seed a whole number\n",
               stderr);
    return false;
  }
  length = std::chrono::seconds{*seconds};
  seed = *given_seed;
  return true;
}

int run_demo(const arguments& args) {
  masticshunt::demo::demo_options options;
  options.deployment = text_argument(args, "--deployment").value_or(options.deployment);
  if (!read_run_length(args, options.duration, options.seed)) return exit_usage;
  return masticshunt::demo::run(options);
}

int run_bench(const arguments& args) {
  masticshunt::bench::bench_options options;
  options.deployment = text_argument(args, "--deployment").value_or(options.deployment);
  options.output_directory = text_argument(args, "--results").value_or("");
  options.strict = args.at("--strict").asBool();
  if (const auto scenario = text_argument(args, "--scenario")) options.scenarios = {*scenario};
  if (!read_run_length(args, options.duration, options.seed)) return exit_usage;
  return masticshunt::bench::run(options);
}

int run_explain(const arguments& args) {
  std::vector<masticshunt::operators::log_line> lines;
  for (const auto& path : args.at("FILE").asStringList()) {
    std::ifstream file(path);
    if (!file) {
      std::fprintf(stderr, "masticshunt: cannot read %s; give the logs of agents\n", path.c_str());
      return exit_usage;
    }
    for (std::string text; std::getline(file, text);)
      if (auto line = masticshunt::operators::parse_log_line(text))
        lines.push_back(std::move(*line));
  }
  const auto explanation =
      masticshunt::operators::explain_request(text_argument(args, "ID").value_or(""), lines);
  std::fputs(explanation.text.c_str(), stdout);
  return explanation.found ? exit_ok : masticshunt::operators::exit_not_found;
}

int run_upstream_stand_in(const arguments& args) {
  masticshunt::upstream::stand_in_settings settings;
  settings.service = text_argument(args, "--service").value_or(settings.service);
  settings.agent = text_argument(args, "--agent").value_or("");
  const auto port = number_argument(args, "--port");
  const auto slots = number_argument(args, "--slots");
  const auto incarnation = number_argument(args, "--incarnation");
  if (!port || *port > port_max || !slots || *slots == 0 || *slots > slots_max || !incarnation) {
    std::fputs("masticshunt: --port, --slots or --incarnation is out of range; see --help\n",
               stderr);
    return exit_usage;
  }
  settings.port = static_cast<std::uint16_t>(*port);
  settings.slots = static_cast<std::uint32_t>(*slots);
  settings.incarnation = *incarnation;
  return masticshunt::upstream::run_stand_in(settings);
}

const std::array local_commands{
    command{"demo", "Runs both example deployments in this process, with faults",
            "  masticshunt demo [--deployment=NAME] [--seconds=N] [--seed=N]\n\nOptions:\n"
            "  --deployment=NAME  imhof, llyfrnod or both [default: both].\n"
            "  --seconds=N        How long each deployment is under load [default: 12].\n"
            "  --seed=N           Drives the load [default: 1].\n",
            &run_demo},
    command{"agent", "Runs the agent beside one upstream",
            "  masticshunt agent --config=FILE\n\nOptions:\n"
            "  --config=FILE  The agent's settings.\n",
            &run_agent_command},
    command{"fleet-agent", "Runs the agent beside one upstream of the users' platform",
            "  masticshunt fleet-agent [--config=FILE]\n\nOptions:\n"
            "  --config=FILE  The agent's settings; by default the file that the environment\n"
            "                 variable MASTICSHUNT_CONFIG names.\n",
            &run_fleet_agent_command},
    command{"bench", "Measures the path over loopback sockets against its targets",
            "  masticshunt bench [options]\n\nOptions:\n"
            "  --deployment=NAME  imhof, llyfrnod or both [default: imhof].\n"
            "  --scenario=NAME    One scenario only.\n"
            "  --seconds=N        Load of one scenario [default: 3].\n"
            "  --seed=N           Drives the load [default: 1].\n"
            "  --results=DIR      Where results and plots go.\n"
            "  --strict           A missed target fails the run as well.\n",
            &run_bench},
    command{"store-stand-in", "Runs an in-memory stand-in of the platform's store",
            "  masticshunt store-stand-in [--port=N]\n\nOptions:\n"
            "  --port=N  The port on 127.0.0.1 [default: 4700].\n",
            &run_store_stand_in},
    command{"upstream-stand-in", "Runs a stand-in of an upstream server",
            "  masticshunt upstream-stand-in [options]\n\nOptions:\n"
            "  --service=NAME   The service that it serves [default: demo].\n"
            "  --port=N         The port on 127.0.0.1; 0 takes any [default: 0].\n"
            "  --agent=ADDR     The upstream port of the agent beside it, IP:PORT.\n"
            "  --slots=N        Requests it runs at once, 1 to 100000 [default: 12].\n"
            "  --incarnation=N  Changes when it restarts without its state [default: 1].\n",
            &run_upstream_stand_in},
    command{
        "explain", "Explains what happened to a request from the logs of several agents",
        "  masticshunt explain ID FILE...\n\nThe FILEs are what agents wrote to standard output; "
        "agents of both ends\nof the request should be among them.\n",
        &run_explain},
    command{"version", "Prints the version and build", "  masticshunt version\n", &run_version},
};

}  // namespace

int main(int argc, char** argv) {
  // A reload signal must not end an agent that has not installed its handlers; what changed by then
  // is read with the settings.
  const bool is_agent = argc > 1 && std::string_view(argv[1]) == "fleet-agent";
  if (is_agent) std::signal(SIGHUP, SIG_IGN);
  const auto remote = masticshunt::operators::operator_commands();
  std::vector<command> commands(remote.begin(), remote.end());
  std::ranges::copy(local_commands, std::back_inserter(commands));
  return masticshunt::operators::run_command(commands, {argv + 1, argv + argc});
}
