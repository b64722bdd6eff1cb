/// @file
/// How many bytes an agent may hold for others, and who must give way when they run short.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// For whom bytes are held.
enum class memory_share { callers, peers };

/// Settings of a budget.
struct memory_budget_settings {
  std::uint64_t memory = std::uint64_t{160} << 20U;  ///< Of the VM that the process may use.
  /// Of that memory, what the process may use at its peak; the rest is for what it does not count.
  double usable = 0.75;
  /// What the process uses without any request: code, tables, buffers of the log.
  std::uint64_t base = std::uint64_t{20} << 20U;
  /// Parts of the rest; what is left is for heartbeats, grants, the store and readiness, which
  /// never wait for other bytes.
  double callers = 0.5;
  double peers = 0.35;
  /// Allocators keep more than they are asked for.
  double overhead = 1.25;
  std::uint64_t least = std::uint64_t{2} << 20U;  ///< Of a share, however small the VM is.
};

/// The bytes that are held, by share.
///
/// Large bodies are taken in only with a reservation, which fails when the share is used up. Bytes
/// that are held already, such as unsent output, are charged whatever is left. Thread safety: none.
class memory_budget {
 public:
  explicit memory_budget(const memory_budget_settings& settings = {});

  /// Takes `bytes` of `share`. Returns false, and takes nothing, if it has not that much left.
  [[nodiscard]] bool reserve(memory_share share, std::uint64_t bytes);
  /// Takes `bytes` of `share` although it may have less left.
  void charge(memory_share share, std::uint64_t bytes);
  void release(memory_share share, std::uint64_t bytes);

  [[nodiscard]] std::uint64_t held(memory_share share) const { return pool(share).held; }
  [[nodiscard]] std::uint64_t limit(memory_share share) const { return pool(share).limit; }
  /// Returns true if more than half of `share` is used.
  [[nodiscard]] bool under_pressure(memory_share share) const;

 private:
  struct pool_state {
    std::uint64_t held = 0;
    std::uint64_t limit = 0;
  };
  [[nodiscard]] pool_state& pool(memory_share share) {
    return pools_[static_cast<std::size_t>(share)];
  }
  [[nodiscard]] const pool_state& pool(memory_share share) const {
    return pools_[static_cast<std::size_t>(share)];
  }

  std::array<pool_state, 2> pools_;
};

/// A part of a budget that is given back on destruction.
///
/// Without a budget everything is granted and nothing is counted. The budget must outlive it.
class held_bytes {
 public:
  held_bytes() = default;
  held_bytes(memory_budget& budget, memory_share share) : budget_(&budget), share_(share) {}
  ~held_bytes() { set(0); }
  held_bytes(const held_bytes&) = delete;
  held_bytes& operator=(const held_bytes&) = delete;
  held_bytes(held_bytes&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)),
        share_(other.share_),
        bytes_(std::exchange(other.bytes_, 0)) {}
  held_bytes& operator=(held_bytes&& other) noexcept {
    if (this == &other) return *this;
    set(0);
    budget_ = std::exchange(other.budget_, nullptr);
    share_ = other.share_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }

  /// Reserves what is missing up to `bytes`. Returns false, and changes nothing, if that is too
  /// much.
  [[nodiscard]] bool grow_to(std::uint64_t bytes);
  /// Holds exactly `bytes`, whatever is left of the budget.
  void set(std::uint64_t bytes);

  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

 private:
  memory_budget* budget_ = nullptr;
  memory_share share_ = memory_share::callers;
  std::uint64_t bytes_ = 0;
};

/// The share of a budget in which something is to be counted.
struct budget_share {
  memory_budget* budget = nullptr;  ///< Null: nothing is counted.
  memory_share share = memory_share::callers;

  /// Returns a part of the share, empty at first.
  [[nodiscard]] held_bytes hold() const {
    return budget == nullptr ? held_bytes{} : held_bytes{*budget, share};
  }
};

/// Identifies a connection.
using connection_number = std::uint64_t;

/// What is held for a connection that waits for its peer to send or to read.
struct connection_holding {
  connection_number connection = 0;
  std::uint64_t bytes = 0;
  std::uint64_t progress = 0;  ///< Bytes that its peer sent or read during `window`.
  duration window{};           ///< Since progress is counted.
};

/// Settings of the choice of connections to close.
struct eviction_settings {
  /// A peer is given this much time before its progress is judged.
  duration window = std::chrono::seconds{1};
  /// At its pace in the window, a peer must need no longer than this for the bytes that are held.
  duration longest_wait = std::chrono::seconds{30};
  std::uint64_t least_bytes = 4 * 1024;  ///< Connections that hold less are left alone.
};

/// Returns the connections to close so that `excess` bytes become free: those that made the least
/// progress for the bytes held, and only those that are too slow. A peer on a thin line is slow as
/// well, but nothing is closed without an excess.
[[nodiscard]] std::vector<connection_number> connections_to_close(
    std::vector<connection_holding> holdings, std::uint64_t excess,
    const eviction_settings& settings = {});

}  // namespace masticshunt::requests
