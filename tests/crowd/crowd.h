/// @file
/// Crowds of callers that hold what an agent keeps for them, against agents in real processes.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/internal/http_client.h"
#include "fleet/internal/http_server.h"
#include "fleet/loopback.h"
#include "masticshunt/support/clock.h"
#include "process_soak/agents.h"
#include "process_soak/heartbeats.h"
#include "process_soak/proxy.h"
#include "process_soak/store.h"

namespace masticshunt::testing {

/// What a member of a crowd sends.
struct crowd_request {
  std::string head;               ///< With the empty line, unless it stays unfinished.
  std::uint64_t body_bytes = 0;   ///< Of payload, sent after the head.
  std::size_t piece = 64 * 1024;  ///< Payload in one write or one chunk.
  bool chunked = false;           ///< Each piece is a chunk.
  std::uint64_t pause_after = 0;  ///< Pauses a moment after so many bytes; zero: never.
  bool reads = true;              ///< Reads, and discards, what the agent sends.
};

/// Callers that send a request each, and stay connected after the last byte.
class crowd {
 public:
  crowd(boost::asio::io_context& context, endpoint to) : context_(context), to_(std::move(to)) {}

  void add(const crowd_request& request) {
    auto caller = std::make_shared<member>(context_);
    members_.push_back(caller);
    ++busy_;
    boost::asio::co_spawn(context_, run(caller, request), boost::asio::detached);
  }
  /// Returns the number of callers that still send.
  [[nodiscard]] std::size_t busy() const { return busy_; }
  /// Returns the bytes that all callers have sent.
  [[nodiscard]] std::uint64_t sent() const { return sent_; }
  /// Closes all connections.
  void leave() {
    for (const auto& each : members_) each->socket.close(each->ignored);
    members_.clear();
  }

 private:
  struct member {
    explicit member(boost::asio::io_context& context) : socket(context), pause(context) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer pause;
    boost::system::error_code ignored;
  };

