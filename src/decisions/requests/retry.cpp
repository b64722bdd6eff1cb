#include "masticshunt/decisions/requests/retry.h"

#include <algorithm>
#include <cmath>

namespace masticshunt::requests {

namespace {

/// Returns true if another attempt after `reason` can end differently. `overloaded` is not
/// retryable: the key has no other owner, and the request already waited at the owner's gate, so a
/// retry would only add to the overload.
bool is_retryable(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::none:
    case refusal_reason::no_owner:
    case refusal_reason::not_owner:
    case refusal_reason::draining:
    case refusal_reason::upstream_shed:
    case refusal_reason::fenced:
      return true;
    default:
      return false;
  }
}

/// Returns true if another attempt cannot run the request a second time.
bool is_safe(const request_descriptor& request, outcome last) {
  if (last == outcome::served) return false;
  return last == outcome::not_run || request.idempotent;
}

}  // namespace

retry_policy::retry_policy(retry_settings settings)
    : settings_(settings), tokens_(settings.budget_burst) {}

void retry_policy::first_attempt() {
  ++first_attempts_;
  tokens_ = std::min(settings_.budget_burst, tokens_ + settings_.budget_share);
}

std::optional<duration> retry_policy::next_delay(const request_descriptor& request,
                                                 const failed_attempt& last, double jitter,
                                                 time_point now) {
  if (!is_safe(request, last.outcome) || !is_retryable(last.reason)) return std::nullopt;
  if (last.attempts_made >= settings_.attempts_max) return std::nullopt;
  const duration delay = std::max(last.retry_after, backoff(last.attempts_made, jitter));
  if (now + delay >= request.deadline) return std::nullopt;
  if (tokens_ < 1) {
    ++denied_by_budget_;
    return std::nullopt;
  }
  tokens_ -= 1;
  ++granted_;
  return delay;
}

duration retry_policy::backoff(std::uint32_t attempts_made, double jitter) const {
  const double doublings = std::min<double>(attempts_made > 0 ? attempts_made - 1 : 0, 30);
  const double ceiling =
      std::min(static_cast<double>(settings_.backoff_max.count()),
               static_cast<double>(settings_.backoff_first.count()) * std::exp2(doublings));
  const double jitter_factor = 0.5 + 0.5 * std::clamp(jitter, 0.0, 1.0);
  return duration{static_cast<duration::rep>(ceiling * jitter_factor)};
}

}  // namespace masticshunt::requests
