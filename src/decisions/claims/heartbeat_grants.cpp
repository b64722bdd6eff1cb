/// Grants and releases in the answers to heartbeats.
#include <algorithm>
#include <numeric>

#include "decisions/claims/internal/claim_helpers.h"
#include "masticshunt/decisions/claims/claim_holder.h"

namespace masticshunt::claims {

namespace {

/// Bytes of an answer's body; an upstream ignores larger answers.
constexpr std::size_t answer_bytes_max = 3'800;
/// Bytes of a granted range, with the longest fence and without the handover.
constexpr std::size_t range_bytes = 40;
/// Answers in a row that an upstream may ignore before it counts as knowing a newer fence.
constexpr std::uint32_t rejections_max = 3;

std::uint64_t common_keys(const key_range& one, const key_range& other) {
  if (!one.overlaps(other)) return 0;
  return std::uint64_t{std::min(one.last, other.last)} - std::max(one.first, other.first) + 1;
}

}  // namespace

bool reported_keys::holds_any(const key_range& keys) const {
  return std::ranges::any_of(held, [&](const held_keys& each) { return each.keys.overlaps(keys); });
}

bool reported_keys::holds_all(const key_range& keys, std::uint64_t fence) const {
  const auto covered = std::accumulate(
      held.begin(), held.end(), std::uint64_t{0}, [&](std::uint64_t sum, const held_keys& each) {
        return sum + (each.fence == fence ? common_keys(each.keys, keys) : 0);
      });
  return covered >= keys.size();
}

void claim_holder::heartbeat_received(const reported_keys& reported, connection_id connection,
                                      time_point now) {
  if (transport_ != grant_transport::heartbeat) return;
  const answer_number last_read = answers_.heartbeat_received(connection, now);
  for (const freed_keys& freed : reported.freed) {
    const bool awaited = std::ranges::any_of(ranges_, [&](const held_range& range) {
      return range.state == range_state::releasing && range.keys.overlaps(freed.keys);
    });
    if (awaited) split_ranges(freed.keys);
  }
  for (held_range& range : ranges_) {
    if (range.state == range_state::releasing)
      heartbeat_shows_release(range, reported, last_read, now);
    else if (range.state == range_state::held && range.answered_fence == range.fence &&
             last_read >= range.last_answer)
      heartbeat_shows_grant(range, reported, now);
  }
}

void claim_holder::heartbeat_shows_release(held_range& range, const reported_keys& reported,
                                           answer_number last_read, time_point now) {
  const auto freed = std::ranges::find_if(
      reported.freed, [&](const freed_keys& each) { return each.keys.contains(range.keys); });
  if (freed != reported.freed.end()) range.released_handover = freed->handover;
  // The heartbeat tells only if it was sent after an answer without the range had been read, and no
  // other answer may still grant it.
  const bool answer_without_range_read = last_read > range.last_answer;
  if (!answer_without_range_read || !answers_.settled(range.last_answer) ||
      reported.holds_any(range.keys))
    return;
  range.state = range_state::released;
  range.held_until = now;
  report_requested_ = true;
  log_events_.push_back("released by=heartbeat " + text_of(range.keys, range.fence) +
                        " warm=" + (range.released_handover.empty() ? "no" : "yes"));
}

void claim_holder::heartbeat_shows_grant(held_range& range, const reported_keys& reported,
                                         time_point now) {
  if (reported.holds_all(range.keys, range.fence)) {
    range.confirmed = true;
    range.rejections = 0;
    return;
  }
  range.usable_until = std::min(range.usable_until, now);
  log_events_.push_back("grant ignored by=heartbeat " + text_of(range.keys, range.fence) +
                        " rejections=" + std::to_string(++range.rejections));
  if (range.rejections >= rejections_max) range.state = range_state::expiring;
}

bool claim_holder::heartbeat_answer_due(time_point arrived, time_point now) const {
  if (now - arrived >= timing_.heartbeat_answer_wait) return true;
  if (hold_from(arrived) < shortest_hold) return false;
  return restarting_ || std::ranges::any_of(ranges_, [&](const held_range& range) {
           const bool runs_out = range.usable_until < now + timing_.hold_reserve;
           return range.state == range_state::releasing ||
                  (range.state == range_state::held && runs_out);
         });
}

duration claim_holder::hold_from(time_point arrived) const {
  if (!upstream_present_ || !lease_granted_) return {};
  // The hold runs from when the upstream sent the heartbeat, which was before it arrived.
  const duration in_lease = scaled(earliest_lease_end() - timing_.margin - arrived,
                                   1 / (1 + timing_.upstream_clock_error));
  return std::min(restarting_ ? timing_.restart_lease : timing_.hold, in_lease);
}

std::optional<heartbeat_answer> claim_holder::answer_heartbeat(connection_id connection,
                                                               time_point arrived, time_point now) {
  const duration hold = hold_from(arrived);
  if (transport_ != grant_transport::heartbeat || hold < shortest_hold ||
      now - arrived >= timing_.heartbeat_answer_limit)
    return std::nullopt;
  heartbeat_answer answer{.hold = std::chrono::floor<std::chrono::milliseconds>(hold)};
  const auto number = answers_.sent(connection, arrived);
  answer_size size;
  std::size_t fresh = 0;
  for (held_range& range : ranges_) {
    if (range.state != range_state::held || !append_range(range, answer, size)) continue;
    if (now >= range.usable_until) ++fresh;
    range.last_answer = number;
    range.answered_fence = range.fence;
    range.usable_until = std::max(range.usable_until, arrived + hold);
    range.held_until =
        std::max(range.held_until,
                 arrived + timing_.margin + scaled(hold, 1 + timing_.upstream_clock_error));
  }
  const bool released = std::ranges::any_of(ranges_, [number](const held_range& range) {
    return range.state == range_state::releasing && range.last_answer + 1 == number;
  });
  if (fresh > 0 || released || size.ranges_left_out > 0)
    log_events_.push_back(
        "granted by=heartbeat ranges=" + std::to_string(answer.keys.size()) +
        " fresh=" + std::to_string(fresh) + " left_out=" + std::to_string(size.ranges_left_out) +
        " bytes=" + std::to_string(size.bytes) + " hold_ms=" + std::to_string(answer.hold.count()) +
        " waited_ms=" +
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - arrived).count()));
  return answer;
}

bool claim_holder::append_range(const held_range& range, heartbeat_answer& answer,
                                answer_size& size) {
  const auto handover = range.confirmed ? std::string{} : range.handover;
  auto& rows = answer.keys;
  const bool joins = !rows.empty() && rows.back().fence == range.fence &&
                     rows.back().keys.last + 1 == range.keys.first && handover.empty() &&
                     rows.back().handover.empty();
  if (joins) {
    rows.back().keys.last = range.keys.last;
    return true;
  }
  const std::size_t row_bytes = range_bytes + handover.size();
  if (size.bytes + row_bytes > answer_bytes_max) {
    ++size.ranges_left_out;
    return false;
  }
  size.bytes += row_bytes;
  rows.push_back({range.keys, range.fence, handover});
  return true;
}

}  // namespace masticshunt::claims