  boost::asio::awaitable<bool> send(std::shared_ptr<member> caller, std::string bytes) {
    boost::system::error_code error;
    sent_ += co_await boost::asio::async_write(
        caller->socket, boost::asio::buffer(bytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error;
  }
  boost::asio::awaitable<void> run(std::shared_ptr<member> caller, crowd_request request) {
    boost::system::error_code error;
    const auto to = fleet::tcp_endpoint(to_, error);
    caller->socket.open(to.protocol(), error);
    // Else the kernel would take a whole answer for a caller that reads none of it.
    if (!request.reads)
      caller->socket.set_option(boost::asio::socket_base::receive_buffer_size(4'096), error);
    co_await caller->socket.async_connect(
        to, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (!error && request.reads)
      boost::asio::co_spawn(context_, discard_answers(caller), boost::asio::detached);
    if (!error && co_await send(caller, request.head)) co_await send_body(caller, request);
    --busy_;
  }
  boost::asio::awaitable<void> send_body(std::shared_ptr<member> caller, crowd_request request) {
    // Chunks are sent many at a time, so that tiny ones are not one packet each.
    constexpr std::size_t batch = 64 * 1024;
    std::string chunk(request.piece, 'x');
    if (request.chunked) {
      char size[24]{};
      std::snprintf(size, sizeof size, "%zx\r\n", request.piece);
      chunk = size + chunk + "\r\n";
    }
    std::uint64_t left = request.body_bytes;
    std::uint64_t since_pause = 0;
    while (left >= request.piece) {
      std::string bytes;
      while (left >= request.piece &&
             (bytes.empty() || (request.chunked && bytes.size() < batch))) {
        bytes += chunk;
        left -= request.piece;
      }
      since_pause += bytes.size();
      if (!co_await send(caller, std::move(bytes))) co_return;
      if (request.pause_after == 0 || since_pause < request.pause_after) continue;
      since_pause = 0;
      boost::system::error_code ignored;
      caller->pause.expires_after(std::chrono::milliseconds{5});
      co_await caller->pause.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (left > 0 && !request.chunked) co_await send(caller, std::string(left, 'x'));
  }
  static boost::asio::awaitable<void> discard_answers(std::shared_ptr<member> caller) {
    std::array<char, 16 * 1024> bytes{};
    boost::system::error_code error;
    while (!error)
      co_await caller->socket.async_read_some(
          boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }

  boost::asio::io_context& context_;
  endpoint to_;
  std::vector<std::shared_ptr<member>> members_;
  std::size_t busy_ = 0;
  std::uint64_t sent_ = 0;
};

/// Forwards connections, and reads what follows the first few kilobytes of each slowly.
class slow_reader {
 public:
  slow_reader(boost::asio::io_context& context, const endpoint& listen, endpoint target)
      : context_(context), target_(std::move(target)), acceptor_(context) {
    boost::system::error_code error;
    const auto local = fleet::tcp_endpoint(listen, error);
    acceptor_.open(local.protocol());
    acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(read_ahead));
    acceptor_.bind(local);
    acceptor_.listen();
    boost::asio::co_spawn(context_, accept(), boost::asio::detached);
  }

 private:
  using socket = boost::asio::ip::tcp::socket;
  static constexpr int read_ahead = 8 * 1024;

  boost::asio::awaitable<void> accept() {
    for (;;) {
      auto from =
          std::make_shared<socket>(co_await acceptor_.async_accept(boost::asio::use_awaitable));
      auto to = std::make_shared<socket>(context_);
      boost::system::error_code error;
      to->connect(fleet::tcp_endpoint(target_, error), error);
      boost::asio::co_spawn(context_, pass(from, to, true), boost::asio::detached);
      boost::asio::co_spawn(context_, pass(to, from, false), boost::asio::detached);
    }
  }
  boost::asio::awaitable<void> pass(std::shared_ptr<socket> from, std::shared_ptr<socket> to,
                                    bool slowly) {
    constexpr std::size_t fast_bytes = 8 * 1024;
    std::array<char, 1'024> bytes{};
    std::size_t passed = 0;
    boost::system::error_code error;
    boost::asio::steady_timer pause(context_);
    for (;;) {
      const auto got = co_await from->async_read_some(
          boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) break;
      co_await boost::asio::async_write(
          *to, boost::asio::buffer(bytes, got),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) break;
      passed += got;
      if (!slowly || passed < fast_bytes) continue;
      pause.expires_after(std::chrono::milliseconds{50});
      co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
    from->close(error);
    to->close(error);
  }

  boost::asio::io_context& context_;
  endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

/// Answers requests and sends heartbeats to its agent.
class crowd_upstream {
 public:
  crowd_upstream(boost::asio::io_context& context, const endpoint& address, endpoint agent,
                 std::size_t slots)
      : context_(context),
        server_(context.get_executor(), [this](auto request) { answer(std::move(request)); }),
        heartbeats_(context, address, std::move(agent), slots) {
    fleet::server_limits limits;
    limits.body_bytes = std::uint64_t{1} << 30U;
    server_.set_limits(limits);
    server_.start(address);
  }
  void sweep() { server_.sweep(boot_now()); }

 private:
  void answer(std::shared_ptr<fleet::server_request> request) {
    if (!request->body->complete())
      return process_soak::when_complete(context_.get_executor(), request,
                                         [this, request] { answer(request); });
    const std::string id(request->head["X-Request-Id"]);
    const bool large = std::string(request->head.target()).find("large") != std::string::npos;
    request->respond({.headers = "X-Request-Id: " + id + "\r\nX-Response-Signature: s\r\n",
                      .text = large ? std::string(large_answer, 'x') : "body of " + id});
  }
  static constexpr std::size_t large_answer = 2'000'000;
  boost::asio::io_context& context_;
  fleet::http_server server_;
  process_soak::heartbeats heartbeats_;
};

/// What the VM of an agent bears, stated to it in its settings.
struct vm_limits {
  std::uint64_t memory_mb = 0;
  std::uint64_t descriptors = 0;
};

/// Two agents as processes, the second with an upstream of the service `ledger`; callers connect to
/// either. An ordinary request is a small one on a connection of its own.
class crowd_fleet {
 public:
  static constexpr std::size_t ingress = 0;
  static constexpr std::size_t gate = 1;

  explicit crowd_fleet(vm_limits limits, std::size_t slots = 8, bool upstream_reads_slowly = false)
      : limits_(limits),
        directory_(std::filesystem::temp_directory_path() / ("crowd-" + net_)),
        store_(context_.get_executor(), 1),
        callers_(context_.get_executor(), {}) {
    std::filesystem::create_directories(directory_);
    store_.start(net_ + "1:7500");
    store_.put("config", "main", desired_state());
    const endpoint upstream = net_ + "100:7510";
    const endpoint proxied = net_ + "101:7511";
    for (const std::size_t i : {ingress, gate}) add_agent(i, i == gate ? proxied : net_ + "1:9");
    upstream_ = std::make_unique<crowd_upstream>(
        context_, upstream, agents_[gate]->config().upstream_listener(), slots);
    if (upstream_reads_slowly)
      slow_reader_ = std::make_unique<slow_reader>(context_, proxied, upstream);
    else
      proxy_ = std::make_unique<process_soak::proxy>(context_.get_executor(), proxied, upstream);
    for (const auto& each : agents_) each->start();
  }
  ~crowd_fleet() {
    agents_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }

  boost::asio::io_context& context() { return context_; }
  [[nodiscard]] endpoint callers_address(std::size_t agent) const {
    return agents_.at(agent)->config().callers();
  }
  void run_for(duration span) {
    const auto end = boot_now() + span;
    while (boot_now() < end) {
      context_.restart();
      context_.run_for(std::chrono::milliseconds{20});
      store_.sweep();
      upstream_->sweep();
    }
  }
  /// Runs until `members` send no more: all are done, or nothing moves any longer.
  void run_until_quiet(const crowd& members) {
    constexpr int quiet_rounds = 10;
    constexpr int rounds_max = 300;
    std::uint64_t before = 0;
    for (int round = 0, quiet = 0; round < rounds_max && quiet < quiet_rounds; ++round) {
      run_for(std::chrono::milliseconds{100});
      quiet = members.sent() == before ? quiet + 1 : 0;
      before = members.sent();
    }
  }
  /// Returns true if a small request at `agent` is answered. Like an ordinary caller it comes back
  /// after refusals.
  bool serves_ordinary_request(std::size_t agent) {
    constexpr int tries = 60;
    for (int i = 0; i < tries; ++i) {
      bool served = false;
      bool ended = false;
      boost::asio::co_spawn(context_, send_ordinary(agent, served, ended), boost::asio::detached);
      while (!ended) run_for(std::chrono::milliseconds{20});
      if (served) return true;
      run_for(std::chrono::milliseconds{100});
    }
    return false;
  }
  [[nodiscard]] bool alive(std::size_t agent) { return !agents_.at(agent)->ended(); }
  /// Returns the most memory that the process of `agent` has ever used, in megabytes.
  [[nodiscard]] std::uint64_t peak_memory_mb(std::size_t agent) const {
    return status_kilobytes(agent, "VmHWM:") / 1024;
  }
  [[nodiscard]] std::uint64_t present_memory_mb(std::size_t agent) const {
    return status_kilobytes(agent, "VmRSS:") / 1024;
  }
  [[nodiscard]] std::size_t descriptors(std::size_t agent) const {
    std::error_code ignored;
    const auto list = "/proc/" + std::to_string(agents_.at(agent)->process()) + "/fd";
    return static_cast<std::size_t>(
        std::distance(std::filesystem::directory_iterator(list, ignored), {}));
  }

 private:
  static nlohmann::json desired_state() {
    const auto route = [](const char* prefix, const char* kind) {
      return nlohmann::json{{"host", "crowd.example"}, {"pathPrefix", prefix}, {"kind", kind},
                            {"timeout", "20s"},        {"aim", "2s"},          {"priority", 0},
                            {"service", "ledger"},     {"maxAttempts", 2}};
    };
    return {
        {"version", "00000001"},
        {"routes", {{"read", route("/read/", "safe")}, {"write", route("/write/", "upload")}}},
        {"services",
         {{"ledger", {{"healthPath", "/healthz"}, {"maxConnections", 1'000}, {"sharded", false}}}}},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 1 << 20},
          {"headerTimeout", "3000ms"},
          {"idleTimeout", "15000ms"}}}};
  }
  void add_agent(std::size_t i, const endpoint& upstream) {
    const auto number = std::to_string(10 + i);
    process_soak::agent_config config{.name = "vm-" + std::to_string(i + 1),
                                      .ip = net_ + number,
                                      .zone = "zone",
                                      .region = "region",
                                      .service = "ledger",
                                      .grants = "call",
                                      .upstream = upstream,
                                      .store = net_ + "1:7500"};
    config.more_settings = "[limits]\nmemory = " + std::to_string(limits_.memory_mb) +
                           "\ndescriptors = " + std::to_string(limits_.descriptors) + "\n";
    agents_.push_back(
        std::make_unique<process_soak::agent>(MASTICSHUNT_PROGRAM, std::move(config), directory_));
  }
  boost::asio::awaitable<void> send_ordinary(std::size_t agent, bool& served, bool& ended) {
    fleet::exchange_request request;
    request.head =
        "GET /read/x HTTP/1.1\r\nHost: crowd.example\r\nConnection: close\r\nX-Request-Id: o-" +
        std::to_string(++ordinary_) + "\r\nX-Request-Deadline-Ms: 5000\r\n";
    request.deadline = boot_now() + std::chrono::seconds{6};
    fleet::cancellation never_cancelled;
    const auto exchange = co_await fleet::run_exchange(callers_, callers_address(agent),
                                                       std::move(request), never_cancelled);
    served = exchange.result == fleet::exchange_result::answered && exchange.status == 200 &&
             exchange.body->buffered() == "body of o-" + std::to_string(ordinary_);
    ended = true;
  }
  [[nodiscard]] std::uint64_t status_kilobytes(std::size_t agent, const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(agents_.at(agent)->process()) + "/status");
    for (std::string word; status >> word;) {
      std::uint64_t kilobytes = 0;
      if (word == name && status >> kilobytes) return kilobytes;
    }
    return 0;
  }

  vm_limits limits_;
  const std::string net_ = loopback_net();
  std::filesystem::path directory_;
  boost::asio::io_context context_;
  process_soak::store store_;
  fleet::connection_pool callers_;
  std::vector<std::unique_ptr<process_soak::agent>> agents_;
  std::unique_ptr<crowd_upstream> upstream_;
  std::unique_ptr<process_soak::proxy> proxy_;
  std::unique_ptr<slow_reader> slow_reader_;
  int ordinary_ = 0;
};

}  // namespace masticshunt::testing
