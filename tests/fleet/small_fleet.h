/// @file
/// A few agents in one event loop, with stand-ins of the store and of their upstreams.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <ranges>
#include <string>
#include <vector>

#include "expect.h"
#include "fleet/internal/agent_process.h"
#include "fleet/loopback.h"
#include "process_soak/invariant_checker.h"
#include "process_soak/store.h"
#include "process_soak/upstream.h"

namespace masticshunt::testing {

/// Runs agents `vm-1` to `vm-N`. Upstreams of the service `ledger` run beside them once started;
/// the route `/read/` of host `soak.example` leads there.
class small_fleet {
 public:
  /// Changes the settings of the agent `index` before it is created.
  using adapt_settings = std::function<void(fleet::fleet_settings&, std::size_t index)>;

  /// `published`: the stage of the upstreams that earlier processes of the agents have published.
  explicit small_fleet(
      std::size_t agents, const adapt_settings& adapt = [](auto&, std::size_t) {},
      const nlohmann::json& state = desired_state(1), std::string_view published = "gone")
      : store_(context_.get_executor(), 1), callers_(context_.get_executor(), {}) {
    store_.start(store_address());
    for (const auto i : std::views::iota(std::size_t{0}, agents)) add_vm(i, adapt, published);
    store_.put("config", "main", state);
    for (const auto& each : agents_) each->start();
    run_for(std::chrono::milliseconds{500});
  }

  static nlohmann::json desired_state(std::uint64_t version) {
    char digits[16]{};
    std::snprintf(digits, sizeof digits, "%08llx", static_cast<unsigned long long>(version));
    const nlohmann::json route{{"host", "soak.example"}, {"pathPrefix", "/read/"}, {"kind", "safe"},
                               {"timeout", "1500ms"},    {"aim", "300ms"},         {"priority", 0},
                               {"service", "ledger"},    {"maxAttempts", 2}};
    const nlohmann::json service{
        {"healthPath", "/healthz"}, {"maxConnections", 100}, {"sharded", false}};
    return {
        {"version", digits}, {"routes", {{"read", route}}}, {"services", {{"ledger", service}}}};
  }

  process_soak::store& store() { return store_; }
  process_soak::upstream& upstream(std::size_t i) { return *upstreams_.at(i); }
  process_soak::invariant_checker& checker() { return checker_; }
  fleet::agent_process& agent(std::size_t i) { return *agents_.at(i); }
  /// Opens a connection to the callers' endpoint of the agent `index`.
  boost::asio::ip::tcp::socket connect(std::size_t index) {
    boost::system::error_code error;
    boost::asio::ip::tcp::socket socket(context_);
    socket.connect(fleet::tcp_endpoint(caller_addresses_.at(index), error));
    return socket;
  }
  /// Starts all upstreams and waits until the agents know them.
  void start_upstreams() {
    for (const auto& each : upstreams_) each->start();
    run_for(std::chrono::milliseconds{1'500});
  }
  void run_for(duration span) {
    constexpr duration sweep_interval = std::chrono::milliseconds{20};
    const auto end = boot_now() + span;
    while (boot_now() < end) {
      context_.restart();
      context_.run_for(sweep_interval);
      store_.sweep();
    }
  }
  /// Sends a request every `interval` to the agent `index` for `span`.
  void send_requests(std::size_t index, duration interval, duration span) {
    boost::asio::co_spawn(context_, send(index, interval, boot_now() + span),
                          boost::asio::detached);
    run_for(span);
  }
  /// Returns the number of agents with `version` in force.
  [[nodiscard]] std::size_t agents_at(std::uint64_t version) const {
    return static_cast<std::size_t>(std::ranges::count(
        agents_, version, [](const auto& each) { return each->state_version(); }));
  }

 private:
  static constexpr std::size_t first_agent = 10;
  static constexpr std::size_t first_upstream = 100;

  [[nodiscard]] endpoint store_address() const { return net_ + "1:7500"; }

  void add_vm(std::size_t i, const adapt_settings& adapt, std::string_view published) {
    const std::string ip = net_ + std::to_string(first_agent + i);
    const endpoint upstream_address = net_ + std::to_string(first_upstream + i) + ":7510";
    fleet::fleet_settings settings{.name = "vm-" + std::to_string(i + 1),
                                   .ip = ip,
                                   .zone = "zone",
                                   .region = "region",
                                   .callers = ip + ":7501",
                                   .readiness = ip + ":7502",
                                   .upstream_heartbeats = ip + ":7503",
                                   .peer_port = 7504,
                                   .metrics_port = 7505,
                                   .upstream = upstream_address,
                                   .service = "ledger",
                                   .heartbeat = std::chrono::milliseconds{300},
                                   .store = store_address()};
    adapt(settings, i);
    store_.put("masticshunt-upstreams", settings.name,
               {{"address", settings.peer_address()},
                {"zone", settings.zone},
                {"region", settings.region},
                {"service", "ledger"},
                {"upstream", published == "gone" ? "" : "i-" + settings.name + "-1"},
                {"born", 0},
                {"stage", published},
                {"slots", 1}});
    upstreams_.push_back(std::make_unique<process_soak::upstream>(
        context_.get_executor(),
        process_soak::upstream_settings{.name = settings.name,
                                        .service = "ledger",
                                        .zone = settings.zone,
                                        .address = upstream_address,
                                        .agent = settings.upstream_heartbeats},
        checker_, i));
    caller_addresses_.push_back(settings.callers);
    agents_.push_back(std::make_unique<fleet::agent_process>(context_, std::move(settings), ""));
  }

  boost::asio::awaitable<void> send(std::size_t index, duration interval, time_point until) {
    boost::asio::steady_timer timer(context_);
    while (boot_now() < until) {
      boost::asio::co_spawn(context_, send_one(index), boost::asio::detached);
      timer.expires_after(interval);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
  boost::asio::awaitable<void> send_one(std::size_t index) {
    const auto id = std::to_string(++last_id_);
    checker_.sent(id, true);
    fleet::exchange_request request;
    request.head = "GET /read/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: " + id +
                   "\r\nX-Request-Deadline-Ms: 1500\r\n";
    request.deadline = boot_now() + std::chrono::milliseconds{1'700};
    fleet::cancellation never_cancelled;
    const auto exchange = co_await fleet::run_exchange(callers_, caller_addresses_.at(index),
                                                       std::move(request), never_cancelled);
    const bool answered = exchange.result == fleet::exchange_result::answered;
    checker_.answered(id, answered ? exchange.status : 0,
                      answered ? exchange.body->buffered() : "");
  }

  const std::string net_ = loopback_net();
  boost::asio::io_context context_;
  process_soak::invariant_checker checker_;
  process_soak::store store_;
  fleet::connection_pool callers_;
  std::vector<endpoint> caller_addresses_;
  std::vector<std::unique_ptr<process_soak::upstream>> upstreams_;
  std::vector<std::unique_ptr<fleet::agent_process>> agents_;
  int last_id_ = 0;
};

}  // namespace masticshunt::testing
