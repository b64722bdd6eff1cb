/// @file
/// Watches a fleet and reports every broken invariant.
#pragma once

#include <array>
#include <limits>
#include <string>
#include <vector>

#include "soak/fleet.h"

namespace masticshunt::testing {

/// Work that an upstream may still be doing.
struct running_work {
  std::size_t agent = 0;
  std::uint64_t life = 0;
  key_hash hash = 0;
  fence_token token;
  true_time end{};
};

/// Samples who may act, at true time, and keeps what upstreams may still be running.
///
/// Work admitted under a ticket may go on until the ticket's lease end by the agent's own clock,
/// and a little longer, since an upstream needs time to stop; the margin of leases is for that.
class invariant_checker {
 public:
  explicit invariant_checker(fleet& watched) : fleet_(watched) {
    fleet_.on_violation = [this](const std::string& what) { report(what); };
    fleet_.on_finish = [this](std::size_t index, const ownership::finish_range& what) {
      finish(index, what.range);
    };
    fleet_.on_crash = [this](std::size_t index) { crashed(index); };
    fleet_.on_record = [this](std::size_t index, const ownership::record_in_force& what) {
      record(index, what);
    };
    fleet_.store.on_write = [this](const auto& before, const auto& after) {
      written(before, after);
    };
    for (std::size_t index = 0; index < hashes_.size(); ++index) {
      hashes_[index] = std::numeric_limits<key_hash>::max() / hashes_.size() * index + 12345;
      unserved_since_[index] = {};
    }
    schedule();
  }

  /// Returns the first violation, or nothing.
  const std::optional<std::string>& violation() const { return violation_; }

  /// Returns the share of sampled keys that somebody may serve now.
  double served_share() {
    std::size_t served = 0;
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      if (served_now_[key]) ++served;
    }
    return static_cast<double>(served) / static_cast<double>(hashes_.size());
  }

  /// Gaps in service per key that ended or still go on, since `reset_gaps`.
  std::vector<duration> gaps() const {
    auto all = gaps_;
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      if (!served_now_[key]) all.push_back(fleet_.now - unserved_since_[key]);
    }
    return all;
  }
  /// The same for the keys that agents other than `victims` owned in `page`.
  std::vector<duration> gaps_of_living(const std::vector<std::size_t>& victims,
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
  static constexpr duration upstream_stop_most = milliseconds{40};

  void schedule() {
    fleet_.at(fleet_.now + sample_interval, [this] {
      sample();
      schedule();
    });
  }

  void report(const std::string& what) {
    if (violation_) return;
    violation_ = "at " + std::to_string(fleet_.now / milliseconds{1}) + " ms: " + what;
    fleet_.log_event("VIOLATION " + what);
  }

  void sample() {
    std::erase_if(works_, [&](const running_work& work) { return work.end <= fleet_.now; });
    std::array<bool, sampled_keys> served{};
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      auto& one = fleet_.nodes[index];
      if (!one.alive() || one.paused_until > fleet_.now) continue;
      for (std::size_t key = 0; key < hashes_.size(); ++key) {
        const auto ticket =
            one.core->admit(fleet_.settings.service, hashes_[key], one.local(fleet_.now));
        if (!ticket) continue;
        served[key] = true;
        admitted(index, key, *ticket);
      }
    }
    note_gaps(served);
  }

  void admitted(std::size_t index, std::size_t key, const ownership::admission_ticket& ticket) {
    ++tickets_;
    auto& one = fleet_.nodes[index];
    const key_hash hash = hashes_[key];
    for (const auto& work : works_) {
      if (work.hash != hash || work.agent == index) continue;
      report(one.name + " may act on key " + std::to_string(key) + " under " +
             to_string(ticket.token) + " while " + fleet_.nodes[work.agent].name +
             " may still act under " + to_string(work.token));
    }
    if (one.drained_since && fleet_.now > *one.drained_since + seconds{3}) {
      report(one.name + " takes new work 3 s after its drain order came into force");
    }
    if (ticket.token > stored_[key]) {
      report(one.name + " acts under " + to_string(ticket.token) + ", which no page ever held");
    }
    const bool long_work = fleet_.draw() < 0.3;
    const true_time lease_end = one.to_true(ticket.lease_end) + upstream_stop_most;
    const true_time end =
        long_work ? lease_end
                  : std::min(lease_end, fleet_.now + fleet_.draw_up_to(milliseconds{200}));
    works_.push_back({index, one.life, hash, ticket.token, end});
  }

  void note_gaps(const std::array<bool, sampled_keys>& served) {
    for (std::size_t key = 0; key < hashes_.size(); ++key) {
      if (served[key] && !served_now_[key]) {
        if (stored_[key] != fence_token{}) gaps_.push_back(fleet_.now - unserved_since_[key]);
      }
      if (served[key]) unserved_since_[key] = fleet_.now;
    }
    served_now_ = served;
  }

  /// Work in flight on the range ends, then the agent says that it is quiet.
  void finish(std::size_t index, const hash_range& range) {
    true_time quiet = fleet_.now;
    for (auto& work : works_) {
      if (work.agent == index && range.contains(work.hash)) {
        work.end = std::min(work.end, fleet_.now + fleet_.draw_up_to(milliseconds{300}));
        quiet = std::max(quiet, work.end);
      }
    }
    const auto life = fleet_.nodes[index].life;
    fleet_.at(quiet + duration{1}, [this, index, life, range] {
      if (fleet_.nodes[index].life == life) {
        fleet_.deliver(index, ownership::range_idle{range});
      }
    });
  }

  /// Half of the crashes take the VM with its upstream; otherwise the upstream goes on.
  void crashed(std::size_t index) {
    if (fleet_.draw() < 0.5) return;
    std::erase_if(works_, [&](const running_work& work) { return work.agent == index; });
  }

  void record(std::size_t index, const ownership::record_in_force& what) {
    auto& one = fleet_.nodes[index];
    if (what.object.name != "config/drain/" + one.name) return;
    one.drained_since.reset();
    if (!what.object.value.empty()) one.drained_since = fleet_.now;
  }

  void written(const ownership::store_object& before, const ownership::store_object& after) {
    if (!after.name.starts_with("groups/")) return;
    failure reason;
    const auto page = ownership::page_from_object(after, reason);
    if (!page) {
      report("a page was written that can't be read: " + reason.message);
      return;
    }
    if (!before.value.empty()) {
      const auto old = ownership::page_from_object(before, reason);
      if (page->epoch < old->epoch || page->sequence <= old->sequence) {
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
  std::vector<running_work> works_;
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
