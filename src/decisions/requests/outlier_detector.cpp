#include "masticshunt/decisions/requests/outlier_detector.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

constexpr std::uint32_t doublings_max = 16;

bool is_failure(attempt_result result) {
  return result == attempt_result::error || result == attempt_result::timed_out;
}

bool shows_responsive(attempt_result result) {
  return result == attempt_result::answered || result == attempt_result::shed;
}

}  // namespace

void outlier_detector::add_member(std::string_view member, bool cold, time_point now) {
  member_state& added = members_[std::string(member)];
  added = {};
  if (cold) added.ramp_start = now;
}

void outlier_detector::remove_member(std::string_view member) {
  if (const auto found = members_.find(member); found != members_.end()) members_.erase(found);
}

void outlier_detector::sent(std::string_view member, time_point now) {
  const auto found = members_.find(member);
  if (found == members_.end()) return;
  if (found->second.in_flight++ == 0) found->second.waiting_since = now;
}

void outlier_detector::ended(std::string_view member, attempt_result result, time_point now) {
  const auto found = members_.find(member);
  if (found == members_.end()) return;
  member_state& state = found->second;
  if (state.in_flight > 0) --state.in_flight;
  if (shows_responsive(result)) state.waiting_since = now;
  if (result == attempt_result::cancelled) return;
  count(state, is_failure(result));
  const bool share_exceeded = state.window_total >= settings_.window_min &&
                              state.window_failures >= settings_.failure_share * state.window_total;
  if (state.consecutive_failures >= settings_.consecutive_failures || share_exceeded)
    eject(state, now);
}

void outlier_detector::tick(time_point now) {
  for (auto& [name, member] : members_) {
    const bool unresponsive = member.in_flight >= settings_.unresponsive_in_flight_min &&
                              now - member.waiting_since > settings_.unresponsive_after;
    if (unresponsive) eject(member, now);
  }
}

void outlier_detector::count(member_state& member, bool failed) {
  member.consecutive_failures = failed ? member.consecutive_failures + 1 : 0;
  if (member.window_total >= 2 * settings_.window_min) {
    member.window_total /= 2;
    member.window_failures /= 2;
  }
  ++member.window_total;
  if (failed) ++member.window_failures;
}

void outlier_detector::eject(member_state& member, time_point now) {
  if (now < member.ejected_until) return;
  const auto ejected_max =
      std::max(1.0, settings_.ejected_share_max * static_cast<double>(members_.size()));
  const bool within_bound = static_cast<double>(ejected(now) + 1) <= ejected_max;
  if (!within_bound && !settings_.ignore_ejection_bound) {
    ++counts_.kept_by_ejection_bound;
    return;
  }
  const bool recurred =
      member.times_ejected > 0 && now - member.ejected_until < settings_.ejection_time_max;
  member.times_ejected = recurred ? std::min(member.times_ejected + 1, doublings_max) : 1;
  const duration ejection_time =
      std::min(settings_.ejection_time_max,
               settings_.ejection_time_first * (1U << (member.times_ejected - 1)));
  member.ejected_until = now + ejection_time;
  member.ramp_start = member.ejected_until;
  member.waiting_since = member.ejected_until;
  member.consecutive_failures = member.window_failures = member.window_total = 0;
  ++counts_.ejected;
  if (static_cast<double>(ejected(now)) > ejected_max) ++counts_.ejection_bound_broken;
}

bool outlier_detector::admits(std::string_view member, double draw, time_point now) const {
  return draw < weight(member, now);
}

double outlier_detector::weight(std::string_view member, time_point now) const {
  const auto found = members_.find(member);
  if (found == members_.end()) return 1;
  const member_state& state = found->second;
  if (now < state.ejected_until) return 0;
  if (state.ramp_start == time_point::min()) return 1;
  const double ramped = std::chrono::duration<double>(now - state.ramp_start) /
                        std::chrono::duration<double>(settings_.slow_start);
  return std::clamp(ramped, settings_.slow_start_weight, 1.0);
}

std::size_t outlier_detector::ejected(time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      members_, [&](const auto& each) { return now < each.second.ejected_until; }));
}

}  // namespace masticshunt::requests
