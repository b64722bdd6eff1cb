#include "masticshunt/decisions/requests/link_budget.h"

#include <algorithm>

namespace masticshunt::requests {

link_budget::link_budget(link_settings settings)
    : settings_(settings),
      tokens_max_(settings.bytes_per_second *
                  std::chrono::duration<double>(settings.burst).count()),
      tokens_(tokens_max_) {}

std::uint64_t link_budget::take(transfer_kind kind, std::uint64_t wanted, time_point now) {
  refill(now);
  const double usable = std::max(0.0, available(kind, tokens_));
  if (kind == transfer_kind::lookup && usable < static_cast<double>(wanted)) return 0;
  const std::uint64_t granted = std::min(wanted, static_cast<std::uint64_t>(usable));
  tokens_ -= static_cast<double>(granted);
  const double reserve = tokens_max_ * settings_.lookup_reserve;
  if (kind == transfer_kind::bulk && granted > 0 && tokens_ < reserve - 1) ++counts_.reserve_broken;
  (kind == transfer_kind::bulk ? counts_.bulk_bytes : counts_.lookup_bytes) += granted;
  return granted;
}

duration link_budget::wait_for(transfer_kind kind, std::uint64_t wanted, time_point now) const {
  const double limit =
      kind == transfer_kind::bulk ? tokens_max_ * (1 - settings_.lookup_reserve) : 2 * tokens_max_;
  const double missing =
      std::min(static_cast<double>(wanted), limit) - available(kind, tokens_at(now));
  if (missing <= 0) return {};
  return std::chrono::ceil<duration>(
      std::chrono::duration<double>(missing / settings_.bytes_per_second));
}

bool link_budget::open_connection(transfer_kind kind) {
  const std::uint32_t open = lookup_connections_ + bulk_connections_;
  const std::uint32_t bulk_max =
      settings_.connections - std::min(settings_.connections, settings_.connections_for_lookups);
  const bool refused = open >= settings_.connections ||
                       (kind == transfer_kind::bulk && bulk_connections_ >= bulk_max);
  if (refused) {
    ++counts_.connections_refused;
    return false;
  }
  ++(kind == transfer_kind::bulk ? bulk_connections_ : lookup_connections_);
  return true;
}

void link_budget::close_connection(transfer_kind kind) {
  std::uint32_t& open = kind == transfer_kind::bulk ? bulk_connections_ : lookup_connections_;
  if (open > 0) --open;
}

void link_budget::refill(time_point now) {
  tokens_ = tokens_at(now);
  last_ = std::max(last_, now);
}

double link_budget::tokens_at(time_point now) const {
  if (now <= last_) return tokens_;
  const double seconds = std::chrono::duration<double>(now - last_).count();
  return std::min(tokens_max_, tokens_ + seconds * settings_.bytes_per_second);
}

double link_budget::available(transfer_kind kind, double tokens) const {
  if (kind == transfer_kind::lookup) return tokens + tokens_max_;
  return settings_.ignore_reserve ? tokens : tokens - tokens_max_ * settings_.lookup_reserve;
}

}  // namespace masticshunt::requests
