/// @file
/// Checks the invariants of key ownership in a simulated fleet.
#pragma once

#include <array>
#include <limits>
#include <string>
#include <vector>

#include "soak/fleet.h"

namespace masticshunt::testing {

/// A request that an upstream may still be running.
struct running_work {
  std::size_t agent = 0;
  std::uint64_t process_generation = 0;
  key_hash hash = 0;
  fence_token token;
  true_time end{};
};

/// Samples in reference time which agents admit requests for which keys, and tracks the requests
/// that upstreams may still be running.
///
/// A request admitted under a ticket may run until the ticket's lease ends by the agent's own
/// clock, and for up to `upstream_stop_delay_max` longer because an upstream needs time to stop.
/// The margin of leases covers that delay.
class invariant_checker {
 public:
  explicit invariant_checker(fleet& watched) : fleet_(watched) {
    fleet_.on_violation = [this](const std::string& violation) { report(violation); };
    fleet_.on_finish = [this](std::size_t index, const ownership::finish_range& request) {
      finish_work(index, request.range);
    };
    fleet_.on_crash = [this](std::size_t index) { handle_crash(index); };
    fleet_.on_record = [this](std::size_t index, const ownership::record_in_force& change) {
      update_drain(index, change);
    };
    fleet_.store.on_write = [this](const auto& before, const auto& after) {
      check_page_write(before, after);
    };
    for (std::size_t index = 0; index < hashes_.size(); ++index) {
      hashes_[index] = std::numeric_limits<key_hash>::max() / hashes_.size() * index + 12345;
      unserved_since_[index] = {};
    }
    schedule();
  }

  /// Returns the first violation, or nothing.
  const std::optional<std::string>& violation() const { return violation_; }

  /// Returns the share of sampled keys that some agent may serve now.
  double served_share() {
    std::size_t served = 0;
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      if (served_now_[key]) ++served;
    }
    return static_cast<double>(served) / static_cast<double>(hashes_.size());
  }

