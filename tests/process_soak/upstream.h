/// @file
/// A stand-in of an upstream of the users' platform: lives, keys, heartbeats, slots.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
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
  endpoint agent;  ///< Where its heartbeats go.
  bool keyed = false;
  std::size_t slots = 8;
};

/// One upstream through all its lives.
///
/// Life cycle: construct, `live`; `crash`, `leave` and `live` again as the run wishes.
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

  /// Sets who tells which upstreams hold a key, and the highest fence that others had.
  void on_question(std::function<std::set<std::string>(claims::shard_key)> holders,
                   std::function<std::uint64_t(const claims::key_range&)> highest_fence) {
    holders_ = std::move(holders);
    highest_fence_ = std::move(highest_fence);
  }
  /// Begins a new life.
  void live() {
    ++lives_;
    id_ = "i-" + settings_.name + "-" + std::to_string(lives_);
    born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    sequence_ = 0;
    leaving_acknowledged_.reset();
    leaving_ = false;
    holds_.clear();
    server_ = std::make_unique<fleet::http_server>(
        executor_, [this](auto request) { receive(std::move(request)); });
    if (const auto why = server_->start(settings_.address); !why.empty())
      std::printf("upstream %s: %s\n", settings_.name.c_str(), why.c_str());
    boost::asio::co_spawn(executor_, beat(lives_), boost::asio::detached);
  }
  /// Ends without a word.
  void crash() {
    server_.reset();
    holds_.clear();
    id_.clear();
  }
  /// Says from now on that it leaves.
  void leave() { leaving_ = true; }
  /// Grants are answered late, or carried out late without an answer, while this is set.
  void set_late(bool late) { late_ = late; }

  [[nodiscard]] bool up() const { return server_ != nullptr; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const upstream_settings& settings() const { return settings_; }
  [[nodiscard]] bool holds(claims::shard_key key) const {
    const auto now = boot_now();
    return up() && std::ranges::any_of(holds_, [&](const hold& each) {
             return each.keys.contains(key) && now < each.until;
           });
  }
  /// Returns the highest fence on one of `keys` that lives of this upstream had; the present one is
  /// left out if `others_only`.
  [[nodiscard]] std::uint64_t highest_fence(const claims::key_range& keys, bool others_only) const {
    std::uint64_t highest = 0;
    for (const auto& each : fences_)
      if (each.keys.overlaps(keys) && !(others_only && each.life == lives_))
        highest = std::max(highest, each.fence);
    return highest;
  }
  void sweep(time_point now) {
    if (server_) server_->sweep(now);
  }

 private:
  using request_ptr = std::shared_ptr<fleet::server_request>;
  struct hold {
    claims::key_range keys;
    std::uint64_t fence = 0;
    time_point until;
  };

  struct seen_fence {
    claims::key_range keys;
    std::uint64_t fence = 0;
    int life = 0;
  };

  static std::string header(const request_ptr& request, std::string_view name) {
    const auto found = request->head.find(boost::beast::string_view(name.data(), name.size()));
    return found == request->head.end() ? std::string{} : std::string(found->value());
  }

  void receive(request_ptr request) {
    if (!request->body->complete())
      return when_complete(executor_, request, [this, request] {
        if (up()) receive(request);
      });
    const std::string target(request->head.target());
    if (target.starts_with("/-/")) return order(request, target);
    const std::string id = header(request, "X-Request-Id");
    const auto refuse = [&](unsigned status) {
      request->respond(
          {.status = status, .headers = "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\n"});
    };
    if (header(request, "X-Expected-Instance") != id_) return refuse(421);
    if (leaving_acknowledged_)
      checker_.reached_leaving(settings_.name, boot_now() - *leaving_acknowledged_);
    if (settings_.keyed) {
      const auto key = static_cast<claims::shard_key>(std::stoul(header(request, "X-Shard-Key")));
      if (!holds(key)) return refuse(421);
      checker_.key_used(key, holders_(key));
    }
    if (running_ >= settings_.slots) return refuse(503);
    ++running_;
    checker_.runs(id, settings_.name);
    after(std::chrono::milliseconds{5 + random_() % 60}, [this, request, id, life = lives_] {
      --running_;
      if (!up() || life != lives_) return;
      request->respond({.headers = "X-Request-Id: " + id + "\r\nX-Response-Signature: s." + id +
                                   "\r\nX-Server-Load: 1,0,8\r\n",
                        .text = "body of " + id});
    });
  }

  void order(const request_ptr& request, const std::string& target) {
    const auto body = nlohmann::json::parse(request->body->buffered(), nullptr, false);
    if (body.is_discarded()) return request->respond({.status = 400});
    if (late_ && random_() % 2 == 0) {
      // Carried out later, over a connection that is gone by then.
      after(std::chrono::milliseconds{2'000 + random_() % 4'000},
            [this, body, target, life = lives_, arrived = boot_now()] {
              if (up() && life == lives_) carry_out(target, body, arrived);
            });
      return request->respond({.abort = true});
    }
    const auto status = carry_out(target, body, boot_now());
    request->respond(
        {.status = status, .headers = "X-Handover: h" + std::to_string(sequence_) + "\r\n"});
  }

  unsigned carry_out(const std::string& target, const nlohmann::json& body, time_point arrived) {
    const claims::key_range keys{body.at("from").get<claims::shard_key>(),
                                 body.at("to").get<claims::shard_key>()};
    const auto fence = body.at("fence").get<std::uint64_t>();
    if (target == "/-/release") {
      for (std::size_t i = 0; i < holds_.size(); ++i) {
        const hold one = holds_[i];
        if (one.fence > fence || !one.keys.overlaps(keys)) continue;
        holds_.erase(holds_.begin() + static_cast<std::ptrdiff_t>(i--));
        if (one.keys.first < keys.first)
          holds_.push_back({{one.keys.first, keys.first - 1}, one.fence, one.until});
        if (one.keys.last > keys.last)
          holds_.push_back({{keys.last + 1, one.keys.last}, one.fence, one.until});
      }
      return 200;
    }
    for (const hold& each : holds_)
      if (each.keys.overlaps(keys) && each.fence > fence) return 409;
    const bool in_time = boot_now() - arrived < std::chrono::milliseconds{100};
    if (in_time)
      checker_.granted(fence, std::max(highest_fence_(keys), highest_fence(keys, true)),
                       settings_.name);
    std::erase_if(holds_, [&](const hold& each) { return keys.contains(each.keys); });
    const auto text = body.at("hold_time").get<std::string>();
    // A clock that is 2% slow holds keys for longer.
    const auto span = std::chrono::milliseconds{std::stoll(text) * 102 / 100};
    holds_.push_back({keys, fence, arrived + span});
    fences_.push_back({keys, fence, lives_});
    if (fences_.size() > 4'000) fences_.erase(fences_.begin(), fences_.begin() + 2'000);
    return 200;
  }

  boost::asio::awaitable<void> beat(int life) {
    while (up() && life == lives_) {
      fleet::exchange_request request;
      request.head = "PUT /-/instances/" + id_ + " HTTP/1.1\r\nHost: " + settings_.agent +
                     "\r\nContent-Type: application/json\r\n";
      request.body = std::make_shared<fleet::body_pipe>();
      const bool leaves = leaving_;
      request.body->append(nlohmann::json{
          {"service", settings_.service},
          {"address", settings_.address},
          {"zone", settings_.zone},
          {"version", "v1"},
          {"capacity", settings_.slots},
          {"state", leaves ? "draining" : "ready"},
          {"warmupLeft", "0ms"},
          {"sequence", ++sequence_},
          {"born", born_ms_}}.dump());
      request.body->finish();
      request.deadline = boot_now() + std::chrono::seconds{1};
      fleet::cancellation nobody;
      const auto end =
          co_await fleet::run_exchange(pool_, settings_.agent, std::move(request), nobody);
      const bool acknowledged =
          end.result == fleet::exchange_result::answered && end.status / 100 == 2;
      if (leaves && acknowledged && life == lives_ && !leaving_acknowledged_)
        leaving_acknowledged_ = boot_now();
      boost::asio::steady_timer pause(executor_, std::chrono::milliseconds{300});
      co_await pause.async_wait(boost::asio::use_awaitable);
    }
  }
  void after(duration span, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(executor_, span);
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
  int lives_ = 0;
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  bool leaving_ = false;
  bool late_ = false;
  std::optional<time_point> leaving_acknowledged_;
  std::size_t running_ = 0;
  std::vector<hold> holds_;
  std::vector<seen_fence> fences_;
};

}  // namespace masticshunt::process_soak
