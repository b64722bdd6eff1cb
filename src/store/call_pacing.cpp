#include "store/internal/call_pacing.h"

#include <algorithm>

namespace masticshunt::store {

namespace {

constexpr duration timeout_min = std::chrono::milliseconds{150};
constexpr int timeout_factor = 4;
constexpr double slowest_decay = 0.95;
constexpr std::uint32_t doublings_max = 16;

}  // namespace

rate_budget::rate_budget(double per_second, double burst)
    : per_call_(
          std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / per_second))),
      window_(std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(std::max(burst, 1.0) / per_second))),
      empty_until_(time_point::min()) {}

std::optional<time_point> rate_budget::reserve(time_point now, time_point latest) {
  const auto earliest_full = now - window_;
  const auto next_empty = std::max(empty_until_, earliest_full) + per_call_;
  const auto start = std::max(now, next_empty);
  if (start > latest) return std::nullopt;
  empty_until_ = next_empty;
  return start;
}

backoff::backoff(std::chrono::milliseconds first_delay, std::chrono::milliseconds max_delay,
                 std::uint64_t seed)
    : first_delay_(first_delay), max_delay_(max_delay), random_(seed) {}

void backoff::failed(time_point now) {
  const auto doubled = first_delay_ * (std::int64_t{1} << std::min(failures_, doublings_max));
  ++failures_;
  std::uniform_real_distribution<double> draw(0, 1);
  const std::chrono::duration<double, std::milli> wait =
      draw(random_) * std::chrono::duration<double, std::milli>(std::min(doubled, max_delay_));
  not_before_ = now + std::chrono::duration_cast<duration>(wait);
}

void backoff::succeeded() {
  failures_ = 0;
  not_before_ = time_point::min();
}

void response_timeout_estimate::record_latency(duration latency) {
  const auto decayed = std::chrono::duration_cast<duration>(slowest_latency_ * slowest_decay);
  slowest_latency_ = std::max(latency, decayed);
}

duration response_timeout_estimate::timeout() const {
  return std::max(timeout_min, slowest_latency_ * timeout_factor);
}

}  // namespace masticshunt::store
