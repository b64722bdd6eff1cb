/// @file
/// Runs a small fleet of real processes under load and injected faults, from one seed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "process_soak/agents.h"
#include "process_soak/invariant_checker.h"
#include "process_soak/proxy.h"
#include "process_soak/store.h"
#include "process_soak/upstream.h"

namespace masticshunt::process_soak {

/// Settings of one run.
struct soak_options {
  std::string program;  ///< The masticshunt binary.
  std::uint64_t seed = 1;
  std::chrono::seconds fault_duration{15};  ///< How long faults are injected.
  std::size_t agents = 6;
  bool grants_by_heartbeat = false;  ///< Upstreams take their keys with answers to heartbeats.
  /// How often the store comes back from an older copy, beside the other faults.
  std::size_t drills = 0;
  /// Second octet of all loopback addresses; must differ between parallel runs.
  std::uint64_t net = 0;
  std::filesystem::path directory;  ///< Receives the settings and logs of the agents.
};

/// Runs one seed: a fault-free start, single and overlapping faults, then a fault-free end in which
/// the fleet must serve requests again. Life cycle: construct, `execute` once. Thread safety: none.
class soak_run {
 public:
  explicit soak_run(soak_options options)
      : options_(std::move(options)),
        random_(options_.seed),
        drill_random_(options_.seed),
        store_(context_.get_executor(), options_.seed),
        callers_(context_.get_executor(), {.connect_timeout = std::chrono::seconds{1}}) {}

  /// Returns true if no guarantee was violated.
  bool execute() {
    std::filesystem::create_directories(options_.directory);
    checker_.set_start_time(boot_now());
    if (const auto why = store_.start(store_address()); !why.empty()) {
      std::printf("the store stand-in cannot start: %s\n", why.c_str());
      return false;
    }
    store_.put("config", "main", desired_state(1));
    for (std::size_t i = 0; i < options_.agents; ++i) add_vm(i);
    for (const auto& each : agents_) each->start();
    for (const auto& each : upstreams_) each->start();
    const auto spawn = [this](boost::asio::awaitable<void> work) {
      boost::asio::co_spawn(context_, std::move(work), boost::asio::detached);
    };
    spawn(sweep());
    spawn(inject_faults());
    if (options_.drills > 0) spawn(drill_store());
    for (std::size_t i = 0; i < options_.agents; ++i) spawn(send_requests(i));
    context_.run();
    return checker_.violation_count() == 0;
  }
  [[nodiscard]] const invariant_checker& checker() const { return checker_; }

