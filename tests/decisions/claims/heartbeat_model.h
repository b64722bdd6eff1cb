/// @file
/// A model of one agent, its upstream, which takes keys with the answers to its heartbeats, and the
/// leader: messages between agent and upstream are lost, late, or overtaken.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "masticshunt/decisions/claims/claim_holder.h"

namespace masticshunt::testing {

/// A rule that the model breaks on purpose, to show that the checks notice.
enum class broken_rule {
  none,
  hold_from_answer,        ///< The upstream counts a hold from when it reads the answer.
  connections_not_told,    ///< The agent takes all heartbeats for those of one connection.
  old_map_after_a_restart  ///< A new process is not told what the leader took from the old one.
};

/// What the model may do next.
enum class model_step {
  pass_time,
  pass_time_without_leader,
  send_heartbeat,
  send_over_new_connection,
  deliver_oldest_heartbeat,
  deliver_newest_heartbeat,
  answer_heartbeat,
  deliver_oldest_answer,
  deliver_newest_answer,
  order_release,
  restart_agent
};
inline constexpr std::array model_steps{model_step::pass_time,
                                        model_step::pass_time_without_leader,
                                        model_step::send_heartbeat,
                                        model_step::send_over_new_connection,
                                        model_step::deliver_oldest_heartbeat,
                                        model_step::deliver_newest_heartbeat,
                                        model_step::answer_heartbeat,
                                        model_step::deliver_oldest_answer,
                                        model_step::deliver_newest_answer,
                                        model_step::order_release,
                                        model_step::restart_agent};

/// One state of the model; copies are independent.
class heartbeat_model {
 public:
  explicit heartbeat_model(broken_rule broken) : broken_(broken), holder_(make_holder()) {
    introduce_holder();
    pass_time(true);
  }

  /// Takes a step. Returns false if it is not possible in this state.
  bool take(model_step step) {
    switch (step) {
      case model_step::pass_time:
        pass_time(true);
        return true;
      case model_step::pass_time_without_leader:
        pass_time(false);
        return true;
      case model_step::send_heartbeat:
        return !awaits_answer_ && send();
      case model_step::send_over_new_connection:
        ++connection_;
        return send();
      case model_step::deliver_oldest_heartbeat:
        return !heartbeats_.empty() && deliver_heartbeat(0);
      case model_step::deliver_newest_heartbeat:
        return heartbeats_.size() > 1 && deliver_heartbeat(heartbeats_.size() - 1);
      case model_step::answer_heartbeat:
        return answer();
      case model_step::deliver_oldest_answer:
        return !answers_.empty() && deliver_answer(0);
      case model_step::deliver_newest_answer:
        return answers_.size() > 1 && deliver_answer(answers_.size() - 1);
      case model_step::order_release:
        return !std::exchange(release_ordered_, true);
      case model_step::restart_agent:
        holder_ = make_holder();
        waiting_.reset();
        introduce_holder();
        return true;
    }
    return false;
  }

  /// Returns the broken promise of this state; empty if there is none.
  [[nodiscard]] std::string violation() const {
    for (const held_until& each : held_) {
      if (each.until > lease_until_) return "keys are held beyond the lease";
      if (now_ < each.until && released_ && each.keys.overlaps(moved_keys) &&
          each.fence <= first_fence)
        return "keys are held that the agent reported as released";
    }
    return {};
  }
  [[nodiscard]] bool released() const { return released_; }

 private:
  using time_point = masticshunt::time_point;
  struct held_until {
    claims::key_range keys;
    std::uint64_t fence = 0;
    time_point until;
  };
  struct heartbeat {
    claims::connection_id connection = 0;
    std::uint64_t sequence = 0;
    time_point sent;
    claims::reported_keys keys;
  };
  struct sent_answer {
    heartbeat to;
    std::optional<claims::heartbeat_answer> content;
  };
  struct waiting_heartbeat {
    heartbeat content;
    time_point arrived;
  };

