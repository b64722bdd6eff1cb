#include "masticshunt/decisions/requests/memory_budget.h"

#include <algorithm>

namespace masticshunt::requests {

namespace {

/// Returns how long a peer needs for the bytes held at its pace; more if it has stopped.
double seconds_needed(const connection_holding& holding) {
  const double window = std::chrono::duration<double>(holding.window).count();
  const double pace = (static_cast<double>(holding.progress) + 1) / window;
  return static_cast<double>(holding.bytes) / pace;
}

}  // namespace

memory_budget::memory_budget(const memory_budget_settings& settings) {
  const double usable = static_cast<double>(settings.memory) * settings.usable;
  const double rest =
      std::max(0.0, usable - static_cast<double>(settings.base)) / settings.overhead;
  const auto limit = [&](double part) {
    return std::max(settings.least, static_cast<std::uint64_t>(rest * part));
  };
  pool(memory_share::callers).limit = limit(settings.callers);
  pool(memory_share::peers).limit = limit(settings.peers);
}

bool memory_budget::reserve(memory_share share, std::uint64_t bytes) {
  pool_state& from = pool(share);
  if (from.held + bytes > from.limit) return false;
  from.held += bytes;
  return true;
}

void memory_budget::charge(memory_share share, std::uint64_t bytes) {
  pool(share).held += bytes;
}

void memory_budget::release(memory_share share, std::uint64_t bytes) {
  pool_state& to = pool(share);
  to.held -= std::min(to.held, bytes);
}

bool memory_budget::under_pressure(memory_share share) const {
  return pool(share).held > pool(share).limit / 2;
}

bool held_bytes::grow_to(std::uint64_t bytes) {
  if (bytes <= bytes_) return true;
  if (budget_ != nullptr && !budget_->reserve(share_, bytes - bytes_)) return false;
  bytes_ = bytes;
  return true;
}

void held_bytes::set(std::uint64_t bytes) {
  if (budget_ != nullptr && bytes > bytes_) budget_->charge(share_, bytes - bytes_);
  if (budget_ != nullptr && bytes < bytes_) budget_->release(share_, bytes_ - bytes);
  bytes_ = bytes;
}

std::vector<connection_number> connections_to_close(std::vector<connection_holding> holdings,
                                                    std::uint64_t excess,
                                                    const eviction_settings& settings) {
  std::vector<connection_number> result;
  if (excess == 0) return result;
  const double longest = std::chrono::duration<double>(settings.longest_wait).count();
  std::erase_if(holdings, [&](const connection_holding& each) {
    return each.bytes < settings.least_bytes || each.window < settings.window ||
           seconds_needed(each) <= longest;
  });
  std::ranges::sort(holdings, std::ranges::greater{}, &seconds_needed);
  std::uint64_t freed = 0;
  for (const connection_holding& each : holdings) {
    if (freed >= excess) break;
    freed += each.bytes;
    result.push_back(each.connection);
  }
  return result;
}

}  // namespace masticshunt::requests
