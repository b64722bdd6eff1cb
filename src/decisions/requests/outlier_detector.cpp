#include "masticshunt/decisions/requests/outlier_detector.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

constexpr std::uint32_t doublings_max = 16;

bool is_failure(attempt_result result) {
  return result == attempt_result::error || result == attempt_result::timed_out;
}

bool is_sign_of_life(attempt_result result) {
  return result == attempt_result::answered || result == attempt_result::shed;
}

}  // namespace

void outlier_detector::joined(std::string_view member, bool cold, time_point now) {
  member_state& added = members_[std::string(member)];
  added = {};
  if (cold) added.ramp_from = now;
}

void outlier_detector::left(std::string_view member) {
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
  member_state& known = found->second;
  if (known.in_flight > 0) --known.in_flight;
  if (is_sign_of_life(result)) known.waiting_since = now;
  if (result == attempt_result::cancelled) return;
  count(known, is_failure(result));
  const bool share_exceeded = known.window_total >= settings_.window_min &&
                              known.window_failures >= settings_.failure_share * known.window_total;
  if (known.failures_in_row >= settings_.failures_in_row || share_exceeded) set_aside(known, now);
}

void outlier_detector::tick(time_point now) {
  for (auto& [name, member] : members_) {
    const bool silent = member.in_flight >= settings_.silent_in_flight_min &&
                        now - member.waiting_since > settings_.silent_after;
    if (silent) set_aside(member, now);
  }
}

void outlier_detector::count(member_state& member, bool failed) {
  member.failures_in_row = failed ? member.failures_in_row + 1 : 0;
  if (member.window_total >= 2 * settings_.window_min) {
    member.window_total /= 2;
    member.window_failures /= 2;
  }
  ++member.window_total;
  if (failed) ++member.window_failures;
}

void outlier_detector::set_aside(member_state& member, time_point now) {
  if (now < member.set_aside_until) return;
  const auto most =
      std::max(1.0, settings_.set_aside_share_max * static_cast<double>(members_.size()));
  const bool room = static_cast<double>(set_aside(now) + 1) <= most;
  if (!room && !settings_.ignore_share_bound) {
    ++counts_.kept_by_share_bound;
    return;
  }
  const bool relapsed =
      member.times_set_aside > 0 && now - member.set_aside_until < settings_.set_aside_max;
  member.times_set_aside = relapsed ? std::min(member.times_set_aside + 1, doublings_max) : 1;
  const duration length = std::min(
      settings_.set_aside_max, settings_.set_aside_first * (1U << (member.times_set_aside - 1)));
  member.set_aside_until = now + length;
  member.ramp_from = member.set_aside_until;
  member.waiting_since = member.set_aside_until;
  member.failures_in_row = member.window_failures = member.window_total = 0;
  ++counts_.set_aside;
  if (static_cast<double>(set_aside(now)) > most) ++counts_.share_bound_broken;
}

bool outlier_detector::admits(std::string_view member, double draw, time_point now) const {
  return draw < weight(member, now);
}

double outlier_detector::weight(std::string_view member, time_point now) const {
  const auto found = members_.find(member);
  if (found == members_.end()) return 1;
  const member_state& known = found->second;
  if (now < known.set_aside_until) return 0;
  if (known.ramp_from == time_point::min()) return 1;
  const double ramped = std::chrono::duration<double>(now - known.ramp_from) /
                        std::chrono::duration<double>(settings_.slow_start);
  return std::clamp(ramped, settings_.slow_start_weight, 1.0);
}

std::size_t outlier_detector::set_aside(time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      members_, [&](const auto& each) { return now < each.second.set_aside_until; }));
}

}  // namespace masticshunt::requests
