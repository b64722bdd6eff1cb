/// @file
/// A small deployment for a case: a store, agents as processes, upstreams and callers, all on
/// loopback addresses.
#pragma once

#include <sys/socket.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common-3/agents.h"
#include "common-3/store.h"
#include "fleet/internal/http_client.h"
#include "process_soak/invariant_checker.h"
#include "process_soak/upstream.h"

namespace masticshunt::review {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace soak = masticshunt::process_soak;

/// What a script gets from its caller.
struct case_options {
  std::filesystem::path root;       ///< Of the repository.
  std::filesystem::path directory;  ///< Temporary; settings and logs of the agents.
  bool trouble = true;
  std::uint64_t seed = 1;
};

inline case_options options_from_environment() {
  const auto text = [](const char* name, const char* otherwise) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? otherwise : value);
  };
  return {.root = text("CASE_ROOT", "."),
          .directory = text("CASE_DIRECTORY", "."),
          .trouble = text("TROUBLE", "1") != "0",
          .seed = std::stoull(text("CASE_SEED", "1"))};
}

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// Returns true if a server could listen at `ports` from `first` on, at `ip`.
inline bool ports_are_free(const std::string& ip, int first, int ports) {
  boost::asio::io_context context;
  for (int port = first; port < first + ports; ++port) {
    boost::system::error_code error;
    boost::asio::ip::tcp::acceptor acceptor(context);
    const auto at = fleet::tcp_endpoint(ip + ":" + std::to_string(port), error);
    acceptor.open(at.protocol(), error);
    acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), error);
    acceptor.bind(at, error);
    if (error) return false;
  }
  return true;
}

