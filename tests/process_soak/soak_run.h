/// @file
/// One seeded run: a small fleet of real processes under load and faults.
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

/// What to run.
struct soak_options {
  std::string program;  ///< The masticshunt binary.
  std::uint64_t seed = 1;
  std::chrono::seconds fault_duration{15};  ///< How long faults are injected.
  std::size_t agents = 6;
  std::uint64_t net = 0;  ///< Second part of all loopback addresses; apart for runs side by side.
  std::filesystem::path directory;  ///< For settings and logs.
};

/// Plays one seed: a calm start, faults in series and overlapping, then a calm end in which the
/// fleet has to serve again. Life cycle: construct, `execute` once. Thread safety: none.
class soak_run {
 public:
  explicit soak_run(soak_options options)
      : options_(std::move(options)),
        random_(options_.seed),
        store_(context_.get_executor(), options_.seed),
        callers_(context_.get_executor(), {.connect_timeout = std::chrono::seconds{1}}) {}

  /// Returns true if no promise was broken.
  bool execute() {
    std::filesystem::create_directories(options_.directory);
    checker_.begin(boot_now());
    if (const auto why = store_.start(store_address()); !why.empty()) {
      std::printf("the store stand-in can't start: %s\n", why.c_str());
      return false;
    }
    store_.put("config", "main", desired_state(1));
    for (std::size_t i = 0; i < options_.agents; ++i) add_place(i);
    for (const auto& each : agents_) each->start();
    for (const auto& each : upstreams_) each->live();
    const auto spawn = [this](boost::asio::awaitable<void> work) {
      boost::asio::co_spawn(context_, std::move(work), boost::asio::detached);
    };
    spawn(sweep());
    spawn(script());
    for (std::size_t i = 0; i < options_.agents; ++i) spawn(call(i));
    context_.run();
    return checker_.broken_count() == 0;
  }
  [[nodiscard]] const invariant_checker& checker() const { return checker_; }

 private:
  static constexpr std::chrono::seconds calm_start{8};
  static constexpr std::chrono::seconds recovery{15};
  static constexpr std::chrono::seconds calm_end{4};
  static constexpr double served_after_recovery = 0.9;

