/// @file
/// Agents as real processes on loopback, each with an address of its own.
#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include "masticshunt/base/identity.h"

namespace masticshunt::process_soak {

/// Where one agent and its neighbours are.
struct agent_place {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  std::string service;
  endpoint upstream;  ///< The proxy before the upstream.
  endpoint store;     ///< The proxy before the store.

  [[nodiscard]] endpoint callers() const { return ip + ":7501"; }
  [[nodiscard]] endpoint readiness() const { return ip + ":7502"; }
  [[nodiscard]] endpoint upstream_side() const { return ip + ":7503"; }
};

/// One agent's process. Ends only processes that it started.
class agent {
 public:
  agent(std::string program, agent_place place, std::filesystem::path directory)
      : program_(std::move(program)), place_(std::move(place)), directory_(std::move(directory)) {
    std::ofstream settings(settings_path());
    settings << "[agent]\nname = " << place_.name << "\nip = " << place_.ip
             << "\nzone = " << place_.zone << "\nregion = " << place_.region
             << "\n[listen]\ncallers = " << place_.callers()
             << "\nreadiness = " << place_.readiness() << "\nupstream = " << place_.upstream_side()
             << "\npeer_port = 7504\nmetrics_port = 7505\n[upstream]\naddress = " << place_.upstream
             << "\nservice = " << place_.service
             << "\nheartbeat = 300ms\n[store]\naddress = " << place_.store << "\n";
  }
  ~agent() { stop(SIGKILL); }
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  void start() {
    const std::string config = settings_path().string();
    const std::string log = (directory_ / (place_.name + ".log")).string();
    std::string verb = "fleet-agent";
    std::string option = "--config=" + config;
    char* words[] = {program_.data(), verb.data(), option.data(), nullptr};
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    if (posix_spawn(&process_, program_.c_str(), &files, nullptr, words, environ) != 0)
      process_ = 0;
    posix_spawn_file_actions_destroy(&files);
  }
  void signal(int number) const {
    if (process_ > 0) ::kill(process_, number);
  }
  /// Sends `number` and waits for the end.
  void stop(int number) {
    if (process_ <= 0) return;
    signal(SIGCONT);
    signal(number);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
  }
  /// Returns true if the process has ended; it can be started again then.
  bool ended() {
    if (process_ <= 0) return true;
    if (::waitpid(process_, nullptr, WNOHANG) != process_) return false;
    process_ = 0;
    return true;
  }
  [[nodiscard]] const agent_place& place() const { return place_; }

 private:
  [[nodiscard]] std::filesystem::path settings_path() const {
    return directory_ / (place_.name + ".ini");
  }

  std::string program_;
  agent_place place_;
  std::filesystem::path directory_;
  pid_t process_ = 0;
};

}  // namespace masticshunt::process_soak
