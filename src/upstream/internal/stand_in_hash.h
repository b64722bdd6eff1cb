/// @file
/// The incremental checksum of a body.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstddef>
#include <cstdint>

namespace masticshunt::upstream {

/// An incremental xxHash64; equal to `hash_of_key` of the concatenated parts.
///
/// Thread safety: none.
class body_hash {
 public:
  body_hash() { XXH64_reset(&state_, 0); }

  /// Adds the next part.
  void update(const void* data, std::size_t size) { XXH64_update(&state_, data, size); }
  /// Returns the hash of all parts so far.
  [[nodiscard]] std::uint64_t digest() const { return XXH64_digest(&state_); }

 private:
  XXH64_state_t state_{};
};

}  // namespace masticshunt::upstream
