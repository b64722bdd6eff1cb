#include "masticshunt/decisions/requests/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace masticshunt::requests {

namespace {

constexpr double usual_step = 0.06;
constexpr duration retry_after_min = std::chrono::milliseconds{40};

duration scaled(duration span, double factor) {
  return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * factor)};
}

}  // namespace

duration admission_queue::usual(const admission_request& request) const {
  const auto found = usual_.find({request.rank, request.target});
  return found == usual_.end() ? duration{} : scaled(found->second, settings_.headroom);
}

bool admission_queue::timely(const waiting_request& one, time_point now) const {
  return now + usual(one.request) <= one.request.target_time;
}

void admission_queue::observe(time_point now) {
  const double passed = std::chrono::duration<double>(now - observed_).count();
  const double window = std::chrono::duration<double>(settings_.pressure_window).count();
  if (passed > 0) {
    pressure_ += (1 - std::exp(-passed / window)) * ((pressed_ ? 1.0 : 0.0) - pressure_);
    observed_ = now;
  }
  pressed_ = !waiting_.empty();
}

void admission_queue::offer(const admission_request& request, time_point now,
                            admission_actions& out) {
  observe(now);
  waiting_.push_back({request, now});
  start_free(now, out);
  refuse_hopeless(now, out);
  bound_rank(request.rank, out);
  pressed_ = !waiting_.empty();
}

void admission_queue::finished(admission_id id, bool served, time_point now,
                               admission_actions& out) {
  observe(now);
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  if (served) {
    const duration took = now - found->second.since;
    const auto [known, is_new] = usual_.try_emplace(found->second.kind, took);
    if (!is_new) known->second += scaled(took - known->second, usual_step);
  }
  running_.erase(found);
  refuse_hopeless(now, out);
  start_free(now, out);
  pressed_ = !waiting_.empty();
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
  refuse_hopeless(now, out);
  start_free(now, out);
  pressed_ = !waiting_.empty();
}

void admission_queue::refuse(place one, std::uint64_t& counter, admission_actions& out) {
  ++counter;
  const double turns =
      static_cast<double>(waiting_.size()) / static_cast<double>(std::max(1U, settings_.slots));
  out.push_back({admission_action::kind::refuse, one->request.id,
                 std::max(retry_after_min, scaled(usual(one->request), turns))});
  waiting_.erase(one);
}

void admission_queue::refuse_hopeless(time_point now, admission_actions& out) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto one = it++;
    const bool too_late = now + usual(one->request) > one->request.deadline;
    // With nothing running one is tried all the same, so that a wrong estimate is found.
    if (now >= one->request.deadline || (too_late && !running_.empty())) {
      refuse(one, counts_.refused_deadline, out);
    } else if (saturated() && !timely(*one, now)) {
      refuse(one, counts_.refused_late, out);
    }
  }
}

void admission_queue::bound_rank(std::uint32_t rank, admission_actions& out) {
  const auto in_rank = [rank](const waiting_request& each) { return each.request.rank == rank; };
  const auto most =
      static_cast<std::ptrdiff_t>(std::max(2.0, settings_.waiting_per_slot * settings_.slots));
  while (std::ranges::count_if(waiting_, in_rank) > most)
    refuse(std::ranges::find_if(waiting_, in_rank), counts_.refused_full, out);
}

bool admission_queue::goes_before(const waiting_request& left, const waiting_request& right,
                                  bool newest_first) const {
  const duration left_usual = usual(left.request);
  const duration right_usual = usual(right.request);
  if (left.request.target != right.request.target && left_usual != right_usual)
    return left_usual < right_usual;
  return newest_first ? left.since > right.since : left.since < right.since;
}

admission_queue::place admission_queue::next(time_point now) {
  if (waiting_.empty()) return waiting_.end();
  const bool newest_first = now - waiting_.front().since > settings_.backlog_after;
  place best = waiting_.end();
  bool best_timely = false;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    const bool in_time = timely(*it, now);
    if (best == waiting_.end() || in_time != best_timely) {
      if (best == waiting_.end() || in_time) {
        best = it;
        best_timely = in_time;
      }
      continue;
    }
    const auto rank = it->request.rank;
    const bool owed = owed_[rank] >= 1;
    const bool best_owed = owed_[best->request.rank] >= 1;
    const bool better = owed != best_owed            ? owed
                        : rank != best->request.rank ? rank < best->request.rank
                                                     : goes_before(*it, *best, newest_first);
    if (better) best = it;
  }
  return best;
}

void admission_queue::start_free(time_point now, admission_actions& out) {
  while (running_.size() < settings_.slots) {
    const auto one = next(now);
    if (one == waiting_.end()) return;
    if (now >= one->request.deadline) ++counts_.started_late;
    ++counts_.started;
    const auto rank = one->request.rank;
    out.push_back({admission_action::kind::start, one->request.id, {}});
    running_[one->request.id] = {{rank, one->request.target}, now};
    waiting_.erase(one);
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
