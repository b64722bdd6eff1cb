#include "masticshunt/decisions/requests/transfer_queue.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

bool transfer_queue::fits(std::uint64_t bytes) const {
  const double bytes_max =
      settings_.bytes_per_second * settings_.share * seconds(settings_.in_flight_time);
  return in_flight_.empty() || static_cast<double>(bytes_in_flight_ + bytes) <= bytes_max;
}

void transfer_queue::offer(const transfer_request& request, time_point now, transfer_actions& out) {
  if (waiting_.empty() && fits(request.bytes)) {
    in_flight_[request.id] = request.bytes;
    bytes_in_flight_ += request.bytes;
    out.push_back({transfer_action::kind::start, request.id});
    return;
  }
  const double wait = static_cast<double>(bytes_in_flight_ + bytes_waiting_) /
                      (settings_.bytes_per_second * settings_.share);
  if (wait > settings_.wait_share * seconds(request.deadline - now)) {
    out.push_back({transfer_action::kind::refuse, request.id});
    return;
  }
  waiting_.push_back(request);
  bytes_waiting_ += request.bytes;
}

void transfer_queue::start_waiting(transfer_actions& out) {
  while (!waiting_.empty() && fits(waiting_.front().bytes)) {
    const transfer_request next = waiting_.front();
    waiting_.pop_front();
    bytes_waiting_ -= next.bytes;
    in_flight_[next.id] = next.bytes;
    bytes_in_flight_ += next.bytes;
    out.push_back({transfer_action::kind::start, next.id});
  }
}

void transfer_queue::finished(transfer_id id, transfer_actions& out) {
  const auto found = in_flight_.find(id);
  if (found == in_flight_.end()) return;
  bytes_in_flight_ -= found->second;
  in_flight_.erase(found);
  start_waiting(out);
}

bool transfer_queue::abandoned(transfer_id id) {
  const auto found = std::ranges::find(waiting_, id, &transfer_request::id);
  if (found == waiting_.end()) return false;
  bytes_waiting_ -= found->bytes;
  waiting_.erase(found);
  return true;
}

}  // namespace masticshunt::requests