 private:
  static constexpr std::chrono::seconds fault_free_start{8};
  static constexpr std::chrono::seconds recovery{15};
  static constexpr std::chrono::seconds fault_free_end{4};
  static constexpr double served_after_recovery = 0.9;
  static constexpr std::chrono::milliseconds evacuate_bound{2'000};
  static constexpr double cold_rate = 8;
  /// One and a half times the rate, and eight more.
  static constexpr std::size_t cold_requests_max = 20;

  static nlohmann::json desired_state(std::uint64_t version) {
    char digits[16]{};
    std::snprintf(digits, sizeof digits, "%08llx", static_cast<unsigned long long>(version));
    const auto route = [](const char* prefix, const char* kind, const char* service) {
      return nlohmann::json{{"host", "soak.example"}, {"pathPrefix", prefix}, {"kind", kind},
                            {"timeout", "1500ms"},    {"aim", "300ms"},       {"priority", 0},
                            {"service", service},     {"maxAttempts", 2}};
    };
    const auto service = [](bool keyed) {
      return nlohmann::json{{"healthPath", "/healthz"},
                            {"maxConnections", 100},
                            {"sharded", keyed},
                            {"warmupPerS", cold_rate}};
    };
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

  /// Returns the first three octets of the addresses of one kind of processes.
  [[nodiscard]] std::string net(int kind) const {
    return "127." + std::to_string(options_.net) + "." + std::to_string(kind) + ".";
  }
  [[nodiscard]] endpoint store_address() const { return net(9) + "1:7500"; }

  void add_vm(std::size_t i) {
    const auto number = std::to_string(i + 1);
    const bool keyed = i % 2 == 0;
    const endpoint upstream_address = net(2) + number + ":7510";
    agent_config config{.name = "vm-" + number,
                        .ip = net(1) + number,
                        .zone = "zone-" + std::to_string(i % 3),
                        .region = "region-" + std::to_string(i % 3),
                        .service = keyed ? "viewer" : "ledger",
                        .grants = options_.grants_by_heartbeat ? "heartbeat" : "call",
                        .upstream = net(3) + number + ":7511",
                        .store = net(3) + number + ":7512",
                        .more_settings = "[bounds]\nevacuate = 2000ms\n"};
    const auto executor = context_.get_executor();
    upstream_proxies_.push_back(
        std::make_unique<proxy>(executor, config.upstream, upstream_address));
    store_proxies_.push_back(std::make_unique<proxy>(executor, config.store, store_address()));
    upstreams_.push_back(std::make_unique<upstream>(
        executor,
        upstream_settings{.name = config.name,
                          .service = config.service,
                          .zone = config.zone,
                          .address = upstream_address,
                          .agent = config.upstream_listener(),
                          .keyed = keyed,
                          .grants_by_heartbeat = options_.grants_by_heartbeat,
                          .cold_time = std::chrono::seconds{2},
                          .cold_requests_max = cold_requests_max},
        checker_, options_.seed + i));
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
        std::make_unique<agent>(options_.program, std::move(config), options_.directory));
  }

  boost::asio::awaitable<void> sleep(duration span) {
    boost::asio::steady_timer timer(context_, span);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  boost::asio::awaitable<void> sweep() {
    while (!stopping_) {
      store_.sweep();
      for (const auto& each : upstreams_) each->sweep(boot_now());
      for (const auto& each : agents_)
        if (each->ended()) each->start();
      callers_.sweep(boot_now());
      co_await sleep(std::chrono::milliseconds{50});
    }
  }

  /// Sends requests to agent `index`, one after the other.
  boost::asio::awaitable<void> send_requests(std::size_t index) {
    co_await sleep(std::chrono::seconds{3});
    for (int sequence = 0; !stopping_; ++sequence) {
      const auto id = std::to_string(options_.seed) + "-" + std::to_string(index) + "-" +
                      std::to_string(sequence);
      static constexpr std::array paths{"/read/", "/write/", "/keyed/"};
      const auto kind = random_() % paths.size();
      checker_.sent(id, kind != 1);
      fleet::exchange_request request;
      request.head = std::string(kind == 1 ? "POST " : "GET ") + paths.at(kind) +
                     "x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: " + id +
                     "\r\nX-Request-Deadline-Ms: 1500\r\n";
      if (kind == 2) request.head += "X-Shard-Key: " + std::to_string(random_() % 65'536) + "\r\n";
      if (kind == 1) {
        request.body = std::make_shared<fleet::body_pipe>();
        request.body->append(std::string(random_() % 40'000, 'b'));
        request.body->finish();
      }
      request.deadline = boot_now() + std::chrono::milliseconds{1'700};
      fleet::cancellation never_cancelled;
      const auto exchange = co_await fleet::run_exchange(
          callers_, agents_.at(index)->config().callers(), std::move(request), never_cancelled);
      const bool complete =
          exchange.result == fleet::exchange_result::answered && exchange.body->fully_buffered();
      checker_.answered(id, complete ? exchange.status : 0,
                        complete ? exchange.body->buffered() : "");
      if (measuring_)
        ++measured_requests_, measured_successes_ += complete && exchange.status == 200 ? 1 : 0;
      co_await sleep(std::chrono::milliseconds{10 + random_() % 30});
    }
    if (++finished_callers_ == options_.agents) context_.stop();
  }

  /// Starts faults at random intervals; a fault may still be active when the next ones start.
  boost::asio::awaitable<void> inject_faults() {
    co_await sleep(std::chrono::seconds{4});
    co_await check_evacuation();
    const auto end = boot_now() + options_.fault_duration;
    while (boot_now() < end) {
      boost::asio::co_spawn(context_, inject_fault(), boost::asio::detached);
      co_await sleep(std::chrono::milliseconds{300 + random_() % 1'700});
    }
    co_await sleep(std::chrono::milliseconds{8'500});  // Every fault ends within this time.
    co_await sleep(recovery);
    measuring_ = true;
    co_await sleep(fault_free_end);
    stopping_ = true;
    const double share = static_cast<double>(measured_successes_) /
                         static_cast<double>(std::max(measured_requests_, 1));
    if (share < served_after_recovery)
      checker_.report_violation("served only " + std::to_string(share) +
                                " of the requests after recovery");
  }

  /// Evacuates a zone while nothing else is disturbed, for the rest of the fault-free start.
  boost::asio::awaitable<void> check_evacuation() {
    const auto arrived = [this] {
      std::size_t sum = 0;
      for (const auto& each : upstreams_)
        if (each->settings().zone == "zone-0") sum += each->arrived();
      return sum;
    };
    evacuated_.insert("zone-0");
    store_.put("evacuations", "zone-0", nlohmann::json::object());
    co_await sleep(evacuate_bound);
    const auto before = arrived();
    co_await sleep(fault_free_start - std::chrono::seconds{4} - evacuate_bound);
    if (arrived() != before)
      checker_.report_violation("an evacuated zone got " + std::to_string(arrived() - before) +
                                " requests after the bound");
    evacuated_.clear();
    store_.remove("evacuations", "zone-0");
  }

  /// Lets the store go away now and then, and come back from a copy that is some seconds old.
  boost::asio::awaitable<void> drill_store() {
    static constexpr duration copy_interval = std::chrono::milliseconds{200};
    static constexpr std::size_t copies_max = 25;
    std::deque<store::content> copies;
    co_await sleep(std::chrono::seconds{5});
    for (std::size_t drill = 0; drill < options_.drills; ++drill) {
      const auto steps = 20 + drill_random_() % 25;
      for (std::size_t i = 0; i < steps; ++i) {
        copies.push_back(store_.data());
        if (copies.size() > copies_max) copies.pop_front();
        co_await sleep(copy_interval);
      }
      const auto& copy = copies[drill_random_() % copies.size()];
      std::printf("%7.3f s  drill: the store loses revisions %llu to %llu\n",
                  std::chrono::duration<double>(boot_now() - start_time_).count(),
                  static_cast<unsigned long long>(copy.revision + 1),
                  static_cast<unsigned long long>(store_.data().revision));
      store_.set_mode(store_mode::unresponsive);
      co_await sleep(std::chrono::milliseconds{drill_random_() % 1'500});
      store_.restore(copy);
      store_.set_mode(store_mode::normal);
      operator_writes_again();
    }
  }
  void operator_writes_again() {
    store_.put("config", "main", desired_state(state_version_));
    for (const auto& each : upstreams_) {
      const auto& zone = each->settings().zone;
      if (evacuated_.contains(zone))
        store_.put("evacuations", zone, nlohmann::json::object());
      else
        store_.remove("evacuations", zone);
    }
  }

  boost::asio::awaitable<void> inject_fault() {
    using fault = boost::asio::awaitable<void> (soak_run::*)(std::size_t index, duration span);
    struct named_fault {
      const char* name;
      fault inject;
    };
    static constexpr std::array faults{
        named_fault{"kill", &soak_run::kill},
        named_fault{"pause", &soak_run::pause},
        named_fault{"terminate", &soak_run::terminate},
        named_fault{"reload", &soak_run::reload},
        named_fault{"store fault", &soak_run::disturb_store},
        named_fault{"store compaction", &soak_run::compact_store},
        named_fault{"store link", &soak_run::disturb_store_link},
        named_fault{"upstream link", &soak_run::disturb_upstream_link},
        named_fault{"upstream crash", &soak_run::crash_upstream},
        named_fault{"upstream drain", &soak_run::drain_upstream},
        named_fault{"upstream leaving", &soak_run::leave_upstream},
        named_fault{"upstream limit", &soak_run::limit_upstream},
        named_fault{"silent watches", &soak_run::silence_watches},
        named_fault{"delayed grants", &soak_run::delay_grants},
        named_fault{"state change", &soak_run::change_state},
        named_fault{"evacuation", &soak_run::evacuate_zone},
        named_fault{"stalled uploads", &soak_run::stall_uploads}};
    const auto& chosen = faults.at(random_() % faults.size());
    const auto index = static_cast<std::size_t>(random_() % options_.agents);
    const duration span = std::chrono::milliseconds{500 + random_() % 4'000};
    std::printf("%7.3f s  %s at vm-%zu for %.1f s\n",
                std::chrono::duration<double>(boot_now() - start_time_).count(), chosen.name,
                index + 1, std::chrono::duration<double>(span).count());
    co_await (this->*chosen.inject)(index, span);
  }
  boost::asio::awaitable<void> kill(std::size_t index, duration /*span*/) {
    agents_[index]->stop(SIGKILL);
    co_return;
  }
  boost::asio::awaitable<void> pause(std::size_t index, duration span) {
    agents_[index]->signal(SIGSTOP);
    co_await sleep(span);
    agents_[index]->signal(SIGCONT);
  }
  boost::asio::awaitable<void> terminate(std::size_t index, duration /*span*/) {
    agents_[index]->signal(SIGCONT);
    agents_[index]->signal(SIGTERM);
    co_return;
  }
  boost::asio::awaitable<void> reload(std::size_t index, duration /*span*/) {
    agents_[index]->signal(SIGHUP);
    co_return;
  }
  boost::asio::awaitable<void> disturb_store(std::size_t /*index*/, duration span) {
    static constexpr std::array modes{store_mode::busy, store_mode::unresponsive,
                                      store_mode::drops_responses, store_mode::applies_late,
                                      store_mode::slow};
    store_.set_mode(modes.at(random_() % modes.size()));
    co_await sleep(span);
    store_.set_mode(store_mode::normal);
  }
  boost::asio::awaitable<void> compact_store(std::size_t /*index*/, duration /*span*/) {
    store_.compact();
    co_return;
  }
  boost::asio::awaitable<void> disturb_store_link(std::size_t index, duration span) {
    co_await disturb_link(*store_proxies_[index], span);
  }
  boost::asio::awaitable<void> disturb_upstream_link(std::size_t index, duration span) {
    co_await disturb_link(*upstream_proxies_[index], span);
  }
  boost::asio::awaitable<void> disturb_link(proxy& link, duration span) {
    static constexpr std::array modes{proxy_mode::delays, proxy_mode::drops_responses,
                                      proxy_mode::unresponsive, proxy_mode::forwards};
    link.reset_all();
    link.set_mode(modes.at(random_() % modes.size()));
    co_await sleep(span);
    link.set_mode(proxy_mode::forwards);
    link.reset_all();  // Bytes may have been dropped, so the open streams are incomplete.
  }
  boost::asio::awaitable<void> crash_upstream(std::size_t index, duration span) {
    if (!upstreams_[index]->up()) co_return;
    upstreams_[index]->crash();
    upstream_proxies_[index]->reset_all();
    co_await sleep(span);
    if (!upstreams_[index]->up()) upstreams_[index]->start();
  }
  boost::asio::awaitable<void> drain_upstream(std::size_t index, duration /*span*/) {
    upstreams_[index]->drain();
    co_await end_and_start_upstream(index);
  }
  /// Ends an upstream that has announced its end, and starts its next incarnation.
  boost::asio::awaitable<void> end_and_start_upstream(std::size_t index) {
    co_await sleep(std::chrono::milliseconds{4'500});
    if (!upstreams_[index]->up()) co_return;
    upstreams_[index]->crash();
    co_await sleep(std::chrono::milliseconds{300});
    if (!upstreams_[index]->up()) upstreams_[index]->start();
  }
  boost::asio::awaitable<void> leave_upstream(std::size_t index, duration /*span*/) {
    upstreams_[index]->say_leaving();
    co_await end_and_start_upstream(index);
  }
  boost::asio::awaitable<void> limit_upstream(std::size_t index, duration span) {
    upstreams_[index]->name_limit(static_cast<double>(random_() % 100) / 10);
    co_await sleep(std::chrono::seconds{4} + span);
    upstreams_[index]->name_limit(std::nullopt);
  }
  boost::asio::awaitable<void> silence_watches(std::size_t /*index*/, duration /*span*/) {
    store_.forget_watches();
    co_return;
  }
  boost::asio::awaitable<void> delay_grants(std::size_t index, duration span) {
    upstreams_[index]->set_delayed_grants(true);
    co_await sleep(span);
    upstreams_[index]->set_delayed_grants(false);
  }
  boost::asio::awaitable<void> evacuate_zone(std::size_t index, duration span) {
    const auto zone = upstreams_[index]->settings().zone;
    evacuated_.insert(zone);
    store_.put("evacuations", zone, nlohmann::json::object());
    co_await sleep(span);
    for (const auto& each : upstreams_)
      if (each->settings().zone == zone) each->turn_cold(each->settings().cold_time);
    evacuated_.erase(zone);
    store_.remove("evacuations", zone);
  }
  /// Opens connections that send a body but for its end.
  boost::asio::awaitable<void> stall_uploads(std::size_t index, duration span) {
    constexpr std::size_t callers = 40;
    constexpr std::size_t body_bytes = 200'000;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
    boost::system::error_code error;
    const auto to = fleet::tcp_endpoint(agents_[index]->config().callers(), error);
    const std::string head =
        "POST /write/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: s\r\n"
        "X-Request-Deadline-Ms: 1500\r\nContent-Length: " +
        std::to_string(body_bytes + 1) + "\r\n\r\n";
    const auto body = std::make_shared<std::string>(head + std::string(body_bytes, 'x'));
    for (std::size_t i = 0; i < callers; ++i) {
      sockets.push_back(std::make_unique<boost::asio::ip::tcp::socket>(context_));
      auto& socket = *sockets.back();
      socket.connect(to, error);
      if (!error)
        boost::asio::async_write(socket, boost::asio::buffer(*body), [body](auto, auto) {});
    }
    co_await sleep(span);
  }
  boost::asio::awaitable<void> change_state(std::size_t /*index*/, duration /*span*/) {
    store_.put("config", "main", desired_state(++state_version_));
    co_return;
  }

  soak_options options_;
  boost::asio::io_context context_{1};
  std::mt19937_64 random_;
  std::mt19937_64 drill_random_;  ///< Of its own, so that the other faults of a seed stay the same.
  time_point start_time_ = boot_now();
  invariant_checker checker_;
  store store_;
  fleet::connection_pool callers_;
  std::vector<std::unique_ptr<proxy>> store_proxies_;
  std::vector<std::unique_ptr<proxy>> upstream_proxies_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  std::vector<std::unique_ptr<agent>> agents_;
  std::uint64_t state_version_ = 1;
  std::set<std::string> evacuated_;
  bool measuring_ = false;
  bool stopping_ = false;
  int measured_requests_ = 0;
  int measured_successes_ = 0;
  std::size_t finished_callers_ = 0;
};

}  // namespace masticshunt::process_soak
