/// @file
/// Agents, their upstreams and a store that comes back from older copies, in virtual time.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "masticshunt/decisions/claims/leader.h"

namespace masticshunt::testing {

using namespace masticshunt::claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A deterministic simulation; all randomness comes from the seed.
class drill_fleet {
 public:
  static constexpr std::size_t owners = 4;
  static constexpr std::size_t agents = 6;  ///< The last two have no keyed upstream.

  explicit drill_fleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < agents; ++i) {
      nodes_[i].name = "vm-" + std::to_string(i);
      start(i);
      at(milliseconds{draw(50)}, [this, i] { tick(i); });
    }
    at({}, [this] { sample(); });
  }

  void run_for(duration span) {
    const auto end = now_ + span;
    while (!queue_.empty() && queue_.top().at <= end) {
      const auto next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.action();
    }
    now_ = end;
  }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  void at(duration delay, std::function<void()> action) {
    queue_.push({now_ + delay, order_++, std::move(action)});
  }

  /// The store goes away for `span` and comes back from a copy that is up to `age` old.
  void drill(duration age, duration span) {
    const auto wanted = now_ - age;
    const auto copy =
        std::ranges::find_if(copies_, [wanted](const auto& each) { return each.first >= wanted; });
    note("the store goes away");
    at(span, [this, data = copy == copies_.end() ? store_ : copy->second] {
      store_ = data;
      ++era_;
      away_ = false;
      note("the store is back in era " + std::to_string(era_));
    });
    away_ = true;
  }
  /// Ends the process on a VM, with notice or without it, and starts the next one `pause` later.
  void restart(std::size_t i, bool with_notice, duration pause) {
    if (!nodes_[i].running) return;
    note(nodes_[i].name + (with_notice ? " is stopped" : " is killed"));
    if (with_notice) {
      nodes_[i].service_leader->resign();
      if (nodes_[i].holder) nodes_[i].holder->prepare_restart(now_);
    }
    at(with_notice ? milliseconds{300} : milliseconds{0}, [this, i, pause] {
      ++nodes_[i].process;
      nodes_[i].running = false;
      at(pause, [this, i] {
        if (!nodes_[i].running) start(i);
      });
    });
  }
  /// The upstream of a VM ends, and the next one starts.
  void replace_upstream(std::size_t i) {
    note("the upstream of " + nodes_[i].name + " is replaced");
    ++nodes_[i].upstream_starts;
    nodes_[i].granted.clear();
  }
  /// Cuts a VM off the store for `span`.
  void isolate(std::size_t i, duration span) {
    note(nodes_[i].name + " is cut off the store");
    nodes_[i].isolated_until = now_ + span;
  }
  /// Stops the process of a VM for `span`; its upstream runs on.
  void pause(std::size_t i, duration span) {
    note(nodes_[i].name + " pauses");
    nodes_[i].paused_until = now_ + span;
  }
  /// Puts `slots` of load on the first keys of whoever owns them, so that ranges move away.
  void set_load(double slots) { load_slots_ = slots; }
  void lose_answers(bool lost) { answers_lost_ = lost; }
  /// From now on no message is lost or late by chance.
  void end_chance() { chance_ = false; }

  [[nodiscard]] std::optional<std::size_t> leading() const {
    for (std::size_t i = 0; i < agents; ++i)
      if (nodes_[i].running && nodes_[i].service_leader->leads(now_)) return i;
    return std::nullopt;
  }
  [[nodiscard]] bool moving() const {
    return std::ranges::any_of(nodes_,
                               [](const node& each) { return each.releases_in_flight > 0; });
  }
  /// Returns the number of sampled keys that nobody has served for `span`.
  [[nodiscard]] std::size_t not_served_for(duration span) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        served_at_, [&](const auto& each) { return now_ - each.second >= span; }));
  }
  /// Returns for how long the key that has waited longest has not been served.
  [[nodiscard]] duration longest_outage() const { return longest_outage_; }
  void reset_outages() {
    longest_outage_ = {};
    served_at_.clear();
  }
  [[nodiscard]] std::uint64_t era() const { return era_; }
  [[nodiscard]] std::size_t grants() const { return grants_; }
  [[nodiscard]] const std::string& violation() const { return violation_; }
  [[nodiscard]] std::string trace() const {
    std::string text;
    for (const auto& each : trace_) text += each + "\n";
    return text;
  }
  static std::vector<shard_key> sampled_keys() {
    constexpr std::size_t count = 64;
    std::vector<shard_key> keys;
    for (std::size_t i = 0; i < count; ++i)
      keys.push_back(static_cast<shard_key>(i * (last_shard_key + 1) / count + 17));
    return keys;
  }

 private:
  struct grant {
    key_range keys;
    std::uint64_t fence = 0;
    time_point until;
  };
  struct node {
    std::string name;
    std::uint64_t process = 0;
    bool running = false;
    store_era era = 0;
    time_point isolated_until{};
    time_point paused_until{};
    std::unique_ptr<claims::leader> service_leader;
    std::unique_ptr<claim_holder> holder;
    int upstream_starts = 1;
    std::size_t releases_in_flight = 0;
    std::vector<grant> granted;                        ///< By the present upstream.
    std::map<shard_key, std::uint64_t> highest_fence;  ///< Of all upstreams of this VM.
    time_point next_refresh{};
  };
  struct record {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    claim_map map;
  };
  using record_name = std::pair<store_era, std::string>;
  struct content {
    std::uint64_t revision = 1;
    std::map<record_name, record> records;
  };
  struct scheduled {
    time_point at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  /// What the store answers: a record, if there is one, and whether the condition held.
  struct answer {
    bool conflict = false;
    store_era era = 0;
    std::optional<record> found;
  };

  static constexpr std::size_t trace_lines_max = 400;
  static constexpr duration copy_interval = milliseconds{100};
  static constexpr std::size_t copies_max = 80;
  static constexpr double clock_error = 0.02;

  void note(const std::string& text) {
    trace_.push_back(std::to_string(now_.time_since_epoch() / milliseconds{1}) + " ms  " + text);
    if (trace_.size() > trace_lines_max) trace_.pop_front();
  }
  void report_violation(const std::string& text) {
    note("VIOLATION " + text);
    if (violation_.empty()) violation_ = text;
  }
  [[nodiscard]] upstream_incarnation upstream_of(std::size_t i) const {
    return {"i-" + nodes_[i].name + "-" + std::to_string(nodes_[i].upstream_starts),
            nodes_[i].upstream_starts};
  }

  void start(std::size_t i) {
    node& started = nodes_[i];
    const auto incarnation = (++started.process * agents + i) << 16U;
    started.running = true;
    started.era = 0;
    started.paused_until = {};
    started.releases_in_flight = 0;
    started.service_leader = std::make_unique<claims::leader>("s", started.name, started.name,
                                                              incarnation, timing_, now_);
    const std::size_t rank = i < owners ? 2 + i : i - owners;
    started.service_leader->set_candidate(rank < 3 ? std::optional(rank) : std::nullopt);
    if (i < owners) {
      started.holder = std::make_unique<claim_holder>("s", started.name, started.name, incarnation,
                                                      timing_, now_);
      started.holder->set_candidates({"vm-4", "vm-5", "vm-0"});
    }
    note(started.name + " starts");
  }

  /// Runs `action` later, unless the process has ended by then.
  void at_node(std::size_t i, duration delay, std::function<void()> action) {
    at_process(i, nodes_[i].process, delay, std::move(action));
  }
  void at_process(std::size_t i, std::uint64_t process, duration delay,
                  std::function<void()> action) {
    at(delay, [this, i, process, action = std::move(action)] {
      if (nodes_[i].process != process || !nodes_[i].running) return;
      if (now_ < nodes_[i].paused_until)
        return at_process(i, process, nodes_[i].paused_until - now_, action);
      action();
    });
  }
  bool by_chance(std::uint64_t one_in) { return chance_ && draw(one_in) == 0; }
  duration hop() { return std::chrono::microseconds{500 + draw(6'000)}; }

  void begin_era(std::size_t i, store_era era) {
    node& self = nodes_[i];
    if (era <= self.era) return;
    const bool first_start = self.era == 0 && self.process == 1;
    self.era = era;
    const auto end = first_start ? now_ : now_ + timing_.leader_lease + timing_.margin;
    self.service_leader->begin_era(era, end, now_);
    if (self.holder) self.holder->begin_era(era, now_);
  }

  /// Sends a call; `apply` runs at the store, `done` with its answer, or with nothing.
  void call_store(std::size_t i, std::function<answer()> apply,
                  std::function<void(const std::optional<answer>&)> done) {
    const auto era = nodes_[i].era;
    const auto answered = std::make_shared<bool>(false);
    const auto finish = [this, i, era, answered, done](const std::optional<answer>& result) {
      if (std::exchange(*answered, true)) return;
      if (result) begin_era(i, result->era);
      if (nodes_[i].era == era) done(result && result->era == era ? result : std::nullopt);
    };
    at_node(i, timing_.call_timeout, [finish] { finish(std::nullopt); });
    if (now_ < nodes_[i].isolated_until) return;
    const bool late = by_chance(200);
    at(late ? milliseconds{draw(4'000)} : hop(),
       [this, i, process = nodes_[i].process, apply, finish] {
         if (away_) return;
         auto result = apply();
         result.era = era_;
         if (answers_lost_ && draw(3) == 0) return;
         at_process(i, process, hop(), [finish, result] { finish(result); });
       });
  }
  std::function<answer()> read(record_name name) {
    return [this, name] {
      const auto found = store_.records.find(name);
      return answer{.found = found == store_.records.end() ? std::nullopt
                                                           : std::optional(found->second)};
    };
  }
  /// Creates the record (`expected`: 0) or replaces it.
  std::function<answer()> write(record_name name, std::uint64_t expected, claim_map map) {
    return [this, name, expected, map = std::move(map)] {
      const auto found = store_.records.find(name);
      const std::uint64_t present = found == store_.records.end() ? 0 : found->second.revision;
      if (present != expected)
        return answer{.conflict = true,
                      .found = present == 0 ? std::nullopt : std::optional(found->second)};
      record& stored = store_.records[name];
      stored.revision = ++store_.revision;
      if (stored.created == 0) stored.created = stored.revision;
      stored.map = map;
      return answer{.found = stored};
    };
  }
  std::function<answer()> remove(record_name name, std::uint64_t expected) {
    return [this, name, expected] {
      const auto found = store_.records.find(name);
      if (found == store_.records.end() || found->second.revision != expected)
        return answer{.conflict = true};
      store_.records.erase(found);
      ++store_.revision;
      return answer{};
    };
  }
  static std::optional<claim_map> map_in(const answer& from) {
    if (!from.found) return std::nullopt;
    auto map = from.found->map;
    map.revision = revision_in(from.era, from.found->revision);
    return map;
  }
  static lease_answer lease_in(const std::optional<answer>& from, bool writes) {
    if (!from) return {};
    if (!from->found) return {.answered = true};
    return {.answered = true,
            .written = writes && !from->conflict,
            .registration = revision_in(from->era, from->found->created),
            .revision = revision_in(from->era, from->found->revision)};
  }

  void tick(std::size_t i) {
    at(milliseconds{50}, [this, i] { tick(i); });
    if (!nodes_[i].running || now_ < nodes_[i].paused_until) return;
    tick_holder(i);
    if (nodes_[i].holder && nodes_[i].holder->map().revision == 0) refresh(i);
    for (const auto& action : nodes_[i].service_leader->tick(now_))
      std::visit([&](const auto& each) { act(i, each); }, action);
  }
  void tick_holder(std::size_t i) {
    auto& holder = nodes_[i].holder;
    if (!holder) return;
    holder->update_upstream(upstream_of(i), true, 8, now_, now_);
    std::vector<key_load> loads;
    for (shard_key first = 0; load_slots_ > 0 && first < 8'192; first += 1'024)
      if (holder->state_of(first, now_) == hold_state::held)
        loads.push_back({{first, first + 1'023}, load_slots_});
    holder->set_load(std::move(loads), milliseconds{100});
    for (const auto& action : holder->tick(now_))
      std::visit([&](const auto& each) { act(i, each); }, action);
  }
  void map_seen(std::size_t i, const claim_map& map) {
    begin_era(i, era_of(map.revision));
    nodes_[i].service_leader->map_seen(map, now_);
    if (nodes_[i].holder) nodes_[i].holder->map_seen(map, now_);
  }
  void refresh(std::size_t i) {
    if (now_ < nodes_[i].next_refresh) return;
    nodes_[i].next_refresh = now_ + milliseconds{750};
    call_store(i, read({nodes_[i].era, "map"}), [this, i](const auto& result) {
      if (const auto map = result ? map_in(*result) : std::nullopt) map_seen(i, *map);
    });
  }

  void act(std::size_t i, const read_map&) {
    call_store(i, read({nodes_[i].era, "map"}), [this, i](const auto& result) {
      const auto map = result ? map_in(*result) : std::nullopt;
      nodes_[i].service_leader->map_read(result.has_value(), map, now_);
      if (map) map_seen(i, *map);
    });
  }
  void act(std::size_t i, const write_map& action) {
    const auto sent = now_;
    call_store(i, write({nodes_[i].era, "map"}, number_of(action.expected_revision), action.map),
               [this, i, sent](const auto& result) {
                 const bool applied = result && !result->conflict;
                 nodes_[i].service_leader->map_written(
                     applied  ? write_result::applied
                     : result ? write_result::conflict
                              : write_result::no_answer,
                     applied ? revision_in(result->era, result->found->revision) : 0, sent, now_);
                 if (applied && nodes_[i].holder)
                   nodes_[i].holder->map_seen(nodes_[i].service_leader->map(), now_);
               });
  }
  void act(std::size_t i, const read_owner_lease& action) {
    call_store(i, read({nodes_[i].era, action.agent}),
               [this, i, agent = action.agent](const auto& result) {
                 nodes_[i].service_leader->owner_lease_read(agent, lease_in(result, false), now_);
               });
  }
  void act(std::size_t i, const delete_owner_lease& action) {
    call_store(i, remove({nodes_[i].era, action.agent}, number_of(action.revision)),
               [this, i, agent = action.agent](const auto& result) {
                 nodes_[i].service_leader->owner_lease_deleted(agent,
                                                               !result ? write_result::no_answer
                                                               : result->conflict
                                                                   ? write_result::conflict
                                                                   : write_result::applied,
                                                               now_);
               });
  }
  void act(std::size_t i, const push_map& action) {
    for (const auto& to : action.recipients) {
      const auto update = nodes_[i].service_leader->changes_since(to.since);
      const auto receiver = index_of(to.address);
      at_node(receiver, hop(), [this, receiver, update] {
        if (!nodes_[receiver].holder) return;
        if (const auto map = updated(nodes_[receiver].holder->map(), update))
          map_seen(receiver, *map);
      });
    }
  }
  void act(std::size_t i, const leader_log_event& event) {
    note(nodes_[i].name + ": " + event.text);
  }
  void act(std::size_t i, const holder_log_event& event) {
    note(nodes_[i].name + ": " + event.text);
  }
  void act(std::size_t i, const read_lease&) { call_lease(i, read(lease_name(i)), false); }
  void act(std::size_t i, const create_lease&) { call_lease(i, write(lease_name(i), 0, {}), true); }
  void act(std::size_t i, const renew_lease& action) {
    call_lease(i, write(lease_name(i), number_of(action.revision), {}), true);
  }
  [[nodiscard]] record_name lease_name(std::size_t i) const {
    return {nodes_[i].era, nodes_[i].name};
  }
  void call_lease(std::size_t i, std::function<answer()> apply, bool writes) {
    call_store(i, std::move(apply), [this, i, writes, sent = now_](const auto& result) {
      nodes_[i].holder->lease_seen(lease_in(result, writes), sent, now_);
    });
  }
  void act(std::size_t i, const send_report& action) {
    const auto sent = now_;
    const auto answered = std::make_shared<bool>(false);
    const auto finish = [this, i, sent, answered](const std::optional<leader_reply>& reply) {
      if (std::exchange(*answered, true)) return;
      if (reply && reply->update) begin_era(i, era_of(reply->update->map.revision));
      nodes_[i].holder->leader_answered(reply, sent, now_);
      if (!reply || !reply->is_leader) refresh(i);
    };
    const auto to = index_of(action.leader);
    at_node(i, milliseconds{700}, [this, finish] { finish(no_reply_); });
    if (by_chance(100)) return;
    at_node(to, hop(), [this, i, to, process = nodes_[i].process, report = action.report, finish] {
      begin_era(to, report.era);
      const auto reply = nodes_[to].service_leader->report_received(report, now_);
      at_process(i, process, hop(), [finish, reply] { finish(reply); });
    });
  }
  void act(std::size_t i, const grant_keys& action) {
    const bool late = by_chance(100);
    if (late)
      at_node(i, timing_.call_timeout, [this, i, call = action.call] {
        nodes_[i].holder->grant_ended(call, grant_result::no_answer, now_);
      });
    const auto arrives = late ? milliseconds{draw(3'000)} : hop();
    at(arrives, [this, i, process = nodes_[i].process, action, late, sent = now_] {
      const auto result = take(i, action, late ? sent : now_);
      if (late) return;
      at_process(i, process, hop(), [this, i, call = action.call, result] {
        nodes_[i].holder->grant_ended(call, result, now_);
      });
    });
  }
  void act(std::size_t i, const release_keys& action) {
    ++nodes_[i].releases_in_flight;
    at(hop() + milliseconds{draw(300)}, [this, i, process = nodes_[i].process, action] {
      for (grant& each : nodes_[i].granted)
        if (each.fence <= action.fence && each.keys.overlaps(action.keys))
          cut(i, each, action.keys);
      at_process(i, process, hop(), [this, i, action] {
        --nodes_[i].releases_in_flight;
        nodes_[i].holder->release_ended(action.call, "h", now_);
      });
    });
  }
  /// Takes `keys` out of a grant.
  void cut(std::size_t i, grant& from, const key_range& keys) {
    const grant whole = std::exchange(from, {});
    from.until = {};
    if (whole.keys.first < keys.first)
      rest_.push_back({{whole.keys.first, keys.first - 1}, whole.fence, whole.until});
    if (whole.keys.last > keys.last)
      rest_.push_back({{keys.last + 1, whole.keys.last}, whole.fence, whole.until});
    at({}, [this, i] {
      for (auto& each : std::exchange(rest_, {})) nodes_[i].granted.push_back(each);
    });
  }
  [[nodiscard]] bool holds(std::size_t i, shard_key key) const {
    return std::ranges::any_of(nodes_[i].granted, [&](const grant& each) {
      return each.keys.contains(key) && now_ < each.until;
    });
  }
  /// The upstream of VM `i` takes a grant that arrived at `arrived`.
  grant_result take(std::size_t i, const grant_keys& action, time_point arrived) {
    if (action.upstream != upstream_of(i)) return grant_result::refused;
    for (const shard_key key : sampled_keys())
      if (action.keys.contains(key) && nodes_[i].highest_fence[key] > action.fence)
        return grant_result::newer_fence;
    const auto hold = std::chrono::duration_cast<duration>(action.hold * (1 + clock_error));
    if (now_ >= arrived + hold) return grant_result::granted;
    ++grants_;
    for (const shard_key key : sampled_keys()) {
      if (!action.keys.contains(key)) continue;
      for (std::size_t other = 0; other < owners; ++other) {
        if (other == i) continue;
        if (nodes_[other].highest_fence[key] >= action.fence)
          report_violation(nodes_[i].name + " gets key " + std::to_string(key) + " with fence " +
                           std::to_string(action.fence) + ", " + nodes_[other].name + " had " +
                           std::to_string(nodes_[other].highest_fence[key]));
        if (holds(other, key))
          report_violation(nodes_[i].name + " gets key " + std::to_string(key) + " beside " +
                           nodes_[other].name);
      }
      nodes_[i].highest_fence[key] = action.fence;
    }
    std::erase_if(nodes_[i].granted, [&](const grant& each) {
      return now_ >= each.until || (action.keys.contains(each.keys) && each.fence <= action.fence);
    });
    nodes_[i].granted.push_back({action.keys, action.fence, arrived + hold});
    return grant_result::granted;
  }
  [[nodiscard]] static std::size_t index_of(const std::string& name) {
    return name.starts_with("vm-") ? static_cast<std::size_t>(std::stoul(name.substr(3))) : 0;
  }
  [[nodiscard]] bool is_served(shard_key key) const {
    for (std::size_t i = 0; i < owners; ++i)
      if (nodes_[i].running && now_ >= nodes_[i].paused_until && holds(i, key) &&
          nodes_[i].holder->state_of(key, now_) == hold_state::held)
        return true;
    return false;
  }
  void sample() {
    at(milliseconds{20}, [this] { sample(); });
    if (copies_.empty() || now_ - copies_.back().first >= copy_interval) {
      if (!away_) copies_.emplace_back(now_, store_);
      if (copies_.size() > copies_max) copies_.pop_front();
    }
    for (const shard_key key : sampled_keys()) {
      const auto [entry, is_new] = served_at_.try_emplace(key, now_);
      if (is_served(key)) entry->second = now_;
      longest_outage_ = std::max(longest_outage_, now_ - entry->second);
    }
    // Every running process hears from the store now and then.
    for (std::size_t i = 0; i < agents; ++i)
      if (nodes_[i].running && draw(25) == 0 && now_ >= nodes_[i].paused_until)
        call_store(
            i, [] { return answer{}; }, [](const auto&) {});
  }

  claim_timing timing_;
  const std::optional<leader_reply> no_reply_;
  std::mt19937_64 random_;
  time_point now_{seconds{100}};
  std::uint64_t order_ = 0;
  std::priority_queue<scheduled> queue_;
  std::array<node, agents> nodes_;
  content store_;
  std::deque<std::pair<time_point, content>> copies_;
  store_era era_ = first_store_era;
  bool away_ = false;
  bool answers_lost_ = false;
  bool chance_ = true;
  double load_slots_ = 0;
  std::vector<grant> rest_;
  std::map<shard_key, time_point> served_at_;
  duration longest_outage_{};
  std::size_t grants_ = 0;
  std::string violation_;
  std::deque<std::string> trace_;
};

}  // namespace masticshunt::testing
