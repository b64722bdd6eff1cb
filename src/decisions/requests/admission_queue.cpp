#include "masticshunt/decisions/requests/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace masticshunt::requests {

namespace {

constexpr double service_time_step = 0.06;
constexpr duration retry_after_min = std::chrono::milliseconds{40};

duration scaled(duration span, double factor) {
  return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * factor)};
}

}  // namespace

duration admission_queue::expected_service(const admission_request& request) const {
  const auto found = service_times_.find({request.rank, request.target});
  return found == service_times_.end() ? duration{} : scaled(found->second, settings_.headroom);
}

bool admission_queue::can_meet_target(const waiting_request& candidate, time_point now) const {
  return now + expected_service(candidate.request) <= candidate.request.target_time;
}

void admission_queue::observe(time_point now) {
  const double passed = std::chrono::duration<double>(now - last_observed_).count();
  const double window = std::chrono::duration<double>(settings_.saturation_window).count();
  if (passed > 0) {
    waiting_share_ +=
        (1 - std::exp(-passed / window)) * ((had_waiting_ ? 1.0 : 0.0) - waiting_share_);
    last_observed_ = now;
  }
  had_waiting_ = !waiting_.empty();
}

void admission_queue::offer(const admission_request& request, time_point now,
                            admission_actions& out) {
  observe(now);
  waiting_.push_back({request, now});
  start_free(now, out);
  refuse_late(now, out);
  refuse_beyond_limit(now, out);
  enforce_rank_limit(request.rank, out);
  had_waiting_ = !waiting_.empty();
}

void admission_queue::finished(admission_id id, bool served, time_point now,
                               admission_actions& out) {
  observe(now);
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  if (served) {
    const duration service_time = now - found->second.since;
    const auto [estimate, is_new] = service_times_.try_emplace(found->second.kind, service_time);
    if (!is_new) estimate->second += scaled(service_time - estimate->second, service_time_step);
  }
  running_.erase(found);
  refuse_late(now, out);
  start_free(now, out);
  had_waiting_ = !waiting_.empty();
}

bool admission_queue::abandoned(admission_id id) {
  const auto found = std::ranges::find_if(
      waiting_, [id](const waiting_request& each) { return each.request.id == id; });
  if (found == waiting_.end()) return false;
  waiting_.erase(found);
  return true;
}

void admission_queue::tick(time_point now, admission_actions& out) {
  observe(now);
  refuse_late(now, out);
  start_free(now, out);
  had_waiting_ = !waiting_.empty();
}

void admission_queue::limit_answered(std::optional<double> per_second, time_point now,
                                     admission_actions& out) {
  if (per_second == limit_.limit()) {
    limit_.answered(per_second, now);
    return;
  }
  limit_.answered(per_second, now);
  rate_changed(now, out);
}

void admission_queue::rate_changed(time_point now, admission_actions& out) {
  observe(now);
  start_free(now, out);
  refuse_beyond_limit(now, out);
  had_waiting_ = !waiting_.empty();
}

std::optional<duration> admission_queue::limit_wait(time_point now) const {
  if (!rate(now) || waiting_.empty() || running_.size() >= settings_.slots) return std::nullopt;
  return rate_wait(0, now);
}

std::optional<double> admission_queue::rate(time_point now) const {
  const auto named = limit_.limit();
  const auto cold = slow_start_.rate(now);
  return named && cold ? std::min(named, cold) : named ? named : cold;
}

duration admission_queue::time_until_room(const admission_request& request) const {
  const double rounds =
      static_cast<double>(waiting_.size()) / static_cast<double>(std::max(1U, settings_.slots));
  return scaled(expected_service(request), rounds);
}

void admission_queue::refuse(waiting_iterator candidate, std::uint64_t& counter,
                             duration retry_after, admission_actions& out) {
  ++counter;
  out.push_back({admission_action::kind::refuse, candidate->request.id,
                 std::max(retry_after_min, retry_after)});
  waiting_.erase(candidate);
}

std::vector<admission_queue::waiting_iterator> admission_queue::waiting_in_order(time_point now) {
  std::vector<waiting_iterator> order;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) order.push_back(it);
  std::ranges::stable_sort(order, {}, [&](waiting_iterator each) {
    return std::pair(!can_meet_target(*each, now), each->request.rank);
  });
  return order;
}