  static nlohmann::json desired_state(std::uint64_t version) {
    char digits[16]{};
    std::snprintf(digits, sizeof digits, "%08llx", static_cast<unsigned long long>(version));
    const auto route = [](const char* prefix, const char* kind, const char* service) {
      return nlohmann::json{{"host", "soak.example"}, {"pathPrefix", prefix}, {"kind", kind},
                            {"timeout", "1500ms"},    {"aim", "300ms"},       {"priority", 0},
                            {"service", service},     {"maxAttempts", 2}};
    };
    const auto service = [](bool keyed) {
      return nlohmann::json{
          {"healthPath", "/healthz"}, {"maxConnections", 100}, {"sharded", keyed}};
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

  /// Returns the first three parts of the addresses of one kind of peers.
  [[nodiscard]] std::string net(int kind) const {
    return "127." + std::to_string(options_.net) + "." + std::to_string(kind) + ".";
  }
  [[nodiscard]] endpoint store_address() const { return net(9) + "1:7500"; }

  void add_place(std::size_t i) {
    const auto number = std::to_string(i + 1);
    const bool keyed = i % 2 == 0;
    const endpoint upstream_address = net(2) + number + ":7510";
    agent_place place{.name = "vm-" + number,
                      .ip = net(1) + number,
                      .zone = "zone-" + std::to_string(i % 3),
                      .region = "region-" + std::to_string(i % 3),
                      .service = keyed ? "viewer" : "ledger",
                      .upstream = net(3) + number + ":7511",
                      .store = net(3) + number + ":7512"};
    const auto executor = context_.get_executor();
    upstream_proxies_.push_back(
        std::make_unique<proxy>(executor, place.upstream, upstream_address));
    store_proxies_.push_back(std::make_unique<proxy>(executor, place.store, store_address()));
    upstreams_.push_back(
        std::make_unique<upstream>(executor,
                                   upstream_settings{.name = place.name,
                                                     .service = place.service,
                                                     .zone = place.zone,
                                                     .address = upstream_address,
                                                     .agent = place.upstream_side(),
                                                     .keyed = keyed},
                                   checker_, options_.seed + i));
    const auto* self = upstreams_.back().get();
    upstreams_.back()->on_question(
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
        std::make_unique<agent>(options_.program, std::move(place), options_.directory));
  }

  boost::asio::awaitable<void> sleep(duration span) {
    boost::asio::steady_timer pause(context_, span);
    co_await pause.async_wait(boost::asio::use_awaitable);
  }
  boost::asio::awaitable<void> sweep() {
    while (!over_) {
      store_.sweep();
      for (const auto& each : upstreams_) each->sweep(boot_now());
      for (const auto& each : agents_)
        if (each->ended()) each->start();
      callers_.sweep(boot_now());
      co_await sleep(std::chrono::milliseconds{50});
    }
  }

  /// A caller beside agent `place`: one request after the other.
  boost::asio::awaitable<void> call(std::size_t place) {
    co_await sleep(std::chrono::seconds{3});
    for (int number = 0; !over_; ++number) {
      const auto id = std::to_string(options_.seed) + "-" + std::to_string(place) + "-" +
                      std::to_string(number);
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
      fleet::cancellation nobody;
      const auto end = co_await fleet::run_exchange(callers_, agents_.at(place)->place().callers(),
                                                    std::move(request), nobody);
      const bool whole =
          end.result == fleet::exchange_result::answered && end.body->fully_buffered();
      checker_.answered(id, whole ? end.status : 0, whole ? end.body->buffered() : "");
      if (judged_) ++judged_asked_, judged_served_ += whole && end.status == 200 ? 1 : 0;
      co_await sleep(std::chrono::milliseconds{10 + random_() % 30});
    }
    if (++callers_done_ == options_.agents) context_.stop();
  }

  /// Injects faults one after the other; each lasts on while the next ones begin.
  boost::asio::awaitable<void> script() {
    co_await sleep(calm_start);
    const auto end = boot_now() + options_.fault_duration;
    while (boot_now() < end) {
      boost::asio::co_spawn(context_, one_fault(), boost::asio::detached);
      co_await sleep(std::chrono::milliseconds{300 + random_() % 1'700});
    }
    co_await sleep(std::chrono::seconds{5});  // The last fault ends by itself.
    co_await sleep(recovery);
    judged_ = true;
    co_await sleep(calm_end);
    over_ = true;
    const double share =
        static_cast<double>(judged_served_) / static_cast<double>(std::max(judged_asked_, 1));
    if (share < served_after_recovery)
      checker_.broken("served only " + std::to_string(share) + " after recovery");
  }

  boost::asio::awaitable<void> one_fault() {
    using fault = boost::asio::awaitable<void> (soak_run::*)(std::size_t place, duration span);
    struct named_fault {
      const char* name;
      fault execute;
    };
    static constexpr std::array faults{named_fault{"kill", &soak_run::kill},
                                       named_fault{"pause", &soak_run::pause},
                                       named_fault{"terminate", &soak_run::terminate},
                                       named_fault{"reload", &soak_run::reload},
                                       named_fault{"store mood", &soak_run::store_trouble},
                                       named_fault{"store forgets", &soak_run::store_forgets},
                                       named_fault{"store cut", &soak_run::store_cut},
                                       named_fault{"upstream link", &soak_run::upstream_link},
                                       named_fault{"upstream crash", &soak_run::upstream_crash},
                                       named_fault{"upstream leaves", &soak_run::upstream_leaves},
                                       named_fault{"orders late", &soak_run::orders_late},
                                       named_fault{"state change", &soak_run::state_change}};
    const auto& one = faults.at(random_() % faults.size());
    const auto place = static_cast<std::size_t>(random_() % options_.agents);
    const duration span = std::chrono::milliseconds{500 + random_() % 4'000};
    std::printf("%7.3f s  %s at vm-%zu for %.1f s\n",
                std::chrono::duration<double>(boot_now() - began_).count(), one.name, place + 1,
                std::chrono::duration<double>(span).count());
    co_await (this->*one.execute)(place, span);
  }
  boost::asio::awaitable<void> kill(std::size_t place, duration /*span*/) {
    agents_[place]->stop(SIGKILL);
    co_return;
  }
  boost::asio::awaitable<void> pause(std::size_t place, duration span) {
    agents_[place]->signal(SIGSTOP);
    co_await sleep(span);
    agents_[place]->signal(SIGCONT);
  }
  boost::asio::awaitable<void> terminate(std::size_t place, duration /*span*/) {
    agents_[place]->signal(SIGCONT);
    agents_[place]->signal(SIGTERM);
    co_return;
  }
  boost::asio::awaitable<void> reload(std::size_t place, duration /*span*/) {
    agents_[place]->signal(SIGHUP);
    co_return;
  }
  boost::asio::awaitable<void> store_trouble(std::size_t /*place*/, duration span) {
    static constexpr std::array moods{store_mood::busy, store_mood::silent,
                                      store_mood::loses_answers, store_mood::applies_late,
                                      store_mood::slow};
    store_.set_mood(moods.at(random_() % moods.size()));
    co_await sleep(span);
    store_.set_mood(store_mood::sound);
  }
  boost::asio::awaitable<void> store_forgets(std::size_t /*place*/, duration /*span*/) {
    store_.compact();
    co_return;
  }
  boost::asio::awaitable<void> store_cut(std::size_t place, duration span) {
    co_await proxy_trouble(*store_proxies_[place], span);
  }
  boost::asio::awaitable<void> upstream_link(std::size_t place, duration span) {
    co_await proxy_trouble(*upstream_proxies_[place], span);
  }
  boost::asio::awaitable<void> proxy_trouble(proxy& one, duration span) {
    static constexpr std::array moods{proxy_mood::delays, proxy_mood::drops_answers,
                                      proxy_mood::silent, proxy_mood::passes};
    one.reset_all();
    one.set_mood(moods.at(random_() % moods.size()));
    co_await sleep(span);
    one.set_mood(proxy_mood::passes);
    one.reset_all();  // Bytes were lost on the way.
  }
  boost::asio::awaitable<void> upstream_crash(std::size_t place, duration span) {
    if (!upstreams_[place]->up()) co_return;
    upstreams_[place]->crash();
    upstream_proxies_[place]->reset_all();
    co_await sleep(span);
    if (!upstreams_[place]->up()) upstreams_[place]->live();
  }
  boost::asio::awaitable<void> upstream_leaves(std::size_t place, duration /*span*/) {
    upstreams_[place]->leave();
    co_await sleep(std::chrono::milliseconds{4'500});
    if (!upstreams_[place]->up()) co_return;
    upstreams_[place]->crash();
    co_await sleep(std::chrono::milliseconds{300});
    if (!upstreams_[place]->up()) upstreams_[place]->live();
  }
  boost::asio::awaitable<void> orders_late(std::size_t place, duration span) {
    upstreams_[place]->set_late(true);
    co_await sleep(span);
    upstreams_[place]->set_late(false);
  }
  boost::asio::awaitable<void> state_change(std::size_t /*place*/, duration /*span*/) {
    store_.put("config", "main", desired_state(++state_version_));
    co_return;
  }

  soak_options options_;
  boost::asio::io_context context_{1};
  std::mt19937_64 random_;
  time_point began_ = boot_now();
  invariant_checker checker_;
  store store_;
  fleet::connection_pool callers_;
  std::vector<std::unique_ptr<proxy>> store_proxies_;
  std::vector<std::unique_ptr<proxy>> upstream_proxies_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  std::vector<std::unique_ptr<agent>> agents_;
  std::uint64_t state_version_ = 1;
  bool judged_ = false;
  bool over_ = false;
  int judged_asked_ = 0;
  int judged_served_ = 0;
  std::size_t callers_done_ = 0;
};

}  // namespace masticshunt::process_soak
