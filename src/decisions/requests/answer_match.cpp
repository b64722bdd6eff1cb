#include "masticshunt/decisions/requests/answer_match.h"

#include <algorithm>

namespace masticshunt::requests {

void answer_match::sent(request_number request, std::uint32_t attempt) {
  request_state& known = requests_[request];
  known.last_attempt = std::max(known.last_attempt, attempt);
}

answer_verdict answer_match::arrived(request_number request, std::uint32_t attempt) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || attempt == 0 || attempt > found->second.last_attempt) {
    ++counts_.unexpected;
    return answer_verdict::unexpected;
  }
  if (found->second.state == progress::answered) {
    ++counts_.duplicate;
    return answer_verdict::duplicate;
  }
  if (found->second.state == progress::unanswered) {
    ++counts_.late;
    return answer_verdict::late;
  }
  ++counts_.delivered;
  end(request, found->second, progress::answered);
  return answer_verdict::deliver;
}

void answer_match::ended(request_number request) {
  const auto found = requests_.find(request);
  if (found != requests_.end() && found->second.state == progress::open)
    end(request, found->second, progress::unanswered);
}

void answer_match::end(request_number number, request_state& request, progress state) {
  request.state = state;
  ended_.push_back(number);
  if (ended_.size() <= ended_max_) return;
  requests_.erase(ended_.front());
  ended_.pop_front();
}

}  // namespace masticshunt::requests
