/// @file
/// The soak's stand-in for an upstream (tests/process_soak/upstream.h), which can also start again
/// under the same id and send heartbeats that arrive late.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/internal/http_client.h"
#include "fleet/internal/http_server.h"
#include "process_soak/invariant_checker.h"
#include "process_soak/store.h"

namespace masticshunt::process_soak {

/// Settings of one upstream.
struct upstream_settings {
  std::string name;
  std::string service;
  std::string zone;
  endpoint address;
  endpoint agent;  ///< Receives its heartbeats.
  bool keyed = false;
  bool keeps_id = false;             ///< Starts again under the id that it had.
  bool grants_by_heartbeat = false;  ///< Takes its keys with the answers to its heartbeats.
  std::size_t slots = 8;
  /// How long it is cold after each start but the first, and the most requests that it bears in any
  /// second of that time.
  duration cold_time{};
  std::size_t cold_requests_max = 0;
};

/// One upstream over all its incarnations.
///
/// Life cycle: construct, `start`; then `drain`, `crash` and `start` again in any order.
/// Thread safety: none.
class upstream {
 public:
  upstream(const boost::asio::any_io_executor& executor, upstream_settings settings,
           invariant_checker& checker, std::uint64_t seed)
      : executor_(executor),
        settings_(std::move(settings)),
        checker_(checker),
        random_(seed),
        pool_(executor, {}) {}

  /// Sets the functions that return which upstreams hold a key, and the highest fencing token that
  /// other upstreams were granted on a range.
  void set_fleet_queries(std::function<std::set<std::string>(claims::shard_key)> holders,
                         std::function<std::uint64_t(const claims::key_range&)> highest_fence) {
    holders_ = std::move(holders);
    highest_fence_ = std::move(highest_fence);
  }
  /// Starts a new incarnation.
  void start() {
    if (++incarnation_ > 1) turn_cold(settings_.cold_time);
    id_ = "i-" + settings_.name + (settings_.keeps_id ? "" : "-" + std::to_string(incarnation_));
    started_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
    sequence_ = 0;
    drain_acknowledged_at_.reset();
    draining_ = false;
    leaving_ = false;
    leaving_told_at_.reset();
    name_limit(std::nullopt);
    forget_keys();
    server_ = std::make_unique<fleet::http_server>(
        executor_, [this](auto request) { receive(std::move(request)); });
    if (const auto why = server_->start(settings_.address); !why.empty())
      std::printf("upstream %s: %s\n", settings_.name.c_str(), why.c_str());
    boost::asio::co_spawn(executor_, send_heartbeats(incarnation_), boost::asio::detached);
  }
  /// Ends without draining or notifying the agent.
  void crash() {
    server_.reset();
    forget_keys();
    id_.clear();
  }
  /// Announces in all further heartbeats that it is draining.
  void drain() { draining_ = true; }
  /// Says in all further answers that it leaves; its heartbeats go on saying that it is ready.
  void say_leaving() { leaving_ = true; }
  /// Names `per_second` as its limit in all further answers; nothing ends the limit.
  void name_limit(std::optional<double> per_second) {
    limit_ = per_second;
    limit_named_at_.reset();
    arrivals_.clear();
  }
  /// From now on the upstream is cold for `span`: it says so in heartbeats and health answers.
  void turn_cold(duration span) {
    cold_until_ = boot_now() + span;
    cold_arrivals_.clear();
  }
  /// While set, it serves on but sends no heartbeats.
  void set_heartbeats_silent(bool silent) { heartbeats_silent_ = silent; }
  /// While set, health checks are not answered.
  void set_health_silent(bool silent) { health_silent_ = silent; }
  /// From now on its heartbeats arrive `late` after they were sent.
  void delay_heartbeats(duration late) { heartbeat_delay_ = late; }
  /// Returns the requests that have arrived, and the most of them in a second while it was cold.
  [[nodiscard]] std::size_t arrived() const { return arrived_; }
  [[nodiscard]] std::size_t most_while_cold() const { return most_while_cold_; }
  /// While set, about half of the key commands get no response and are applied 2 s to 6 s later,
  /// and about half of the answers to heartbeats are lost.
  void set_delayed_grants(bool delayed) { delays_grants_ = delayed; }

