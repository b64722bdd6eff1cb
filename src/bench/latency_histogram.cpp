#include "masticshunt/bench/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace masticshunt::bench {

namespace {

constexpr double smallest_seconds = 1e-5;
constexpr double largest_seconds = 1e2;
constexpr unsigned bucket_count = 1'620;

std::chrono::nanoseconds to_time(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

latency_histogram::latency_histogram()
    : buckets_(std::tuple(axis(bucket_count, smallest_seconds, largest_seconds)), storage{}) {}

void latency_histogram::record(std::chrono::nanoseconds latency) {
  buckets_(std::max(std::chrono::duration<double>(latency).count(), smallest_seconds));
  ++count_;
  largest_ = std::max(largest_, latency);
}

void latency_histogram::merge(const latency_histogram& other) {
  buckets_ += other.buckets_;
  count_ += other.count_;
  largest_ = std::max(largest_, other.largest_);
}

std::chrono::nanoseconds latency_histogram::quantile(double share) const {
  if (count_ == 0) return std::chrono::nanoseconds{0};
  const auto target_count =
      static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
  std::uint64_t cumulative = 0;
  for (int bucket = 0; bucket < buckets_.axis().size(); ++bucket) {
    cumulative += buckets_.at(bucket);
    if (cumulative >= target_count)
      return std::min(to_time(buckets_.axis().bin(bucket).upper()), largest_);
  }
  return largest_;
}

}  // namespace masticshunt::bench
