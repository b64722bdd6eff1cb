/// @file
/// Agents as processes that own the keys of a service, and a store that comes back from copies.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <csignal>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "expect.h"
#include "fleet/loopback.h"
#include "process_soak/agents.h"
#include "process_soak/invariant_checker.h"
#include "process_soak/store.h"
#include "process_soak/upstream.h"

namespace masticshunt::testing {

/// Three agents whose upstreams own keys, and two others, under keyed requests.
class keyed_processes {
 public:
  keyed_processes()
      : directory_(std::filesystem::temp_directory_path() / ("drill-" + net_)),
        store_(context_.get_executor(), 1),
        callers_(context_.get_executor(), {.connect_timeout = std::chrono::seconds{1}}) {
    std::filesystem::create_directories(directory_);
    checker_.set_start_time(boot_now());
    expect_equal(store_.start(net_ + "1:7500"), "");
    store_.put("config", "main", desired_state());
    for (std::size_t i = 0; i < agents; ++i) add_vm(i);
    for (const auto& each : agents_) each->start();
    for (const auto& each : upstreams_) each->start();
    run_for(std::chrono::seconds{4});
    for (std::size_t caller = 0; caller < callers; ++caller)
      boost::asio::co_spawn(context_, send_requests(caller % agents), boost::asio::detached);
  }
  ~keyed_processes() {
    agents_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
  keyed_processes(const keyed_processes&) = delete;
  keyed_processes& operator=(const keyed_processes&) = delete;

  static constexpr std::size_t agents = 5;

  void run_for(duration span) {
    constexpr duration sweep_interval = std::chrono::milliseconds{20};
    const auto end = boot_now() + span;
    while (boot_now() < end) {
      context_.restart();
      context_.run_for(sweep_interval);
      store_.sweep();
      callers_.sweep(boot_now());
      for (const auto& each : upstreams_) each->sweep(boot_now());
      for (const auto& each : agents_)
        if (each->ended()) each->start();
    }
  }
  /// From now on most requests are about neighbouring keys, so that ranges move to other owners.
  void heat_some_keys() { hot_ = true; }
  void cool_keys() { hot_ = false; }
  /// Waits until `least` ranges have got new fences since `before`.
  void run_until_keys_moved(const nlohmann::json& before, std::size_t least) {
    constexpr duration limit = std::chrono::seconds{20};
    const auto fence = before.at("next_fence").get<std::uint64_t>();
    const auto end = boot_now() + limit;
    while (map().at("next_fence").get<std::uint64_t>() < fence + least && boot_now() < end)
      run_for(std::chrono::milliseconds{50});
    expect_true(map().at("next_fence").get<std::uint64_t>() >= fence + least, "no key has moved");
  }
  /// The store is away for `span`, and comes back with `copy` and with what operators write again.
  void drill(const process_soak::store::content& copy, duration span) {
    store_.set_mode(process_soak::store_mode::unresponsive);
    run_for(span);
    store_.restore(copy);
    store_.set_mode(process_soak::store_mode::normal);
    store_.put("config", "main", desired_state());
  }
  void stop(std::size_t agent) { agents_.at(agent)->signal(SIGTERM); }

  [[nodiscard]] const process_soak::store& store() const { return store_; }
  [[nodiscard]] process_soak::invariant_checker& checker() { return checker_; }
  /// Returns the stored map of the first era.
  [[nodiscard]] nlohmann::json map() const { return store_.spec("masticshunt-claims", "viewer"); }
  /// Returns the revision of the newest map, of any era.
  [[nodiscard]] std::uint64_t map_revision() const {
    std::uint64_t newest = 0;
    for (const auto& [name, object] : store_.data().objects_by_kind.at("masticshunt-claims"))
      newest = std::max(newest, object.revision);
    return newest;
  }
  /// Returns the requests sent so far, and those that got another answer than 200.
  [[nodiscard]] std::size_t sent() const { return sent_; }
  [[nodiscard]] std::size_t failed() const { return failed_; }

 private:
  static constexpr std::size_t owners = 3;
  static constexpr std::size_t callers = 20;
  static constexpr claims::shard_key hot_keys = 8'192;

  static nlohmann::json desired_state() {
    const nlohmann::json route{{"host", "drill.example"}, {"pathPrefix", "/keyed/"},
                               {"kind", "safe"},          {"timeout", "1500ms"},
                               {"aim", "300ms"},          {"priority", 0},
                               {"service", "viewer"},     {"maxAttempts", 2}};
    const auto service = [](bool keyed) {
      return nlohmann::json{
          {"healthPath", "/healthz"}, {"maxConnections", 100}, {"sharded", keyed}};
    };
    return {{"version", "00000001"},
            {"routes", {{"keyed", route}}},
            {"services", {{"ledger", service(false)}, {"viewer", service(true)}}}};
  }

  void add_vm(std::size_t i) {
    const bool keyed = i < owners;
    process_soak::agent_config config{.name = "vm-" + std::to_string(i + 1),
                                      .ip = net_ + std::to_string(10 + i),
                                      .zone = "zone-" + std::to_string(i),
                                      .region = "region",
                                      .service = keyed ? "viewer" : "ledger",
                                      .grants = "call",
                                      .upstream = net_ + std::to_string(100 + i) + ":7510",
                                      .store = net_ + "1:7500"};
    upstreams_.push_back(std::make_unique<process_soak::upstream>(
        context_.get_executor(),
        process_soak::upstream_settings{.name = config.name,
                                        .service = config.service,
                                        .zone = config.zone,
                                        .address = config.upstream,
                                        .agent = config.upstream_listener(),
                                        .keyed = keyed},
        checker_, i));
    const auto* self = upstreams_.back().get();
    upstreams_.back()->set_fleet_queries(
        [this](claims::shard_key key) {
          std::set<std::string> holders;
          for (const auto& each : upstreams_)
            if (each->holds(key)) holders.insert(each->settings().name);
          return holders;
        },
        [this, self](const claims::key_range& keys) {
          std::uint64_t highest = 0;
          for (const auto& each : upstreams_)
            if (each.get() != self) highest = std::max(highest, each->highest_fence(keys, false));
          return highest;
        });
    agents_.push_back(
        std::make_unique<process_soak::agent>(MASTICSHUNT_PROGRAM, std::move(config), directory_));
  }

  boost::asio::awaitable<void> send_requests(std::size_t at) {
    boost::asio::steady_timer pause(context_);
    for (;;) {
      const auto id = std::to_string(++sent_);
      const auto key = random_() % (hot_ && random_() % 8 != 0 ? hot_keys : 65'536);
      checker_.sent(id, true);
      fleet::exchange_request request;
      request.head = "GET /keyed/x HTTP/1.1\r\nHost: drill.example\r\nX-Request-Id: " + id +
                     "\r\nX-Request-Deadline-Ms: 1500\r\nX-Shard-Key: " + std::to_string(key) +
                     "\r\n";
      request.deadline = boot_now() + std::chrono::milliseconds{1'700};
      fleet::cancellation never_cancelled;
      const auto exchange = co_await fleet::run_exchange(
          callers_, agents_.at(at)->config().callers(), std::move(request), never_cancelled);
      const bool complete =
          exchange.result == fleet::exchange_result::answered && exchange.body->fully_buffered();
      checker_.answered(id, complete ? exchange.status : 0,
                        complete ? exchange.body->buffered() : "");
      if (!complete || exchange.status != 200) ++failed_;
      pause.expires_after(std::chrono::milliseconds{10 + random_() % 40});
      co_await pause.async_wait(boost::asio::use_awaitable);
    }
  }

  const std::string net_ = loopback_net();
  std::filesystem::path directory_;
  boost::asio::io_context context_;
  std::mt19937_64 random_{1};
  process_soak::invariant_checker checker_;
  process_soak::store store_;
  fleet::connection_pool callers_;
  std::vector<std::unique_ptr<process_soak::upstream>> upstreams_;
  std::vector<std::unique_ptr<process_soak::agent>> agents_;
  std::size_t sent_ = 0;
  std::size_t failed_ = 0;
  bool hot_ = false;
};

}  // namespace masticshunt::testing
