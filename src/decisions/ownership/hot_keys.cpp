#include "masticshunt/decisions/ownership/hot_keys.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticshunt::ownership {

namespace {

constexpr double growth_max = 0x1p40;

}  // namespace

hot_keys::hot_keys(hot_keys_settings settings) : settings_(settings) {
  settings_.capacity = std::max<std::size_t>(settings_.capacity, 1);
  heap_.reserve(settings_.capacity);
  positions_.reserve(settings_.capacity);
}

double hot_keys::growth(time_point now) const {
  const auto age = static_cast<double>((now - origin_).count());
  return std::exp2(age / static_cast<double>(settings_.half_life.count()));
}

void hot_keys::scale_down(time_point now) {
  const double factor = 1 / growth(now);
  for (auto& counted : heap_) {
    counted.weight *= factor;
    counted.error *= factor;
  }
  total_ *= factor;
  origin_ = now;
}

void hot_keys::record(key_hash hash, double weight, time_point now) {
  if (!std::exchange(started_, true)) origin_ = now;
  if (growth(now) > growth_max) scale_down(now);
  const double grown = weight * growth(now);
  total_ += grown;
  const auto known = positions_.find(hash);
  if (known != positions_.end()) {
    heap_[known->second].weight += grown;
    sift_down(known->second);
    return;
  }
  if (heap_.size() < settings_.capacity) {
    heap_.push_back({hash, grown, 0});
    positions_[hash] = heap_.size() - 1;
    sift_up(heap_.size() - 1);
    return;
  }
  auto& least = heap_.front();
  positions_.erase(least.hash);
  positions_[hash] = 0;
  least = {hash, least.weight + grown, least.weight};
  sift_down(0);
}

void hot_keys::swap(std::size_t left, std::size_t right) {
  std::swap(heap_[left], heap_[right]);
  positions_[heap_[left].hash] = left;
  positions_[heap_[right].hash] = right;
}

void hot_keys::sift_down(std::size_t position) {
  for (;;) {
    std::size_t least = position;
    for (std::size_t child = 2 * position + 1; child <= 2 * position + 2; ++child) {
      if (child < heap_.size() && heap_[child].weight < heap_[least].weight) least = child;
    }
    if (least == position) return;
    swap(position, least);
    position = least;
  }
}

void hot_keys::sift_up(std::size_t position) {
  while (position != 0 && heap_[position].weight < heap_[(position - 1) / 2].weight) {
    swap(position, (position - 1) / 2);
    position = (position - 1) / 2;
  }
}

std::vector<hot_key> hot_keys::hottest(std::size_t count, time_point now) const {
  std::vector<hot_key> keys;
  keys.reserve(heap_.size());
  const double factor = 1 / growth(now);
  for (const auto& counted : heap_) {
    const double certain = counted.weight - counted.error;
    keys.push_back({counted.hash, counted.weight * factor, counted.error * factor,
                    total_ > 0 ? certain / total_ : 0});
  }
  std::ranges::sort(keys, std::ranges::greater{}, &hot_key::share);
  keys.resize(std::min(count, keys.size()));
  return keys;
}

double hot_keys::total_weight(time_point now) const {
  return total_ / growth(now);
}

std::size_t hot_keys::bytes() const {
  constexpr std::size_t map_entry_bytes = 32;  // One node and its bucket.
  return heap_.capacity() * sizeof(counter) + positions_.size() * map_entry_bytes;
}

}  // namespace masticshunt::ownership