  /// Returns the intervals without service, ended or ongoing, of all sampled keys since
  /// `reset_gaps`.
  std::vector<duration> gaps() const {
    auto all = gaps_;
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      if (!served_now_[key]) all.push_back(fleet_.now - unserved_since_[key]);
    }
    return all;
  }
  /// Returns the same, but of the ongoing gaps only those of keys whose owner in `page` is none of
  /// `victims`.
  std::vector<duration> gaps_of_surviving_owners(const std::vector<std::size_t>& victims,
                                                 const ownership::assignment_page& page) const {
    auto all = gaps_;
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      const auto owner = fleet_.index_of(ownership::find_range(page, hashes_[key])->owner.name);
      const bool lost = std::ranges::find(victims, *owner) != victims.end();
      if (!lost && !served_now_[key]) all.push_back(fleet_.now - unserved_since_[key]);
    }
    return all;
  }
  void reset_gaps() {
    gaps_.clear();
    owner_changes_ = 0;
    for (auto& since : unserved_since_) since = fleet_.now;
  }
  std::uint64_t owner_changes() const { return owner_changes_; }
  std::uint64_t tickets() const { return tickets_; }

 private:
  static constexpr std::size_t sampled_keys = 16;
  static constexpr duration sample_interval = milliseconds{10};
  static constexpr duration upstream_stop_delay_max = milliseconds{40};

  void schedule() {
    fleet_.at(fleet_.now + sample_interval, [this] {
      sample();
      schedule();
    });
  }

  void report(const std::string& description) {
    if (violation_) return;
    violation_ = "at " + std::to_string(fleet_.now / milliseconds{1}) + " ms: " + description;
    fleet_.log_event("VIOLATION " + description);
  }

  void sample() {
    std::erase_if(running_, [&](const running_work& work) { return work.end <= fleet_.now; });
    std::array<bool, sampled_keys> served{};
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      auto& agent = fleet_.nodes[index];
      if (!agent.alive() || agent.paused_until > fleet_.now) continue;
      for (std::size_t key = 0; key < hashes_.size(); ++key) {
        const auto ticket =
            agent.core->admit(fleet_.settings.service, hashes_[key], agent.local(fleet_.now));
        if (!ticket) continue;
        served[key] = true;
        check_admission(index, key, *ticket);
      }
    }
    update_gaps(served);
  }

  void check_admission(std::size_t index, std::size_t key,
                       const ownership::admission_ticket& ticket) {
    ++tickets_;
    auto& agent = fleet_.nodes[index];
    const key_hash hash = hashes_[key];
    for (const auto& work : running_) {
      if (work.hash != hash || work.agent == index) continue;
      report(agent.name + " admits a request for key " + std::to_string(key) + " under " +
             to_string(ticket.token) + " while " + fleet_.nodes[work.agent].name +
             " may still run one under " + to_string(work.token));
    }
    if (agent.drained_since && fleet_.now > *agent.drained_since + seconds{3}) {
      report(agent.name + " admits a request more than 3 s after its drain record came into force");
    }
    if (ticket.token > stored_[key]) {
      report(agent.name + " admits a request under " + to_string(ticket.token) +
             ", which is in no stored page");
    }
    const bool runs_until_lease_end = fleet_.draw() < 0.3;
    const true_time lease_end = agent.to_true(ticket.lease_end) + upstream_stop_delay_max;
    const true_time end =
        runs_until_lease_end
            ? lease_end
            : std::min(lease_end, fleet_.now + fleet_.draw_up_to(milliseconds{200}));
    running_.push_back({index, agent.process_generation, hash, ticket.token, end});
  }

  void update_gaps(const std::array<bool, sampled_keys>& served) {
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      if (served[key] && !served_now_[key]) {
        if (stored_[key] != fence_token{}) gaps_.push_back(fleet_.now - unserved_since_[key]);
      }
      if (served[key]) unserved_since_[key] = fleet_.now;
    }
    served_now_ = served;
  }

  /// Ends the requests in flight on the range, then reports the range as idle to the agent.
  void finish_work(std::size_t index, const hash_range& range) {
    true_time idle_at = fleet_.now;
    for (auto& work : running_) {
      if (work.agent == index && range.contains(work.hash)) {
        work.end = std::min(work.end, fleet_.now + fleet_.draw_up_to(milliseconds{300}));
        idle_at = std::max(idle_at, work.end);
      }
    }
    const auto process_generation = fleet_.nodes[index].process_generation;
    fleet_.at(idle_at + duration{1}, [this, index, process_generation, range] {
      if (fleet_.nodes[index].process_generation == process_generation) {
        fleet_.deliver(index, ownership::range_idle{range});
      }
    });
  }

  /// In half of the crashes the upstream is lost with its VM; otherwise it keeps running.
  void handle_crash(std::size_t index) {
    if (fleet_.draw() < 0.5) return;
    std::erase_if(running_, [&](const running_work& work) { return work.agent == index; });
  }

  void update_drain(std::size_t index, const ownership::record_in_force& change) {
    auto& agent = fleet_.nodes[index];
    if (change.object.name != "config/drain/" + agent.name) return;
    agent.drained_since.reset();
    if (!change.object.value.empty()) agent.drained_since = fleet_.now;
  }

  void check_page_write(const ownership::store_object& before,
                        const ownership::store_object& after) {
    if (!after.name.starts_with("groups/")) return;
    failure reason;
    const auto page = ownership::page_from_object(after, reason);
    if (!page) {
      report("a written page cannot be parsed: " + reason.message);
      return;
    }
    if (!before.value.empty()) {
      const auto previous = ownership::page_from_object(before, reason);
      if (page->epoch < previous->epoch || page->sequence <= previous->sequence) {
        report("a page was overwritten by an older one");
      }
    }
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      const auto* range = ownership::find_range(*page, hashes_[key]);
      if (range == nullptr) {
        report("a written page does not cover key " + std::to_string(key));
        return;
      }
      if (range->token < stored_[key]) report("an acknowledged assignment was lost");
      if (range->token != stored_[key]) ++owner_changes_;
      stored_[key] = range->token;
    }
    fleet_.log_event("page " + std::to_string(page->sequence) + " epoch " +
                     std::to_string(page->epoch) + " " + renewers_of(*page));
  }

  static std::string renewers_of(const ownership::assignment_page& page) {
    std::string text = "renewers";
    for (const auto& record : page.renewers) {
      text += " " + to_string(record.id) + (record.withdrawn ? "(withdrawn)" : "");
    }
    return text;
  }

  fleet& fleet_;
  std::vector<running_work> running_;
  std::array<key_hash, sampled_keys> hashes_{};
  std::array<fence_token, sampled_keys> stored_{};
  std::array<bool, sampled_keys> served_now_{};
  std::array<true_time, sampled_keys> unserved_since_{};
  std::vector<duration> gaps_;
  std::uint64_t owner_changes_ = 0;
  std::uint64_t tickets_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace masticshunt::testing
