#include "masticshunt/decisions/claims/answer_history.h"

#include <algorithm>

namespace masticshunt::claims {

namespace {

constexpr std::size_t connections_max = 8;
constexpr connection_id earlier_process = 0;

}  // namespace

answer_history::answer_history(duration answer_limit, time_point now)
    : answer_limit_(answer_limit), unread_{{0, earlier_process, now + answer_limit}} {}

answer_number answer_history::sent(connection_id connection, time_point arrived) {
  ++last_;
  unread_.push_back({last_, connection, arrived + answer_limit_});
  last_of_connection_[connection] = last_;
  if (last_of_connection_.size() > connections_max) {
    const auto oldest = std::ranges::min_element(last_of_connection_, {},
                                                 [](const auto& entry) { return entry.second; });
    last_of_connection_.erase(oldest);
  }
  return last_;
}

answer_number answer_history::heartbeat_received(connection_id connection, time_point now) {
  std::erase_if(unread_, [&](const unread_answer& each) {
    return each.connection == connection || now >= each.readable_until;
  });
  const auto found = last_of_connection_.find(connection);
  return found == last_of_connection_.end() ? 0 : found->second;
}

bool answer_history::settled(answer_number number) const {
  return std::ranges::none_of(
      unread_, [number](const unread_answer& each) { return each.number <= number; });
}

}  // namespace masticshunt::claims