void admission_queue::refuse_beyond_limit(time_point now, admission_actions& out) {
  if (!rate(now)) return;
  std::size_t ahead = 0;
  for (const waiting_iterator each : waiting_in_order(now)) {
    const auto end = now + rate_wait(ahead, now) + expected_service(each->request);
    const auto latest = saturated() || can_meet_target(*each, now) ? each->request.target_time
                                                                   : each->request.deadline;
    if (end <= latest)
      ++ahead;
    else
      refuse(each, counts_.refused_limited, rate_wait(ahead, now), out);
  }
}

void admission_queue::refuse_late(time_point now, admission_actions& out) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto candidate = it++;
    const bool too_late = now + expected_service(candidate->request) > candidate->request.deadline;
    // With nothing running, the request is tried anyway, so that a wrong estimate gets corrected.
    if (now >= candidate->request.deadline || (too_late && !running_.empty())) {
      refuse(candidate, counts_.refused_deadline, time_until_room(candidate->request), out);
    } else if (saturated() && !can_meet_target(*candidate, now)) {
      refuse(candidate, counts_.refused_late, time_until_room(candidate->request), out);
    }
  }
}

void admission_queue::enforce_rank_limit(std::uint32_t rank, admission_actions& out) {
  const auto in_rank = [rank](const waiting_request& each) { return each.request.rank == rank; };
  const auto waiting_max =
      static_cast<std::ptrdiff_t>(std::max(2.0, settings_.waiting_per_slot * settings_.slots));
  while (std::ranges::count_if(waiting_, in_rank) > waiting_max) {
    const auto oldest = std::ranges::find_if(waiting_, in_rank);
    refuse(oldest, counts_.refused_full, time_until_room(oldest->request), out);
  }
}

bool admission_queue::precedes(const waiting_request& left, const waiting_request& right,
                               bool newest_first) const {
  const duration left_service = expected_service(left.request);
  const duration right_service = expected_service(right.request);
  if (left.request.target != right.request.target && left_service != right_service)
    return left_service < right_service;
  return newest_first ? left.since > right.since : left.since < right.since;
}

admission_queue::waiting_iterator admission_queue::next(time_point now) {
  if (waiting_.empty()) return waiting_.end();
  const bool newest_first = now - waiting_.front().since > settings_.backlog_after;
  waiting_iterator best = waiting_.end();
  bool best_meets_target = false;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    const bool meets_target = can_meet_target(*it, now);
    if (best == waiting_.end() || meets_target != best_meets_target) {
      if (best == waiting_.end() || meets_target) {
        best = it;
        best_meets_target = meets_target;
      }
      continue;
    }
    const auto rank = it->request.rank;
    const bool owed = owed_[rank] >= 1;
    const bool best_owed = owed_[best->request.rank] >= 1;
    const bool better = owed != best_owed            ? owed
                        : rank != best->request.rank ? rank < best->request.rank
                                                     : precedes(*it, *best, newest_first);
    if (better) best = it;
  }
  return best;
}

void admission_queue::start_free(time_point now, admission_actions& out) {
  while (running_.size() < settings_.slots && rate_wait(0, now) <= duration{}) {
    const auto candidate = next(now);
    if (candidate == waiting_.end()) return;
    limit_.started(now);
    slow_start_.started(now);
    if (now >= candidate->request.deadline) ++counts_.started_late;
    ++counts_.started;
    const auto rank = candidate->request.rank;
    out.push_back({admission_action::kind::start, candidate->request.id, {}});
    running_[candidate->request.id] = {{rank, candidate->request.target}, now};
    waiting_.erase(candidate);
    if (owed_[rank] >= 1) owed_[rank] -= 1;
    for (auto& [other, credit] : owed_) {
      const auto waits = [other = other](const waiting_request& each) {
        return each.request.rank == other;
      };
      if (other != rank)
        credit = std::ranges::any_of(waiting_, waits) ? std::min(credit + settings_.floor, 2.0) : 0;
    }
  }
}

}  // namespace masticshunt::requests