  [[nodiscard]] bool up() const { return server_ != nullptr; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const upstream_settings& settings() const { return settings_; }
  [[nodiscard]] bool holds(claims::shard_key key) const {
    const auto now = boot_now();
    return up() && std::ranges::any_of(grants_, [&](const grant& each) {
             return each.keys.contains(key) && now < each.until;
           });
  }
  /// Returns the highest fencing token that any incarnation of this upstream was granted on one of
  /// `keys`, without the current incarnation if `others_only`.
  [[nodiscard]] std::uint64_t highest_fence(const claims::key_range& keys, bool others_only) const {
    std::uint64_t highest = 0;
    for (const auto& each : past_grants_)
      if (each.keys.overlaps(keys) && !(others_only && each.incarnation == incarnation_))
        highest = std::max(highest, each.fence);
    return highest;
  }
  void sweep(time_point now) {
    if (server_) server_->sweep(now);
  }

 private:
  using request_ptr = std::shared_ptr<fleet::server_request>;
  struct grant {
    claims::key_range keys;
    std::uint64_t fence = 0;
    time_point until;
  };

  struct past_grant {
    claims::key_range keys;
    std::uint64_t fence = 0;
    int incarnation = 0;
  };

  static std::string header(const request_ptr& request, std::string_view name) {
    const auto found = request->head.find(boost::beast::string_view(name.data(), name.size()));
    return found == request->head.end() ? std::string{} : std::string(found->value());
  }

  /// Counts a request that has arrived, and reports it if the limit allows no more.
  void check_limit() {
    constexpr duration contact = std::chrono::seconds{3};
    constexpr duration window = std::chrono::seconds{4};
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    const auto now = boot_now();
    if (!limit_named_at_) return;
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - window) arrivals_.pop_front();
    const double allowed =
        tolerance * *limit_ * std::chrono::duration<double>(window).count() + slack;
    if (now - *limit_named_at_ > contact && static_cast<double>(arrivals_.size()) > allowed)
      checker_.report_violation(settings_.name + " takes " + std::to_string(*limit_) +
                                " requests a second and got " + std::to_string(arrivals_.size()) +
                                " in 4 s");
  }
  /// Returns the header lines of an answer in which the upstream speaks of itself.
  std::string statements() {
    std::string lines;
    if (limit_) {
      lines += "Server-Limit: " + std::to_string(*limit_) + "\r\n";
      if (!limit_named_at_) limit_named_at_ = boot_now();
    }
    if (!leaving_) return lines;
    if (!leaving_told_at_) leaving_told_at_ = boot_now();
    return lines + "Server-Leaving: 1\r\n";
  }

  void receive(request_ptr request) {
    if (!request->body->complete())
      return when_complete(executor_, request, [this, request] {
        if (up()) receive(request);
      });
    const std::string target(request->head.target());
    if (target.starts_with("/-/")) return handle_command(request, target);
    if (target == "/healthz") return answer_health(request);
    const std::string id = header(request, "X-Request-Id");
    const auto refuse = [&](unsigned status) {
      request->respond(
          {.status = status,
           .headers = "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\n" + statements()});
    };
    if (header(request, "X-Expected-Instance") != id_) return refuse(421);
    if (drain_acknowledged_at_)
      checker_.reached_draining_upstream(settings_.name, boot_now() - *drain_acknowledged_at_);
    if (leaving_told_at_)
      checker_.reached_draining_upstream(settings_.name, boot_now() - *leaving_told_at_);
    check_limit();
    count_arrival();
    if (settings_.keyed) {
      const auto key = static_cast<claims::shard_key>(std::stoul(header(request, "X-Shard-Key")));
      if (!holds(key)) return refuse(421);
      checker_.key_request_started(key, holders_(key));
    }
    if (running_ >= settings_.slots) return refuse(503);
    ++running_;
    const auto busy_key = settings_.keyed
                              ? busy_keys_.insert(std::stoul(header(request, "X-Shard-Key")))
                              : busy_keys_.end();
    checker_.request_started(id, settings_.name);
    run_after(std::chrono::milliseconds{5 + random_() % 60}, [this, request, id, busy_key,
                                                              incarnation = incarnation_] {
      --running_;
      if (!up() || incarnation != incarnation_) return;
      if (settings_.keyed) busy_keys_.erase(busy_key);
      request->respond({.headers = "X-Request-Id: " + id + "\r\nX-Response-Signature: s." + id +
                                   "\r\nX-Server-Load: 1,0,8\r\n" + statements(),
                        .text = "body of " + id});
    });
  }

