#include "masticshunt/decisions/ownership/spread.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "masticshunt/decisions/ownership/spread_patch.h"

namespace masticshunt::ownership {

namespace {

constexpr std::size_t patches_kept_max = 8;
constexpr std::size_t patched_value_bytes_min = 512;
constexpr double nanoseconds_per_second = 1e9;

std::uint64_t mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

std::size_t steps_bytes(const std::vector<value_patch>& patches) {
  std::size_t bytes = 0;
  for (const auto& patch : patches) bytes += patch.steps.size();
  return bytes;
}

}  // namespace

spread::spread(spread_settings settings)
    : settings_(std::move(settings)),
      random_state_(mix(settings_.seed ^ object_key_of(settings_.self))),
      tokens_(settings_.burst_bytes) {}

std::uint64_t spread::draw() {
  return mix(random_state_ += 0x9e3779b97f4a7c15ULL);
}

void spread::refill(time_point now) {
  const auto elapsed = refilled_ ? std::max(now - *refilled_, duration{}) : duration{};
  refilled_ = now;
  const double gained =
      static_cast<double>(elapsed.count()) / nanoseconds_per_second * settings_.bytes_per_second;
  tokens_ = std::min(tokens_ + gained, settings_.burst_bytes);
}

void spread::send(const endpoint& to, spread_message message, spread_output& out) {
  const auto bytes = wire_bytes(message);
  tokens_ -= static_cast<double>(bytes);
  counters_.bytes_sent += bytes;
  ++counters_.messages_sent;
  out.sends.push_back({to, std::move(message)});
}

bool spread::put(versioned_object object, time_point now) {
  return adopt(std::move(object), {}, now);
}

spread_output spread::handle(const endpoint& from, const spread_message& message, time_point now) {
  spread_output out;
  refill(now);
  record_contact(from, now);
  std::visit([&](const auto& body) { receive(from, body, now, out); }, message);
  send_pulls(now, out);
  answer_pulls(out);
  return out;
}

spread_output spread::tick(time_point now) {
  spread_output out;
  refill(now);
  drop_unresponsive_peers(now);
  choose_peers(now);
  purge_tombstones(now);
  expire_pulls(now);
  notify(out);
  send_pulls(now, out);
  answer_pulls(out);
  send_digests(now, out);
  return out;
}

spread_output spread::pull_from(const endpoint& from, std::string_view name, time_point now) {
  spread_output out;
  refill(now);
  const auto key = object_key_of(name);
  send(from, spread_pull{{{key, version_of(key), 0, 0}}}, out);
  return out;
}

time_point spread::next_wake(time_point now) const {
  const bool busy = !missing_.empty() || !answer_queue_.empty() || neighbours_.empty() ||
                    std::ranges::any_of(
                        neighbours_, [](const auto& item) { return !item.second.pending.empty(); });
  auto wake = now + (busy ? settings_.notice_interval : settings_.digest_interval);
  for (const auto& [peer, state] : neighbours_) {
    if (state.chosen) wake = std::min(wake, std::max(state.next_digest, now));
  }
  const bool out_of_budget = tokens_ <= 0;
  return out_of_budget ? std::max(wake, now + settings_.notice_interval) : wake;
}

std::optional<versioned_object> spread::find(std::string_view name) const {
  const auto held = objects_.find(object_key_of(name));
  if (held == objects_.end() || held->second.object.deleted) return std::nullopt;
  return held->second.object;
}

std::vector<endpoint> spread::neighbours() const {
  std::vector<endpoint> names;
  names.reserve(neighbours_.size());
  for (const auto& [peer, state] : neighbours_) names.push_back(peer);
  return names;
}

std::uint64_t spread::version_of(object_key key) const {
  const auto held = objects_.find(key);
  return held == objects_.end() ? 0 : held->second.object.version;
}

void spread::count_in_digest(const versioned_object& object) {
  if (object.deleted) return;
  const auto key = object_key_of(object.name);
  const auto hash = mix(key ^ mix(object.version));
  leaf_hashes_[key / (~std::uint64_t{0} / leaf_count + 1)] ^= hash;
  root_hash_ ^= hash;
}

bool spread::adopt(versioned_object object, std::vector<value_patch> patches, time_point now) {
  const auto key = object_key_of(object.name);
  auto found = objects_.find(key);
  if (object.version <= version_of(key)) return false;
  if (found == objects_.end()) found = objects_.try_emplace(key).first;
  auto& held = found->second;
  if (held.object.version != 0) count_in_digest(held.object);  // Removes the old version.
  if (held.object.deleted)
    std::erase_if(tombstones_, [&](const tombstone& t) { return t.key == key; });
  held.patches = patches.empty() ? patches_towards(held, object) : std::move(patches);
  held.object = std::move(object);
  count_in_digest(held.object);
  if (held.object.deleted) tombstones_.push_back({now, key});
  const auto missing = missing_.find(key);
  const auto version = held.object.version;
  const bool satisfied = missing != missing_.end() && missing->second.version <= version;
  for (auto& [peer, state] : neighbours_) {
    const bool announced = satisfied && missing->second.version == version &&
                           std::ranges::count(missing->second.holders, peer) != 0;
    if (!announced) state.pending[key] = version;
  }
  in_flight_.erase(key);
  if (satisfied) {
    missing_.erase(missing);
  } else if (missing != missing_.end() && missing->second.requested_at) {
    missing->second.requested_at.reset();  // An older version than requested has arrived.
    pull_queue_.push_back(key);
  }
  return true;
}

std::vector<value_patch> spread::patches_towards(const held_object& held,
                                                 const versioned_object& next) const {
  const auto& old_value = held.object.value;
  if (old_value.size() < patched_value_bytes_min || next.deleted) return {};
  value_patch patch{held.object.version, next.version, object_key_of(next.value),
                    make_patch_steps(old_value, next.value)};
  if (patch.steps.size() * 2 > next.value.size()) return {};
  auto patches = held.patches;
  patches.push_back(std::move(patch));
  while (patches.size() > patches_kept_max || steps_bytes(patches) * 2 > next.value.size()) {
    patches.erase(patches.begin());
  }
  return patches;
}

void spread::purge_tombstones(time_point now) {
  while (!tombstones_.empty() && now - tombstones_.front().since > settings_.tombstone_retention) {
    const auto held = objects_.find(tombstones_.front().key);
    purged_version_ = std::max(purged_version_, held->second.object.version);
    objects_.erase(held);
    tombstones_.pop_front();
  }
}

void spread::notify(spread_output& out) {
  for (auto& [peer, state] : neighbours_) {
    if (state.pending.empty()) continue;
    if (tokens_ <= 0) return;
    spread_notice notice;
    constexpr std::size_t entries_max = 2'000;
    while (!state.pending.empty() && notice.entries.size() < entries_max) {
      const auto entry = state.pending.extract(state.pending.begin());
      notice.entries.push_back({entry.key(), entry.mapped()});
    }
    send(peer, std::move(notice), out);
  }
}

}  // namespace masticshunt::ownership