  static constexpr claims::key_range moved_keys{0, 32'767};
  static constexpr std::uint64_t first_fence = 5;
  static constexpr std::uint64_t registration = 7;
  static constexpr duration step_time = std::chrono::milliseconds{350};
  static constexpr duration answer_limit = std::chrono::seconds{1};

  [[nodiscard]] claims::claim_holder make_holder() const {
    return {"ledger",
            "vm-1",
            "10.0.0.1:7600",
            1,
            claims::claim_timing{},
            now_,
            claims::grant_transport::heartbeat};
  }
  [[nodiscard]] claims::claim_map map() const {
    auto result = claims::empty_map("ledger");
    result.claims = {
        {moved_keys, {"vm-1", registration}, {"i-1", 1'000}, first_fence, ""},
        {{32'768, claims::last_shard_key}, {"vm-1", registration}, {"i-1", 1'000}, 6, ""}};
    result.revision = 10;
    result.leader = "vm-9";
    result.leader_address = "10.0.0.9:7600";
    result.leader_incarnation = 1;
    if (released_ && broken_ != broken_rule::old_map_after_a_restart) {
      result.revision = 11;
      result.claims[0].holder = {"vm-2", 8};
      result.claims[0].fence = 9;
    }
    return result;
  }
  void introduce_holder() {
    last_sequence_ = 0;
    holder_.update_upstream(claims::upstream_incarnation{"i-1", 1'000}, true, 8, now_, now_);
    holder_.tick(now_);
    holder_.lease_seen({.answered = true, .registration = registration, .revision = 3}, now_, now_);
    holder_.map_seen(map(), now_);
  }

  void pass_time(bool leader_replies) {
    now_ += step_time;
    for (const auto& action : holder_.tick(now_)) {
      const auto* report = std::get_if<claims::send_report>(&action);
      if (report == nullptr) continue;
      if (!leader_replies) {
        holder_.leader_answered(std::nullopt, now_, now_);
        continue;
      }
      for (const auto& range : report->report.released)
        if (range.keys.overlaps(moved_keys)) released_ = true;
      claims::leader_reply reply{
          .lease = claims::claim_timing{}.reply_lease, .is_leader = true, .leader_incarnation = 1};
      if (broken_ != broken_rule::old_map_after_a_restart)
        reply.update = claims::map_update{.map = map()};
      if (release_ordered_ && !released_) reply.to_release.push_back({moved_keys, first_fence, ""});
      lease_until_ = now_ + reply.lease;
      holder_.leader_answered(reply, now_, now_);
    }
  }

  bool send() {
    awaits_answer_ = true;
    heartbeat next{.connection = connection_, .sequence = ++sequence_, .sent = now_};
    for (const held_until& each : held_)
      if (now_ < each.until) next.keys.held.push_back({each.keys, each.fence});
    heartbeats_.push_back(std::move(next));
    return true;
  }

  bool deliver_heartbeat(std::size_t index) {
    const auto arriving = heartbeats_[index];
    heartbeats_.erase(heartbeats_.begin() + static_cast<std::ptrdiff_t>(index));
    if (waiting_) answer();
    waiting_ = waiting_heartbeat{arriving, now_};
    if (arriving.sequence <= last_sequence_) return true;
    last_sequence_ = arriving.sequence;
    holder_.heartbeat_received(arriving.keys, told_connection(arriving), now_);
    return true;
  }

  bool answer() {
    if (!waiting_) return false;
    const auto waiting = std::exchange(waiting_, std::nullopt);
    const bool newest = waiting->content.sequence == last_sequence_;
    answers_.push_back(
        {waiting->content, newest ? holder_.answer_heartbeat(told_connection(waiting->content),
                                                             waiting->arrived, now_)
                                  : std::nullopt});
    return true;
  }

  bool deliver_answer(std::size_t index) {
    const auto read = answers_[index];
    answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(index));
    if (read.to.connection == connection_) awaits_answer_ = false;
    if (!read.content || now_ - read.to.sent > answer_limit) return true;
    constexpr double slow_clock = 1.02;
    const auto hold = std::chrono::duration_cast<duration>(read.content->hold * slow_clock);
    const auto from = broken_ == broken_rule::hold_from_answer ? now_ : read.to.sent;
    std::vector<held_until> next;
    for (const auto& row : read.content->keys) next.push_back({row.keys, row.fence, from + hold});
    held_ = std::move(next);
    return true;
  }

  [[nodiscard]] claims::connection_id told_connection(const heartbeat& from) const {
    return broken_ == broken_rule::connections_not_told ? 1 : from.connection;
  }

  broken_rule broken_;
  time_point now_{std::chrono::seconds{100}};
  claims::claim_holder holder_;
  bool release_ordered_ = false;
  bool released_ = false;
  time_point lease_until_{};

  claims::connection_id connection_ = 1;
  bool awaits_answer_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::vector<heartbeat> heartbeats_;
  std::optional<waiting_heartbeat> waiting_;
  std::vector<sent_answer> answers_;
  std::vector<held_until> held_;
};

}  // namespace masticshunt::testing