  [[nodiscard]] std::chrono::milliseconds cold_for() const {
    const auto left = std::max(duration{}, cold_until_ - boot_now());
    return std::chrono::duration_cast<std::chrono::milliseconds>(left);
  }
  void answer_health(const request_ptr& request) {
    if (health_silent_) return unanswered_.push_back(request);
    request->respond({.headers = "X-Instance-Id: " + id_ + "\r\nX-Server-Load: 1,0,8,100\r\n" +
                                 "X-Warmup-Ms: " + std::to_string(cold_for().count()) + "\r\n"});
  }
  void count_arrival() {
    ++arrived_;
    const auto now = boot_now();
    if (now >= cold_until_) return;
    cold_arrivals_.push_back(now);
    while (cold_arrivals_.front() <= now - std::chrono::seconds{1}) cold_arrivals_.pop_front();
    most_while_cold_ = std::max(most_while_cold_, cold_arrivals_.size());
    if (settings_.cold_requests_max > 0 && cold_arrivals_.size() > settings_.cold_requests_max)
      checker_.report_violation(settings_.name + " was cold and got " +
                                std::to_string(cold_arrivals_.size()) + " requests in a second");
  }

  void handle_command(const request_ptr& request, const std::string& target) {
    const auto body = nlohmann::json::parse(request->body->buffered(), nullptr, false);
    if (settings_.grants_by_heartbeat) {
      checker_.report_violation(settings_.name + " got a key command instead of an answer");
      return request->respond({.status = 404});
    }
    if (body.is_discarded()) return request->respond({.status = 400});
    const std::string expected = header(request, "X-Expected-Instance");
    if (expected.empty())
      checker_.report_violation(settings_.name + " got a key command that names no upstream");
    if (expected != id_) return request->respond({.status = 421});
    if (delays_grants_ && random_() % 2 == 0) {
      // Applied later, when the connection is already closed.
      run_after(std::chrono::milliseconds{2'000 + random_() % 4'000},
                [this, body, target, incarnation = incarnation_, arrived = boot_now()] {
                  if (up() && incarnation == incarnation_) apply(target, body, arrived);
                });
      return request->respond({.abort = true});
    }
    const auto status = apply(target, body, boot_now());
    request->respond(
        {.status = status, .headers = "X-Handover: h" + std::to_string(sequence_) + "\r\n"});
  }

