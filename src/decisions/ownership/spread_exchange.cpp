// The part of `spread` that exchanges notices, pulls, objects and digests with peers.
#include <algorithm>
#include <ranges>
#include <utility>

#include "masticshunt/decisions/ownership/spread.h"
#include "masticshunt/decisions/ownership/spread_patch.h"

namespace masticshunt::ownership {

namespace {

constexpr std::size_t holders_max = 4;
constexpr std::size_t pulls_in_flight_max = 256;
constexpr std::size_t pulls_queued_max = 4'096;
constexpr std::size_t part_bytes_max = 32'768;
constexpr std::size_t value_bytes_max = std::size_t{2} << 20;
constexpr std::size_t leaf_entries_max = 2'000;
constexpr std::uint32_t attempts_per_holder_max = 6;
constexpr std::uint32_t backoff_steps_max = 4;
constexpr duration catch_up_interval = std::chrono::seconds{1};

std::size_t payload_bytes(const object_part& part) {
  std::size_t bytes = part.bytes.size() + part.name.size();
  for (const auto& patch : part.patches) bytes += patch.steps.size();
  return bytes;
}

}  // namespace

void spread::receive(const endpoint& from, const spread_notice& notice, time_point now,
                     spread_output& out) {
  const auto sender = neighbours_.find(from);
  for (const auto& entry : notice.entries) {
    if (entry.version > version_of(entry.key)) add_missing(entry.key, entry.version, from);
    if (sender == neighbours_.end()) continue;
    const auto pending = sender->second.pending.find(entry.key);
    const bool peer_is_current =
        pending != sender->second.pending.end() && pending->second <= entry.version;
    if (peer_is_current) sender->second.pending.erase(pending);
  }
  if (notice.whole_leaves.empty() || tokens_ <= 0) return;
  std::map<object_key, std::uint64_t> peer_versions;
  for (const auto& entry : notice.entries) peer_versions[entry.key] = entry.version;
  auto newer = leaves_notice(notice.whole_leaves);
  newer.whole_leaves.clear();
  std::erase_if(newer.entries, [&](const version_entry& entry) {
    const auto peer_version = peer_versions.find(entry.key);
    return peer_version != peer_versions.end() && peer_version->second >= entry.version;
  });
  if (!newer.entries.empty()) send(from, std::move(newer), out);
  const bool caught_up = missing_.size() < pulls_in_flight_max;
  if (sender != neighbours_.end() && caught_up) {
    sender->second.next_digest = std::min(sender->second.next_digest, now + catch_up_interval);
  }
}

void spread::receive(const endpoint& from, const spread_pull& pull, time_point, spread_output&) {
  for (const auto& item : pull.items) {
    if (answer_queue_.size() >= pulls_queued_max) return;
    const pull_id id{from, item.key};
    if (queued_pulls_.insert_or_assign(id, item).second) answer_queue_.push_back(id);
  }
}

void spread::receive(const endpoint& from, const spread_objects& objects, time_point now,
                     spread_output& out) {
  for (const auto& part : objects.parts) handle_part(from, part, now, out);
}

void spread::handle_part(const endpoint& from, const object_part& part, time_point now,
                         spread_output& out) {
  const auto key = object_key_of(part.name);
  const auto held_version = version_of(key);
  const bool forgotten = held_version == 0 && part.version <= purged_version_;
  if (part.version <= held_version || forgotten || part.total_bytes > value_bytes_max) return;
  const bool is_patched = !part.patches.empty();
  std::optional<versioned_object> object;
  std::vector<value_patch> patches;
  if (is_patched) {
    object = patched(part);
    if (!object) {
      ++counters_.patches_refused;
      add_missing(key, part.version, from);
      missing_[key].whole = true;
      in_flight_.erase(key);
      missing_[key].requested_at.reset();
      pull_queue_.push_front(key);
      return;
    }
    patches.assign(part.patches.begin(), part.patches.end());
  } else {
    object = assembled(from, part, now, out);
    if (!object) return;
  }
  auto adopted = *object;
  if (!adopt(*std::move(object), std::move(patches), now)) return;
  ++counters_.objects_adopted;
  if (is_patched) ++counters_.patches_adopted;
  out.adopted.push_back(std::move(adopted));
}

std::optional<versioned_object> spread::patched(const object_part& part) const {
  const auto held = objects_.find(object_key_of(part.name));
  if (held == objects_.end()) return std::nullopt;
  versioned_object object = held->second.object;
  for (const auto& patch : part.patches) {
    auto next = apply_patch_steps(object.value, patch.steps);
    const bool fits =
        patch.from_version == object.version && next && object_key_of(*next) == patch.result_hash;
    if (!fits) return std::nullopt;
    object.value = *std::move(next);
    object.version = patch.to_version;
  }
  if (object.version != part.version) return std::nullopt;
  object.deleted = false;
  return object;
}

std::optional<versioned_object> spread::assembled(const endpoint& from, const object_part& part,
                                                  time_point now, spread_output& out) {
  const bool whole = part.offset == 0 && part.bytes.size() == part.total_bytes;
  if (whole) return versioned_object{part.name, part.version, part.bytes, part.deleted};
  const auto key = object_key_of(part.name);
  add_missing(key, part.version, from);
  auto& missing = missing_[key];
  if (part.offset == 0) {
    missing.received.clear();
    missing.received_version = part.version;
  }
  const bool continues =
      missing.received_version == part.version && part.offset == missing.received.size();
  if (!continues) return std::nullopt;
  missing.received += part.bytes;
  missing.attempts = 0;
  if (missing.received.size() >= part.total_bytes) {
    return versioned_object{part.name, part.version, std::move(missing.received), false};
  }
  missing.requested_at = now;
  in_flight_[key] = now + settings_.pull_timeout;
  send(from, spread_pull{{{key, 0, missing.received.size(), part.version}}}, out);
  return std::nullopt;
}

void spread::add_missing(object_key key, std::uint64_t version, const endpoint& holder) {
  auto [found, is_new] = missing_.try_emplace(key);
  auto& missing = found->second;
  if (is_new) pull_queue_.push_back(key);
  if (version > missing.version) {
    missing.version = version;
    missing.holders.clear();
    missing.attempts = 0;
  }
  const bool known = std::ranges::count(missing.holders, holder) != 0;
  if (version == missing.version && !known && missing.holders.size() < holders_max) {
    missing.holders.push_back(holder);
  }
}

void spread::send_pulls(time_point now, spread_output& out) {
  std::map<endpoint, spread_pull> pulls;
  while (!pull_queue_.empty() && in_flight_.size() < pulls_in_flight_max && tokens_ > 0) {
    const auto key = pull_queue_.front();
    pull_queue_.pop_front();
    const auto found = missing_.find(key);
    if (found == missing_.end() || found->second.requested_at) continue;
    auto& missing = found->second;
    const auto& holder = missing.holders[missing.next_holder % missing.holders.size()];
    missing.requested_at = now;
    in_flight_[key] =
        now + settings_.pull_timeout * (1 << std::min(missing.attempts, backoff_steps_max));
    pulls[holder].items.push_back({key, missing.whole ? 0 : version_of(key),
                                   missing.received.size(), missing.received_version});
  }
  for (auto& [holder, pull] : pulls) send(holder, std::move(pull), out);
}

void spread::expire_pulls(time_point now) {
  for (auto flight = in_flight_.begin(); flight != in_flight_.end();) {
    if (flight->second > now) {
      ++flight;
      continue;
    }
    const auto key = flight->first;
    flight = in_flight_.erase(flight);
    ++counters_.pulls_timed_out;
    const auto found = missing_.find(key);
    if (found == missing_.end()) continue;
    auto& missing = found->second;
    missing.requested_at.reset();
    ++missing.next_holder;
    if (++missing.attempts >= attempts_per_holder_max * missing.holders.size()) {
      missing_.erase(found);  // The next notice or digest announces it again.
    } else {
      pull_queue_.push_back(key);
    }
  }
}

std::optional<object_part> spread::part_for(const pull_item& item) const {
  const auto found = objects_.find(item.key);
  if (found == objects_.end()) return std::nullopt;
  const auto& [object, patches] = found->second;
  if (object.version <= item.have_version) return std::nullopt;
  object_part part{object.name, object.version, object.deleted, object.value.size(), 0, {}, {}};
  const auto start = std::ranges::find(patches, item.have_version, &value_patch::from_version);
  if (item.have_version != 0 && start != patches.end()) {
    part.patches.assign(start, patches.end());
    if (payload_bytes(part) <= part_bytes_max) return part;
    part.patches.clear();
  }
  const bool continues_part = item.part_of == object.version && item.offset < object.value.size();
  part.offset = continues_part ? item.offset : 0;
  part.bytes = object.value.substr(part.offset, part_bytes_max);
  return part;
}

void spread::answer_pulls(spread_output& out) {
  std::map<endpoint, std::pair<spread_objects, std::size_t>> answers;
  double reserved = 0;
  const auto flush = [&](const endpoint& to, auto& answer) {
    send(to, std::move(answer.first), out);
    answer = {};
  };
  while (!answer_queue_.empty() && tokens_ - reserved > 0) {
    const auto request = queued_pulls_.extract(answer_queue_.front());
    answer_queue_.pop_front();
    auto part = part_for(request.mapped());
    if (!part) continue;
    const auto& from = request.key().first;
    auto& answer = answers[from];
    const auto bytes = payload_bytes(*part);
    if (answer.second != 0 && answer.second + bytes > part_bytes_max) flush(from, answer);
    answer.second += bytes;
    reserved += static_cast<double>(bytes);
    answer.first.parts.push_back(*std::move(part));
  }
  for (auto& [to, answer] : answers) {
    if (!answer.first.parts.empty()) flush(to, answer);
  }
}

std::uint64_t spread::digest_at(std::uint32_t depth, std::uint32_t index) const {
  if (depth == 0) return root_hash_;
  if (depth == 2) return index < leaf_count ? leaf_hashes_[index] : 0;
  if (index >= tree_fan) return 0;
  std::uint64_t hash = 0;
  for (std::uint32_t leaf = 0; leaf < tree_fan; ++leaf)
    hash ^= leaf_hashes_[index * tree_fan + leaf];
  return hash;
}

std::vector<digest_node> spread::digest_below(std::uint32_t depth,
                                              const std::vector<std::uint32_t>& parents) const {
  std::vector<digest_node> nodes;
  for (const auto parent : parents) {
    for (std::uint32_t child = 0; child < tree_fan; ++child) {
      const auto index = parent * tree_fan + child;
      nodes.push_back({index, digest_at(depth + 1, index)});
    }
  }
  return nodes;
}

spread_notice spread::leaves_notice(std::vector<std::uint32_t> leaves) {
  spread_notice notice;
  if (leaves.empty()) return notice;
  constexpr std::uint64_t leaf_width = ~std::uint64_t{0} / leaf_count + 1;
  std::ranges::rotate(leaves, leaves.begin() + static_cast<std::ptrdiff_t>(draw() % leaves.size()));
  for (const auto leaf : leaves) {
    if (leaf >= leaf_count || notice.entries.size() >= leaf_entries_max) break;
    const auto first = objects_.lower_bound(leaf * leaf_width);
    const auto last =
        leaf + 1 == leaf_count ? objects_.end() : objects_.lower_bound((leaf + 1) * leaf_width);
    for (const auto& [key, held] : std::ranges::subrange(first, last)) {
      notice.entries.push_back({key, held.object.version});
    }
    notice.whole_leaves.push_back(leaf);
  }
  return notice;
}

void spread::receive(const endpoint& from, const spread_digest& digest, time_point,
                     spread_output& out) {
  constexpr std::uint32_t leaf_depth = 2;
  const bool busy =
      tokens_ <= 0 || !answer_queue_.empty() || missing_.size() >= pulls_in_flight_max;
  if (digest.in_sync || digest.depth > leaf_depth || busy) return;
  std::vector<std::uint32_t> different;
  for (const auto& node : digest.nodes) {
    if (digest_at(digest.depth, node.index) != node.hash) different.push_back(node.index);
  }
  if (different.empty()) {
    if (digest.depth == 0) send(from, spread_digest{0, {}, true}, out);
    return;
  }
  if (digest.depth == leaf_depth) {
    send(from, leaves_notice(std::move(different)), out);
  } else {
    send(from, spread_digest{digest.depth + 1, digest_below(digest.depth, different), false}, out);
  }
}

void spread::send_digests(time_point now, spread_output& out) {
  for (auto& [peer, state] : neighbours_) {
    if (!state.chosen || state.next_digest > now || tokens_ <= 0) continue;
    state.next_digest = now + settings_.digest_interval;
    send(peer, spread_digest{0, {{0, root_hash_}}, false}, out);
  }
}

}  // namespace masticshunt::ownership
