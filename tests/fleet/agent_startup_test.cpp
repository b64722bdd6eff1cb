#include "fleet/internal/agent_startup.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

#include "expect.h"
#include "fleet/internal/spawn.h"
#include "fleet/loopback.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// An agent that starts with a settings file of its own.
class starting_agent {
 public:
  starting_agent() { write(settings()); }
  ~starting_agent() { std::filesystem::remove(path_); }

  [[nodiscard]] std::string settings() const {
    const auto at = [this](int port) { return ip_ + ":" + std::to_string(port) + "\n"; };
    return "[agent]\nname = vm-1\nip = " + ip_ +
           "\nzone = z\nregion = r\n[listen]\ncallers = " + at(callers_port) +
           "readiness = " + at(7502) + "upstream = " + at(7503) +
           "peer_port = 7504\nmetrics_port = 7505\n[store]\naddress = " + at(7500);
  }
  void write(const std::string& text) const { std::ofstream(path_) << text; }
  [[nodiscard]] tcp::endpoint callers() const {
    return {asio::ip::make_address(ip_), callers_port};
  }
  /// Runs until the agent serves or can't be started, or for `limit`.
  void run_for(duration limit) {
    const auto end = boot_now() + limit;
    while (!startup.serves() && !context.stopped() && boot_now() < end)
      context.run_for(milliseconds{10});
  }

 private:
  static constexpr int callers_port = 7501;
  const std::string ip_ = loopback_net() + "10";
  const std::string path_ = std::filesystem::temp_directory_path() /
                            ("masticshunt-startup-" + std::to_string(::getpid()) + ".ini");

 public:
  asio::io_context context;
  agent_startup startup{context, path_};
};

}  // namespace

Test(agent_startup, waits_for_an_address_that_a_predecessor_still_holds) {
  starting_agent agent;
  tcp::acceptor predecessor(agent.context, agent.callers());
  agent.startup.begin();
  agent.run_for(milliseconds{500});
  expect_true(!agent.startup.failure() && !agent.startup.serves());
  predecessor.close();
  agent.run_for(seconds{5});
  expect_true(agent.startup.serves());
}

Test(agent_startup, gives_up_an_address_that_this_machine_does_not_have) {
  starting_agent agent;
  auto text = agent.settings();
  text.replace(text.find("ip = 127."), 9, "ip = 192.");
  agent.write(text);
  agent.startup.begin();
  agent.run_for(seconds{5});
  expect_true(agent.startup.failure().has_value());
  expect_true(agent.startup.failure()->message.find("cannot listen at 192.") != std::string::npos,
              agent.startup.failure()->message);
}

Test(agent_startup, reads_settings_again_that_are_only_half_written) {
  starting_agent agent;
  const auto whole = agent.settings();
  agent.write(whole.substr(0, whole.size() / 2));
  agent.startup.begin();
  agent.run_for(milliseconds{500});
  expect_true(!agent.startup.failure() && !agent.startup.serves());
  agent.write(whole);
  agent.run_for(seconds{5});
  expect_true(agent.startup.serves());
}

Test(agent_startup, gives_up_settings_that_stay_unusable_and_says_why) {
  starting_agent agent;
  agent.write("[agent]\nname = vm-1\n");
  agent.startup.begin();
  agent.run_for(seconds{10});
  expect_true(agent.startup.failure().has_value());
  expect_true(!agent.startup.failure()->message.empty());
}

Test(agent_startup, outlives_a_reload_signal_that_arrives_before_it_serves) {
  starting_agent agent;
  std::raise(SIGHUP);
  agent.startup.begin();
  agent.run_for(seconds{5});
  expect_true(agent.startup.serves());
}

Test(agent_startup, ends_on_a_stop_signal_while_it_waits) {
  starting_agent agent;
  tcp::acceptor predecessor(agent.context, agent.callers());
  agent.startup.begin();
  agent.run_for(milliseconds{200});
  std::raise(SIGTERM);
  agent.run_for(seconds{5});
  expect_true(agent.context.stopped() && !agent.startup.failure());
}

namespace {

asio::awaitable<void> fail() {
  throw std::runtime_error("a coroutine failed");
  co_return;
}

}  // namespace

// An agent ended without a word when a handler threw, and lost what a coroutine threw.
Test(agent_startup, serves_on_after_an_exception_has_left_a_handler) {
  starting_agent agent;
  agent.startup.begin();
  asio::post(agent.context, [] { throw std::runtime_error("a handler failed"); });
  spawn(agent.context, fail());
  asio::steady_timer end(agent.context, seconds{1});
  end.async_wait([&agent](const auto&) { agent.context.stop(); });
  agent.startup.run_context();
  expect_true(agent.startup.serves());
}

Test(spawn, passes_on_an_exception_that_leaves_a_coroutine) {
  asio::io_context context;
  spawn(context, fail());
  std::string what;
  try {
    context.run();
  } catch (const std::runtime_error& error) {
    what = error.what();
  }
  expect_equal(what, "a coroutine failed");
}