  unsigned apply(const std::string& target, const nlohmann::json& body, time_point arrived) {
    const claims::key_range keys{body.at("from").get<claims::shard_key>(),
                                 body.at("to").get<claims::shard_key>()};
    const auto fence = body.at("fence").get<std::uint64_t>();
    if (target == "/-/release") {
      for (std::size_t i = 0; i < grants_.size(); ++i) {
        const grant held = grants_[i];
        if (held.fence > fence || !held.keys.overlaps(keys)) continue;
        grants_.erase(grants_.begin() + static_cast<std::ptrdiff_t>(i--));
        if (held.keys.first < keys.first)
          grants_.push_back({{held.keys.first, keys.first - 1}, held.fence, held.until});
        if (held.keys.last > keys.last)
          grants_.push_back({{keys.last + 1, held.keys.last}, held.fence, held.until});
      }
      return 200;
    }
    for (const grant& each : grants_)
      if (each.keys.overlaps(keys) && each.fence > fence) return 409;
    const bool in_time = boot_now() - arrived < std::chrono::milliseconds{100};
    if (in_time)
      checker_.granted(fence, std::max(highest_fence_(keys), highest_fence(keys, true)),
                       settings_.name);
    std::erase_if(grants_, [&](const grant& each) { return keys.contains(each.keys); });
    const auto text = body.at("hold_time").get<std::string>();
    // An upstream whose clock is 2% slow holds keys for longer.
    const auto held_for = std::chrono::milliseconds{std::stoll(text) * 102 / 100};
    grants_.push_back({keys, fence, arrived + held_for});
    past_grants_.push_back({keys, fence, incarnation_});
    if (past_grants_.size() > 4'000)
      past_grants_.erase(past_grants_.begin(), past_grants_.begin() + 2'000);
    return 200;
  }

  void forget_keys() {
    grants_.clear();
    giving_up_.clear();
    freed_.clear();
    busy_keys_.clear();
  }

  [[nodiscard]] bool busy(const claims::key_range& keys) const {
    const auto next = busy_keys_.lower_bound(keys.first);
    return next != busy_keys_.end() && *next <= keys.last;
  }

  /// Adds the keys that are held, still worked on, and freed to a heartbeat.
  void report_keys(nlohmann::json& heartbeat) {
    const auto now = boot_now();
    std::erase_if(giving_up_, [this](const grant& each) {
      if (busy(each.keys)) return false;
      freed_.push_back(each.keys);
      return true;
    });
    auto holds = nlohmann::json::array();
    for (const grant& each : grants_)
      if (now < each.until) holds.push_back({each.keys.first, each.keys.last, each.fence});
    for (const grant& each : giving_up_)
      holds.push_back({each.keys.first, each.keys.last, each.fence});
    auto freed = nlohmann::json::array();
    for (const auto& each : freed_)
      freed.push_back({each.first, each.last, "h" + std::to_string(sequence_)});
    heartbeat["holds"] = std::move(holds);
    heartbeat["freed"] = std::move(freed);
  }

  /// Takes the keys in the answer to a heartbeat that was sent at `sent`, and gives up all others.
  void take_keys(const nlohmann::json& answer, time_point sent) {
    if (!answer.contains("holds")) return;
    constexpr std::size_t answer_bytes_max = 4'096;
    if (answer.dump().size() > answer_bytes_max)
      checker_.report_violation("an answer to a heartbeat exceeds 4 KiB");
    const auto text = answer.at("hold_time").get<std::string>();
    const auto until = sent + std::chrono::milliseconds{std::stoll(text) * 102 / 100};
    std::vector<grant> next;
    for (const auto& row : answer.at("holds")) {
      const grant offered{{row.at(0), row.at(1)}, row.at(2), until};
      const bool outdated = std::ranges::any_of(grants_, [&](const grant& each) {
        return each.keys.overlaps(offered.keys) && each.fence > offered.fence;
      });
      if (outdated) continue;
      if (highest_fence(offered.keys, false) < offered.fence) {
        checker_.granted(offered.fence,
                         std::max(highest_fence_(offered.keys), highest_fence(offered.keys, true)),
                         settings_.name);
        past_grants_.push_back({offered.keys, offered.fence, incarnation_});
      }
      next.push_back(offered);
    }
    for (const grant& each : grants_) give_up_rest(each, next);
    grants_ = std::move(next);
  }

  /// Gives up the keys of `held` that `next` does not contain.
  void give_up_rest(const grant& held, const std::vector<grant>& next) {
    if (boot_now() >= held.until) return;
    std::vector<claims::key_range> rest{held.keys};
    for (const grant& each : next) {
      std::vector<claims::key_range> remaining;
      for (const auto& part : rest) {
        if (!part.overlaps(each.keys)) {
          remaining.push_back(part);
          continue;
        }
        if (part.first < each.keys.first) remaining.push_back({part.first, each.keys.first - 1});
        if (part.last > each.keys.last) remaining.push_back({each.keys.last + 1, part.last});
      }
      rest = std::move(remaining);
    }
    for (const auto& part : rest) giving_up_.push_back({part, held.fence, held.until});
  }

  /// Sends `text` as a heartbeat of `id` that was held up on its way.
  boost::asio::awaitable<void> send_late(std::string id, std::string text, duration late) {
    boost::asio::steady_timer way(executor_, late);
    co_await way.async_wait(boost::asio::use_awaitable);
    fleet::exchange_request request;
    request.head = "PUT /-/instances/" + id + " HTTP/1.1\r\nHost: " + settings_.agent +
                   "\r\nContent-Type: application/json\r\n";
    request.body = std::make_shared<fleet::body_pipe>();
    request.body->append(text);
    request.body->finish();
    request.deadline = boot_now() + std::chrono::seconds{1};
    fleet::cancellation never_cancelled;
    co_await fleet::run_exchange(pool_, settings_.agent, std::move(request), never_cancelled);
  }
  boost::asio::awaitable<void> send_heartbeats(int incarnation) {
    while (up() && incarnation == incarnation_) {
      if (heartbeats_silent_) {
        boost::asio::steady_timer silent(executor_, std::chrono::milliseconds{100});
        co_await silent.async_wait(boost::asio::use_awaitable);
        continue;
      }
      fleet::exchange_request request;
      request.head = "PUT /-/instances/" + id_ + " HTTP/1.1\r\nHost: " + settings_.agent +
                     "\r\nContent-Type: application/json\r\n";
      request.body = std::make_shared<fleet::body_pipe>();
      const bool draining = draining_;
      nlohmann::json heartbeat{{"service", settings_.service},
                               {"address", settings_.address},
                               {"zone", settings_.zone},
                               {"version", "v1"},
                               {"capacity", settings_.slots},
                               {"state", draining ? "draining" : "ready"},
                               {"warmupLeft", std::to_string(cold_for().count()) + "ms"},
                               {"sequence", ++sequence_},
                               {"born", started_ms_}};
      const bool takes_keys = settings_.keyed && settings_.grants_by_heartbeat;
      if (heartbeat_delay_ > duration{}) {
        boost::asio::co_spawn(executor_, send_late(id_, heartbeat.dump(), heartbeat_delay_),
                              boost::asio::detached);
        boost::asio::steady_timer interval(executor_, std::chrono::milliseconds{870});
        co_await interval.async_wait(boost::asio::use_awaitable);
        continue;
      }
      if (takes_keys) report_keys(heartbeat);
      request.body->append(heartbeat.dump());
      request.body->finish();
      const auto sent = boot_now();
      request.deadline = sent + std::chrono::seconds{1};
      fleet::cancellation never_cancelled;
      const auto exchange =
          co_await fleet::run_exchange(pool_, settings_.agent, std::move(request), never_cancelled);
      const bool acknowledged =
          exchange.result == fleet::exchange_result::answered && exchange.status / 100 == 2;
      if (draining && acknowledged && incarnation == incarnation_ && !drain_acknowledged_at_)
        drain_acknowledged_at_ = boot_now();
      const bool lost = delays_grants_ && random_() % 2 == 0;
      if (takes_keys && acknowledged && !lost && incarnation == incarnation_) {
        freed_.clear();
        take_keys(nlohmann::json::parse(exchange.body->buffered()), sent);
      }
      const std::chrono::milliseconds pause{giving_up_.empty() ? 870 : 100};
      boost::asio::steady_timer timer(executor_, pause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }
  void run_after(duration delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(executor_, delay);
    timer->async_wait([timer, action = std::move(action)](const auto& error) {
      if (!error) action();
    });
  }

  boost::asio::any_io_executor executor_;
  upstream_settings settings_;
  invariant_checker& checker_;
  std::mt19937_64 random_;
  fleet::connection_pool pool_;
  std::unique_ptr<fleet::http_server> server_;
  std::function<std::set<std::string>(claims::shard_key)> holders_;
  std::function<std::uint64_t(const claims::key_range&)> highest_fence_;
  std::string id_;
  int incarnation_ = 0;
  std::int64_t started_ms_ = 0;
  std::uint64_t sequence_ = 0;
  time_point cold_until_{};
  std::deque<time_point> cold_arrivals_;
  std::size_t most_while_cold_ = 0;
  std::size_t arrived_ = 0;
  bool health_silent_ = false;
  bool heartbeats_silent_ = false;
  duration heartbeat_delay_{};
  std::vector<request_ptr> unanswered_;
  bool draining_ = false;
  bool leaving_ = false;
  std::optional<time_point> leaving_told_at_;  ///< Of the first answer that said so.
  std::optional<double> limit_;
  std::optional<time_point> limit_named_at_;  ///< In the first answer that named it.
  std::deque<time_point> arrivals_;           ///< In the last four seconds, under a limit.
  bool delays_grants_ = false;
  std::optional<time_point> drain_acknowledged_at_;
  std::size_t running_ = 0;
  std::vector<grant> grants_;
  std::vector<past_grant> past_grants_;
  std::vector<grant> giving_up_;  ///< No new work; freed once their requests have ended.
  std::vector<claims::key_range> freed_;
  std::multiset<claims::shard_key> busy_keys_;
};

}  // namespace masticshunt::process_soak