/// The deployment. Life cycle: construct, `add` machines, `start`, `run` the context.
class small_fleet {
 public:
  explicit small_fleet(case_options options)
      : options_(std::move(options)),
        random_(options_.seed),
        store_(context_.get_executor()),
        callers_(context_.get_executor(), {.connect_timeout = std::chrono::seconds{1}}) {
    std::random_device device;
    net_ =
        "127." + std::to_string(20 + device() % 200) + "." + std::to_string(device() % 250) + ".";
    do {
      port_ = 20'000 + static_cast<int>(device() % 20'000);
    } while (!ports_are_free(net_ + "1", port_, 8));
  }

  std::size_t add(const std::string& service, bool keyed, std::size_t slots = 8,
                  bool keeps_id = false) {
    static constexpr std::array zones{"olten", "erstfeld", "bellinzona"};
    static constexpr std::array regions{"mittelland", "alpen", "tessin"};
    const auto i = agents_.size();
    machine on{.name = "sidecar-" + std::string(zones.at(i % 3)) + "-" + std::to_string(i / 3 + 1),
               .ip = net_ + std::to_string(i + 10),
               .zone = zones.at(i % 3),
               .region = regions.at(i % 3),
               .service = service,
               .port = port_,
               .store = store_address()};
    upstreams_.push_back(
        std::make_unique<soak::upstream>(context_.get_executor(),
                                         soak::upstream_settings{.name = on.name,
                                                                 .service = service,
                                                                 .zone = on.zone,
                                                                 .address = on.upstream(),
                                                                 .agent = on.admin(),
                                                                 .keyed = keyed,
                                                                 .keeps_id = keeps_id,
                                                                 .slots = slots},
                                         checker_, options_.seed + i));
    const auto* self = upstreams_.back().get();
    upstreams_.back()->set_fleet_queries(
        [this](claims::shard_key key) { return holders_of(key); },
        [this, self](const claims::key_range& keys) {
          std::uint64_t highest = 0;
          for (const auto& each : upstreams_)
            if (each.get() != self && each->settings().service == self->settings().service)
              highest = std::max(highest, each->highest_fence(keys, false));
          return highest;
        });
    agents_.push_back(std::make_unique<agent>(options_.root, std::move(on), options_.directory));
    return i;
  }
  [[nodiscard]] std::set<std::string> holders_of(claims::shard_key key) const {
    std::set<std::string> holders;
    for (const auto& each : upstreams_)
      if (each->settings().keyed && each->holds(key)) holders.insert(each->settings().name);
    return holders;
  }

  static nlohmann::json route(const char* prefix, const char* kind, const char* service,
                              int timeout_ms = 1'500) {
    return {{"host", "case.example"}, {"pathPrefix", prefix},
            {"kind", kind},           {"timeout", std::to_string(timeout_ms) + "ms"},
            {"aim", "300ms"},         {"priority", 0},
            {"service", service},     {"maxAttempts", 2}};
  }
  static nlohmann::json service(bool keyed) {
    return {{"healthPath", "/healthz"}, {"maxConnections", 120}, {"sharded", keyed}};
  }
  /// A keyed service `viewer` and a service `ledger` without keys.
  static nlohmann::json desired_state(std::uint64_t version) {
    char digits[16]{};
    std::snprintf(digits, sizeof digits, "%08llx", static_cast<unsigned long long>(version));
    return {{"version", digits},
            {"routes",
             {{"read", route("/read/", "safe", "ledger")},
              {"write", route("/write/", "unsafe", "ledger")},
              {"keyed", route("/keyed/", "safe", "viewer")}}},
            {"services", {{"ledger", service(false)}, {"viewer", service(true)}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 1 << 20},
              {"headerTimeout", "3000ms"},
              {"idleTimeout", "15000ms"}}}};
  }

  [[nodiscard]] bool start() {
    if (!start_without_upstreams()) return false;
    for (const auto& each : upstreams_) each->start();
    return true;
  }
  /// Starts the store and the agents only.
  [[nodiscard]] bool start_without_upstreams(const nlohmann::json& state = desired_state(1)) {
    std::filesystem::create_directories(options_.directory);
    checker_.set_start_time(started_at_ = boot_now());
    if (const auto why = store_.start(store_address()); !why.empty()) {
      note("the store can't start: " + why);
      return false;
    }
    store_.put("config", "main", state);
    for (const auto& each : agents_) each->start();
    spawn(sweep());
    return true;
  }
  void spawn(boost::asio::awaitable<void> work) {
    boost::asio::co_spawn(context_, std::move(work), [](const std::exception_ptr& error) {
      if (error) std::rethrow_exception(error);
    });
  }
  boost::asio::awaitable<void> sleep(duration span) {
    boost::asio::steady_timer timer(context_, span);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  /// Sends a request and notes its final answer.
  boost::asio::awaitable<unsigned> send(std::size_t at, std::string method, std::string path,
                                        std::string headers, std::size_t body_bytes, bool safe) {
    const auto id = "r" + std::to_string(options_.seed) + "-" + std::to_string(++sent_);
    checker_.sent(id, safe);
    fleet::exchange_request request;
    request.head = method + " " + path + " HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: " + id +
                   "\r\nX-Request-Deadline-Ms: 1500\r\n" + headers;
    if (body_bytes > 0) {
      request.body = std::make_shared<fleet::body_pipe>();
      request.body->append(std::string(body_bytes, 'b'));
      request.body->finish();
    }
    request.deadline = boot_now() + milliseconds{1'700};
    fleet::cancellation never_cancelled;
    const auto exchange = co_await fleet::run_exchange(callers_, agents_.at(at)->on().outbound(),
                                                       std::move(request), never_cancelled);
    const bool complete =
        exchange.result == fleet::exchange_result::answered && exchange.body->fully_buffered();
    const unsigned status = complete ? exchange.status : 0;
    checker_.answered(id, status, complete ? exchange.body->buffered() : "");
    last_runs_ = checker_.runs(id);
    last_detail_ = exchange.detail;
    co_return status;
  }
  void note(const std::string& text) const {
    std::printf("%8.3f s  %s\n", std::chrono::duration<double>(boot_now() - started_at_).count(),
                text.c_str());
    std::fflush(stdout);
  }
  /// Ends the processes and prints what callers got.
  void finish() {
    stopping_ = true;
    for (const auto& each : agents_) each->stop(SIGKILL);
    if (checker_.sent_total() == 0) return;
    std::string counts;
    for (const auto& [status, count] : checker_.by_status())
      counts += " " + std::to_string(status) + ":" + std::to_string(count);
    note("requests sent " + std::to_string(checker_.sent_total()) + ", answers by status" + counts);
  }

  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  [[nodiscard]] store& platform_store() { return store_; }
  [[nodiscard]] agent& agent_at(std::size_t i) { return *agents_.at(i); }
  [[nodiscard]] soak::upstream& upstream_at(std::size_t i) { return *upstreams_.at(i); }
  [[nodiscard]] std::size_t size() const { return agents_.size(); }
  [[nodiscard]] soak::invariant_checker& checker() { return checker_; }
  [[nodiscard]] const case_options& options() const { return options_; }
  [[nodiscard]] std::mt19937_64& random() { return random_; }
  /// Of the request that was answered last: how often it ran, and why it has no answer.
  [[nodiscard]] int last_runs() const { return last_runs_; }
  [[nodiscard]] const std::string& last_detail() const { return last_detail_; }
  [[nodiscard]] bool stopping() const { return stopping_; }
  [[nodiscard]] endpoint store_address() const { return net_ + "1:" + std::to_string(port_ + 7); }
  /// Processes that ended are not started again while false.
  void set_restarts(bool on) { restarts_ = on; }

 private:
  boost::asio::awaitable<void> sweep() {
    while (!stopping_) {
      store_.sweep();
      for (const auto& each : upstreams_) each->sweep(boot_now());
      for (const auto& each : agents_)
        if (restarts_ && each->ended()) {
          note("starts again: " + each->on().name);
          each->write_settings(false);
          each->start();
        }
      callers_.sweep(boot_now());
      co_await sleep(milliseconds{50});
    }
  }

  case_options options_;
  boost::asio::io_context context_{1};
  std::mt19937_64 random_;
  std::string net_;
  int port_ = 0;
  time_point started_at_{};
  soak::invariant_checker checker_;
  store store_;
  fleet::connection_pool callers_;
  std::vector<std::unique_ptr<soak::upstream>> upstreams_;
  std::vector<std::unique_ptr<agent>> agents_;
  std::uint64_t sent_ = 0;
  int last_runs_ = 0;
  std::string last_detail_;
  bool stopping_ = false;
  bool restarts_ = true;
};

/// Watches for keys that two upstreams hold for longer than half a second.
class hold_watch {
 public:
  explicit hold_watch(small_fleet& fleet) : fleet_(fleet) {}

  boost::asio::awaitable<void> run() {
    while (!fleet_.stopping()) {
      const auto now = boot_now();
      for (claims::shard_key key = 0; key <= claims::last_shard_key; key += step) {
        const auto holders = fleet_.holders_of(key);
        if (holders.size() < 2) {
          since_.erase(key);
          continue;
        }
        const auto [entry, is_new] = since_.try_emplace(key, now);
        const auto held_for = now - entry->second;
        longest_ = std::max(longest_, held_for);
        if (held_for > limit && broken_.insert(key).second && broken_.size() <= 5) {
          std::string names;
          for (const auto& each : holders) names += " " + each;
          fleet_.note("BROKEN: key " + std::to_string(key) + " is held for over 0.5 s by" + names);
        }
      }
      co_await fleet_.sleep(milliseconds{20});
    }
  }
  [[nodiscard]] std::size_t broken() const { return broken_.size(); }
  [[nodiscard]] duration longest() const { return longest_; }

 private:
  static constexpr claims::shard_key step = 64;
  static constexpr duration limit = milliseconds{500};
  small_fleet& fleet_;
  std::map<claims::shard_key, time_point> since_;
  std::set<claims::shard_key> broken_;
  duration longest_{};
};

}  // namespace masticshunt::review
