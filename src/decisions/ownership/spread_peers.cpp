// The part of `spread` that chooses peers.
#include <algorithm>
#include <ranges>
#include <utility>

#include "masticshunt/decisions/ownership/spread.h"

namespace masticshunt::ownership {

namespace {

constexpr std::uint32_t draws_max = 16;

}  // namespace

void spread::set_peers(const std::string& source, std::vector<spread_peer> peers) {
  auto& known = peers_by_source_[source];
  if (known == peers) return;
  known = std::move(peers);
  peers_changed_ = true;
}

void spread::forget_peer(const endpoint& peer) {
  neighbours_.erase(peer);
}

void spread::record_contact(const endpoint& from, time_point now) {
  const auto known = neighbours_.find(from);
  if (known != neighbours_.end()) {
    known->second.last_contact = now;
    return;
  }
  const auto accepted =
      std::ranges::count_if(neighbours_, [](const auto& item) { return !item.second.chosen; });
  if (accepted >= settings_.accepted_peers) return;
  neighbours_[from] = {false, false, now, now, {}};
}

void spread::drop_unresponsive_peers(time_point now) {
  std::erase_if(neighbours_, [&](const auto& item) {
    return now - item.second.last_contact > settings_.peer_timeout;
  });
}

void spread::index_peers() {
  if (!std::exchange(peers_changed_, false)) return;
  peers_by_region_.clear();
  for (const auto& [source, peers] : peers_by_source_) {
    for (const auto& peer : peers) {
      if (peer.control != settings_.self) peers_by_region_[peer.region].push_back(peer.control);
    }
  }
  for (auto& [region, peers] : peers_by_region_) {
    std::ranges::sort(peers);
    const auto duplicates = std::ranges::unique(peers);
    peers.erase(duplicates.begin(), duplicates.end());
  }
}

bool spread::is_relay() const {
  const auto own = peers_by_region_.find(settings_.region);
  const auto agents =
      own == peers_by_region_.end() ? 1.0 : 1.0 + static_cast<double>(own->second.size());
  const auto hash_fraction = static_cast<double>(object_key_of(settings_.self)) / 0x1p64;
  return hash_fraction * agents < settings_.relays_per_region;
}

void spread::choose_in(const std::string& region, bool remote, time_point now) {
  const auto candidates = peers_by_region_.find(region);
  if (candidates == peers_by_region_.end()) return;
  for (std::uint32_t attempt = 0; attempt < draws_max; ++attempt) {
    const auto& peer = candidates->second[draw() % candidates->second.size()];
    const auto known = neighbours_.find(peer);
    if (known != neighbours_.end() && known->second.chosen) continue;
    auto& state = neighbours_[peer];
    state.chosen = true;
    state.remote = remote;
    state.last_contact = now;
    state.next_digest = now;
    return;
  }
}

void spread::choose_peers(time_point now) {
  index_peers();
  const auto chosen = [&](bool remote) {
    return std::ranges::count_if(neighbours_, [remote](const auto& item) {
      return item.second.chosen && item.second.remote == remote;
    });
  };
  for (auto missing = settings_.local_peers - chosen(false); missing > 0; --missing) {
    choose_in(settings_.region, false, now);
  }
  std::vector<std::string> others;
  for (const auto& [region, peers] : peers_by_region_) {
    if (region != settings_.region) others.push_back(region);
  }
  if (others.empty() || !is_relay()) return;
  const auto start = draw();
  for (auto missing = settings_.remote_peers - chosen(true); missing > 0; --missing) {
    choose_in(others[(start + missing) % others.size()], true, now);
  }
}

}  // namespace masticshunt::ownership
