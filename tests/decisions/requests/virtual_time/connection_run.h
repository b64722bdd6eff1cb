/// @file
/// A simulation of lookups over a few connections, one of which becomes permanently unresponsive.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "decisions/requests/virtual_time/draws.h"
#include "decisions/requests/virtual_time/event_queue.h"
#include "masticshunt/decisions/requests/hedging.h"
#include "masticshunt/decisions/requests/outlier_detector.h"

namespace masticshunt::testing {

/// Settings of a run: which countermeasures against unresponsive connections are enabled.
struct connection_settings {
  bool hedges = false;
  bool detects = false;
  std::uint64_t seed = 1;
  std::uint32_t lookups = 20'000;
  std::uint32_t connections = 8;
};

/// The results of a run.
struct connection_result {
  duration p50{};
  duration p99{};
  std::uint32_t failed = 0;   ///< Lookups without an answer before the deadline.
  double extra_attempts = 0;  ///< Hedges per lookup.
};

/// A run in virtual time. Connection 0 stops responding after a quarter of the lookups.
class connection_run {
 public:
  explicit connection_run(const connection_settings& settings)
      : settings_(settings), random_(settings.seed), detector_({}), hedges_({}) {
    for (std::uint32_t i = 0; i < settings.connections; ++i)
      detector_.add_member(std::to_string(i), false, now_);
  }

  connection_result run() {
    events_.add(now_, arrival{});
    events_.add(now_, tick{});
    while (!(lookups_.size() == settings_.lookups && open_ == 0)) {
      now_ = events_.next_time();
      std::visit([this](const auto& event) { handle(event); }, events_.take());
    }
    std::ranges::sort(latencies_);
    const auto at = [&](double share) {
      return latencies_[static_cast<std::size_t>(share * static_cast<double>(latencies_.size()))];
    };
    return {at(0.5), at(0.99), failed_,
            static_cast<double>(hedges_.taken()) / static_cast<double>(settings_.lookups)};
  }

 private:
  static constexpr duration deadline = std::chrono::seconds{1};

  struct arrival {};
  struct tick {};
  struct answer {
    std::uint32_t lookup = 0;
    std::uint32_t connection = 0;
  };
  struct hedge_due {
    std::uint32_t lookup = 0;
  };
  struct deadline_due {
    std::uint32_t lookup = 0;
  };
  using connection_event = std::variant<arrival, tick, answer, hedge_due, deadline_due>;
  struct lookup_state {
    time_point sent{};
    std::vector<std::uint32_t> waiting_on;
    bool open = true;
  };

  void handle(const arrival& event) {
    if (lookups_.size() == settings_.lookups) return;
    const auto index = static_cast<std::uint32_t>(lookups_.size());
    lookups_.push_back({now_, {}});
    ++open_;
    hedges_.first_attempt();
    send(index);
    requests::request_descriptor request;
    request.deadline = now_ + deadline;
    if (const auto delay = hedges_.delay(request, now_); delay && settings_.hedges)
      events_.add(now_ + *delay, hedge_due{index});
    events_.add(now_ + deadline, deadline_due{index});
    events_.add(now_ + random_.exponential(std::chrono::milliseconds{1}), event);
  }

  void send(std::uint32_t index) {
    std::uint32_t connection = 0;
    do {
      connection = static_cast<std::uint32_t>(random_.below(settings_.connections));
    } while (!may_use(index, connection));
    lookups_[index].waiting_on.push_back(connection);
    detector_.sent(std::to_string(connection), now_);
    const bool unresponsive = connection == 0 && index >= settings_.lookups / 4;
    const duration service = random_.lognormal(std::chrono::milliseconds{8}, 0.6);
    if (!unresponsive) events_.add(now_ + service, answer{index, connection});
  }

  bool may_use(std::uint32_t index, std::uint32_t connection) {
    if (std::ranges::count(lookups_[index].waiting_on, connection) > 0) return false;
    return !settings_.detects || detector_.admits(std::to_string(connection), random_.unit(), now_);
  }

  void handle(const answer& event) {
    lookup_state& lookup = lookups_[event.lookup];
    detector_.ended(std::to_string(event.connection), requests::attempt_result::answered, now_);
    std::erase(lookup.waiting_on, event.connection);
    if (!lookup.open) return;
    end(event.lookup);
    hedges_.answered(now_ - lookup.sent);
    latencies_.push_back(now_ - lookup.sent);
  }

  void handle(const hedge_due& event) {
    if (lookups_[event.lookup].open && hedges_.take()) send(event.lookup);
  }

  void handle(const deadline_due& event) {
    lookup_state& lookup = lookups_[event.lookup];
    for (const std::uint32_t connection : lookup.waiting_on)
      detector_.ended(std::to_string(connection), requests::attempt_result::timed_out, now_);
    lookup.waiting_on.clear();
    if (!lookup.open) return;
    end(event.lookup);
    ++failed_;
    latencies_.push_back(deadline);
  }

  void handle(const tick& event) {
    detector_.tick(now_);
    events_.add(now_ + std::chrono::milliseconds{10}, event);
  }

  void end(std::uint32_t index) {
    lookups_[index].open = false;
    --open_;
  }

  connection_settings settings_;
  draws random_;
  time_point now_{};
  event_queue<connection_event> events_;
  requests::outlier_detector detector_;
  requests::hedge_policy hedges_;
  std::vector<lookup_state> lookups_;
  std::vector<duration> latencies_;
  std::uint32_t open_ = 0;
  std::uint32_t failed_ = 0;
};

}  // namespace masticshunt::testing
