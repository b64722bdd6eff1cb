/// @file
/// Empties a failure domain of a third of a service's owners in virtual time.
///
///     evacuation [AGENTS...]     by default 30, 300 and 3000 agents
///
/// Prints how long the keys take to move, the messages, and the requests that find no owner for
/// longer than they wait.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "masticshunt/decisions/claims/leader.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::claims;
using std::chrono::milliseconds;

constexpr std::uint64_t zones = 3;
constexpr duration step = milliseconds{10};
constexpr duration way = milliseconds{10};              ///< Of a message between agents.
constexpr duration store_write = milliseconds{20};      ///< Until the leader has the answer.
constexpr duration work_in_flight = milliseconds{150};  ///< Of a range that is released.
constexpr duration request_wait = milliseconds{300};    ///< For the owner of a key that moves.
constexpr double requests_of_owner = 20;                ///< A second.
constexpr duration settling = std::chrono::seconds{6};
constexpr duration watched = std::chrono::seconds{20};

struct owner {
  owner_report report;
  time_point next_report{};
  std::map<std::uint64_t, std::pair<released_range, time_point>> releasing;  ///< By fence.
};

struct result {
  duration moved_after{};
  std::size_t ranges = 0;
  std::size_t reports = 0;
  std::size_t pushes = 0;
  std::size_t writes = 0;
  double refused = 0;
  double asked = 0;
};

class evacuation {
 public:
  explicit evacuation(std::size_t agents) : owners_(agents) {
    leader_.set_candidate(0);
    for (std::size_t i = 0; i < agents; ++i) {
      auto& report = owners_[i].report;
      const std::string name = "vm-" + std::to_string(i);
      report = {.service = "ledger",
                .holder = {name, 1},
                .address = name + ":7600",
                .agent_incarnation = 1,
                .upstream = {"i-" + name, 1},
                .accepting = true,
                .slots = 9,
                .service_time = milliseconds{150},
                .takes_changes = true};
      owners_[i].next_report = now_ + milliseconds{static_cast<std::int64_t>(i * 300 / agents)};
      by_name_[name] = i;
    }
  }

  result run() {
    for (const auto end = now_ + settling; now_ < end; now_ += step) tick();
    counts_ = {};
    counts_.ranges = owned_in_zone();
    for (std::size_t i = 0; i < owners_.size(); i += zones) {
      owners_[i].report.accepting = false;
      owners_[i].report.relocating = true;
    }
    const auto began = now_;
    for (const auto end = now_ + watched; now_ < end && owned_in_zone() > 0; now_ += step) tick();
    counts_.moved_after = now_ - began;
    counts_.asked = requests_of_owner * static_cast<double>(owners_.size()) *
                    std::chrono::duration<double>(counts_.moved_after).count();
    return counts_;
  }

 private:
  [[nodiscard]] std::size_t owned_in_zone() const {
    return static_cast<std::size_t>(std::ranges::count_if(stored_.claims, [&](const claim& each) {
      return !each.holder.agent.empty() && by_name_.at(each.holder.agent) % zones == 0;
    }));
  }

  void tick() {
    for (auto& each : owners_) report_if_due(each);
    if (written_at_ && now_ >= *written_at_) finish_write();
    for (const auto& action : leader_.tick(now_)) carry_out(action);
  }

  void report_if_due(owner& each) {
    for (const auto& [fence, range] : each.releasing)
      if (range.second <= now_ &&
          std::ranges::find(each.report.released, range.first) == each.report.released.end()) {
        each.report.released.push_back(range.first);
        each.next_report = now_;
      }
    if (now_ < each.next_report) return;
    each.next_report = now_ + milliseconds{300};
    each.report.map_revision = stored_.revision;
    ++counts_.reports;
    const auto reply = leader_.report_received(each.report, now_);
    for (const auto& range : reply.to_release) {
      const auto [position, is_new] = each.releasing.try_emplace(range.fence);
      if (!is_new) continue;
      position->second = {range, now_ + way + work_in_flight};
      away_since_[range.fence] = {range.keys, now_ + way};
    }
  }

  void carry_out(const leader_action& action) {
    if (std::holds_alternative<read_map>(action)) {
      leader_.map_read(true, stored_.revision == 0 ? std::nullopt : std::optional(stored_), now_);
    } else if (const auto* write = std::get_if<write_map>(&action)) {
      ++counts_.writes;
      pending_ = write->map;
      sent_at_ = now_;
      written_at_ = now_ + store_write;
    } else if (const auto* push = std::get_if<push_map>(&action)) {
      counts_.pushes += push->recipients.size();
    }
  }

  void finish_write() {
    written_at_.reset();
    const auto before = std::move(stored_);
    stored_ = pending_;
    stored_.revision = ++revision_;
    leader_.map_written(write_result::applied, revision_, sent_at_, now_);
    for (auto it = away_since_.begin(); it != away_since_.end();) {
      const claim* named = stored_.find(it->second.first.first);
      if (named->fence == it->first || named->holder.agent.empty()) {
        ++it;
        continue;
      }
      const duration gap = now_ + 2 * way - it->second.second;
      const double share = static_cast<double>(it->second.first.size()) / (last_shard_key + 1.0);
      const double rate = share * requests_of_owner * static_cast<double>(owners_.size());
      counts_.refused +=
          rate * std::max(0.0, std::chrono::duration<double>(gap - request_wait).count());
      it = away_since_.erase(it);
    }
    for (auto& each : owners_) {
      std::erase_if(each.report.released, [&](const released_range& range) {
        return stored_.find(range.keys.first)->fence != range.fence;
      });
      std::erase_if(each.releasing, [&](const auto& range) {
        return stored_.find(range.second.first.keys.first)->fence != range.first;
      });
    }
  }

  time_point now_{std::chrono::seconds{100}};
  leader leader_{"ledger", "leader", "leader:7600", 1, claim_timing{}, now_};
  std::vector<owner> owners_;
  std::map<std::string, std::size_t> by_name_;
  claim_map stored_;
  claim_map pending_;
  std::uint64_t revision_ = 10;
  time_point sent_at_{};
  std::optional<time_point> written_at_;
  /// Ranges that are released and have no new owner, by fence: keys, and since when.
  std::map<std::uint64_t, std::pair<key_range, time_point>> away_since_;
  result counts_;
};

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  if (sizes.empty()) sizes = {30, 300, 3'000};
  std::printf("%8s %8s %10s %9s %8s %8s %16s %10s\n", "agents", "ranges", "moved, s", "reports",
              "pushes", "writes", "refused, of", "took, s");
  for (const std::size_t agents : sizes) {
    const auto began = std::chrono::steady_clock::now();
    const result done = evacuation(agents).run();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    std::printf("%8zu %8zu %10.2f %9zu %8zu %8zu %8.0f %8.0f %9.1f\n", agents, done.ranges,
                std::chrono::duration<double>(done.moved_after).count(), done.reports, done.pushes,
                done.writes, done.refused, done.asked, took.count());
    std::fflush(stdout);
  }
}
