/// @file
/// Starts the agents of a small deployment as processes, with the command of deploy/system.toml and
/// settings made from platform/agent.ini.template.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>

#include "masticshunt/base/identity.h"

namespace masticshunt::review {

/// One machine: its name, place, service and addresses.
struct machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  std::string service;
  int port = 8600;  ///< First of the ports that the machine uses.
  endpoint store;

  [[nodiscard]] endpoint at(int offset) const { return ip + ":" + std::to_string(port + offset); }
  [[nodiscard]] endpoint outbound() const { return at(0); }
  [[nodiscard]] endpoint readiness() const { return at(1); }
  [[nodiscard]] endpoint admin() const { return at(2); }
  [[nodiscard]] endpoint upstream() const { return at(3); }
};

/// The process of one machine. Signals and ends only what it started.
class agent {
 public:
  agent(std::filesystem::path root, machine on, std::filesystem::path directory)
      : root_(std::move(root)), machine_(std::move(on)), directory_(std::move(directory)) {
    write_settings(true);
  }
  ~agent() { stop(SIGKILL); }
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  /// Writes the settings file from the template.
  void write_settings(bool bootstrap) const {
    std::ifstream input(root_ / "platform/agent.ini.template");
    std::stringstream text;
    text << input.rdbuf();
    std::string settings = text.str();
    if (settings.empty()) throw std::runtime_error("no settings template");
    const std::map<std::string, std::string> values{
        {"nodeName", machine_.name},
        {"ip", machine_.ip},
        {"zone", machine_.zone},
        {"region", machine_.region},
        {"bootstrap", bootstrap ? "true" : "false"},
        {"bind.outbound", machine_.outbound()},
        {"bind.readiness", machine_.readiness()},
        {"bind.admin", machine_.admin()},
        {"portRange.0", std::to_string(machine_.port + 4)},
        {"upstream", machine_.upstream()},
        {"service", machine_.service},
        {"heartbeat", "870ms"},
        {"grants", "call"},
        {"platform.address", machine_.store},
        {"limits.linkMbps", "1000"},
        {"limits.memoryMb", "260"},
        {"limits.maxFds", "4100"},
        {"bounds.drain", "2000ms"},
        {"bounds.grace", "6s"},
        {"bounds.config", "2000ms"},
        {"bounds.evacuate", ""},
        {"bounds.holdMax", "10000ms"},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetWindow", "10s"},
        {"bounds.budgetSlack", "60"}};
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (auto at = settings.find(placeholder); at != std::string::npos;
           at = settings.find(placeholder, at + value.size()))
        settings.replace(at, placeholder.size(), value);
    }
    if (settings.find("{{") != std::string::npos)
      throw std::runtime_error("the settings template has a placeholder that this test lacks");
    std::ofstream(settings_path()) << settings;
  }

  void start() {
    const std::string program = (root_ / "target/masticshunt").string();
    const std::string variable = "MASTICSHUNT_CONFIG=" + settings_path().string();
    const std::string log = (directory_ / (machine_.name + ".log")).string();
    const pid_t tester = ::getpid();
    process_ = ::fork();
    if (process_ == 0) run_program(program, variable, log, tester);
    process_ = std::max(process_, 0);
  }
  void signal(int number) const {
    if (process_ > 0) ::kill(process_, number);
  }
  void stop(int number) {
    if (process_ <= 0) return;
    signal(SIGCONT);
    signal(number);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
  }
  /// Returns true if no process runs, so that `start` may be called.
  bool ended() {
    if (process_ <= 0) return true;
    if (::waitpid(process_, nullptr, WNOHANG) != process_) return false;
    process_ = 0;
    return true;
  }
  [[nodiscard]] const machine& on() const { return machine_; }
  [[nodiscard]] pid_t process() const { return process_; }

 private:
  [[noreturn]] static void run_program(const std::string& program, const std::string& variable,
                                       const std::string& log, pid_t tester) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != tester) ::_exit(EXIT_FAILURE);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::string name = program;
    std::string role = "fleet-agent";
    std::string setting = variable;
    char* arguments[] = {name.data(), role.data(), nullptr};
    char* variables[] = {setting.data(), nullptr};
    ::execve(program.c_str(), arguments, variables);
    ::_exit(EXIT_FAILURE);
  }
  [[nodiscard]] std::filesystem::path settings_path() const {
    return directory_ / (machine_.name + ".ini");
  }

  std::filesystem::path root_;
  machine machine_;
  std::filesystem::path directory_;
  pid_t process_ = 0;
};

}  // namespace masticshunt::review
