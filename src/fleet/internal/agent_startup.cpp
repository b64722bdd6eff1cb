#include "fleet/internal/agent_startup.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <utility>

#include "fleet/internal/spawn.h"
#include "masticshunt/fleet/settings.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
/// Longer than a file takes to be written, and short for an operator who made a mistake in it.
constexpr duration settings_wait_max = std::chrono::seconds{2};
constexpr duration settings_retry_interval = std::chrono::milliseconds{50};
constexpr duration listen_retry_interval = std::chrono::milliseconds{100};

}  // namespace

agent_startup::agent_startup(asio::io_context& context, std::string path)
    : context_(context),
      path_(std::move(path)),
      signals_(context, SIGTERM, SIGINT, SIGHUP),
      timer_(context) {}

void agent_startup::begin() {
  wait_for_signal();
  spawn(context_, run());
}

void agent_startup::run_context() {
  for (;;) {
    try {
      context_.run();
      return;
    } catch (const std::exception& error) {
      log_exception(error.what());
    } catch (...) {
      log_exception("an object that is no exception");
    }
  }
}

void agent_startup::log_exception(const char* what) {
  if (process_)
    process_->log_exception(what);
  else
    std::fprintf(stderr, "masticshunt: a handler failed: %s\n", what);
}

void agent_startup::wait_for_signal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error || serves_) return;
    // Settings that are read later are the new ones; the agent takes a later SIGHUP itself.
    if (signal == SIGHUP) return wait_for_signal();
    context_.stop();
  });
}

asio::awaitable<void> agent_startup::run() {
  co_await read_settings();
  if (process_) co_await listen();
}

asio::awaitable<void> agent_startup::read_settings() {
  const auto until = boot_now() + settings_wait_max;
  for (;;) {
    masticshunt::failure reason;
    auto settings = load_fleet_settings(path_, reason);
    if (settings) {
      process_ = std::make_unique<agent_process>(context_, std::move(*settings), path_);
      co_return;
    }
    if (boot_now() >= until) {
      fail({exit_usage, reason.describe()});
      co_return;
    }
    co_await pause(settings_retry_interval);
  }
}

asio::awaitable<void> agent_startup::listen() {
  for (;;) {
    const auto failed = process_->listen();
    if (!failed) break;
    if (failed->why != asio::error::address_in_use) {
      fail({exit_failed, failed->describe() + "; correct the address in " + path_});
      co_return;
    }
    process_->log_listen_failure(*failed);
    co_await pause(listen_retry_interval);
  }
  process_->serve();
  serves_ = true;
  signals_.clear();
}

asio::awaitable<void> agent_startup::pause(duration span) {
  boost::system::error_code ignored;
  timer_.expires_after(span);
  co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void agent_startup::fail(startup_failure why) {
  failure_ = std::move(why);
  context_.stop();
}

}  // namespace masticshunt::fleet
