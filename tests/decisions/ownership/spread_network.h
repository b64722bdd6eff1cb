/// @file
/// Simulates a network of `spread` instances in virtual time, for tests and measurements.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "masticshunt/decisions/ownership/spread.h"

namespace masticshunt::testing {

using namespace masticshunt::ownership;

/// Parameters of the simulated network.
struct network_plan {
  std::size_t regions = 1;
  std::size_t agents_per_region = 4;
  std::uint64_t seed = 1;
  duration local_delay = std::chrono::microseconds{1500};
  duration remote_delay = std::chrono::milliseconds{12};
  double bytes_per_second = 8'000;
  double burst_bytes = 1024 * 1024;
};

/// Delivers messages in order of time, counts them, and can drop them.
class spread_network {
 public:
  explicit spread_network(const network_plan& plan) : plan_(plan) {
    std::vector<spread_peer> all_peers;
    for (std::size_t region = 0; region < plan.regions; ++region) {
      for (std::size_t index = 0; index < plan.agents_per_region; ++index) {
        const auto name = "r" + std::to_string(region) + ".a" + std::to_string(index);
        all_peers.push_back({name, "r" + std::to_string(region)});
        indices_[name] = all_peers.size() - 1;
      }
    }
    for (const auto& peer : all_peers) {
      spread_settings settings;
      settings.self = peer.control;
      settings.region = peer.region;
      settings.seed = plan.seed;
      settings.bytes_per_second = plan.bytes_per_second;
      settings.burst_bytes = plan.burst_bytes;
      agents_.push_back(std::make_unique<spread>(settings));
      agents_.back()->set_peers("page", all_peers);
    }
    peers_ = all_peers;
    wakes_.resize(agents_.size());
    for (std::size_t index = 0; index < agents_.size(); ++index) tick(index);
  }

  spread& agent(std::size_t index) { return *agents_[index]; }
  [[nodiscard]] std::size_t size() const { return agents_.size(); }
  [[nodiscard]] time_point now() const { return now_; }

  /// Adds an object at one agent, as if read from the store.
  void put(std::size_t index, const versioned_object& object) {
    agents_[index]->put(object, now_);
    tick(index);
  }

  /// Runs for `length`, or until `done` returns true. Returns the last result of `done`.
  bool run(
      duration length, const std::function<bool()>& done = [] { return false; }) {
    const auto end = now_ + length;
    while (!done()) {
      if (events_.empty() || events_.top().when > end) {
        now_ = end;
        return done();
      }
      step();
    }
    return true;
  }

  /// Returns the number of agents that hold `name` at `version` or newer.
  [[nodiscard]] std::size_t holders(const std::string& name, std::uint64_t version) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        agents_, [&](const auto& agent) { return agent->version(name) >= version; }));
  }

  std::function<bool(std::size_t from, std::size_t to)> lost;  ///< Drops the message if true.
  std::function<void(const spread_message&)> seen;             ///< Called for each sent message.
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t remote_bytes = 0;
  std::uint64_t adoptions = 0;
  std::uint64_t largest_message_bytes = 0;

 private:
  struct event {
    time_point when;
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::size_t from = 0;
    std::shared_ptr<spread_message> body;  ///< Null for a tick.

    bool operator<(const event& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  void step() {
    const auto next = events_.top();
    events_.pop();
    now_ = next.when;
    if (!next.body) {
      if (wakes_[next.to] == next.when) tick(next.to);
      return;
    }
    send(next.to, agents_[next.to]->handle(peers_[next.from].control, *next.body, now_));
    schedule(next.to);
  }

  void tick(std::size_t index) {
    send(index, agents_[index]->tick(now_));
    schedule(index);
  }

  void schedule(std::size_t index) {
    const auto due = agents_[index]->next_wake(now_);
    if (wakes_[index] > now_ && wakes_[index] <= due) return;
    wakes_[index] = std::max(due, now_ + std::chrono::milliseconds{1});
    events_.push({wakes_[index], ++order_, index, index, nullptr});
  }

  void send(std::size_t from, spread_output output) {
    adoptions += output.adopted.size();
    for (auto& message : output.sends) {
      const auto to = indices_.at(message.to);
      const auto size = wire_bytes(message.body);
      const bool remote = peers_[from].region != peers_[to].region;
      ++messages;
      bytes += size;
      largest_message_bytes = std::max(largest_message_bytes, size);
      if (remote) remote_bytes += size;
      if (seen) seen(message.body);
      if (lost && lost(from, to)) continue;
      events_.push({now_ + (remote ? plan_.remote_delay : plan_.local_delay), ++order_, to, from,
                    std::make_shared<spread_message>(std::move(message.body))});
    }
  }

  network_plan plan_;
  time_point now_{std::chrono::hours{1}};
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<spread>> agents_;
  std::vector<spread_peer> peers_;
  std::map<std::string, std::size_t> indices_;
  std::vector<time_point> wakes_;
  std::priority_queue<event> events_;
};

}  // namespace masticshunt::testing
