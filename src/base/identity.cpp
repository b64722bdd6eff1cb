#include "masticshunt/base/identity.h"

#include <charconv>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace masticshunt {

key_hash hash_of_key(std::string_view key) {
  return XXH64(key.data(), key.size(), 0);
}

std::string to_string(const agent_id& id) {
  return id.name + "/" + std::to_string(id.incarnation);
}

std::string to_string(const fence_token& token) {
  return std::to_string(token.epoch) + "." + std::to_string(token.sequence);
}

std::optional<fence_token> fence_from_text(std::string_view text) {
  fence_token token;
  const char* const last = text.data() + text.size();
  const auto [dot, epoch_error] = std::from_chars(text.data(), last, token.epoch);
  if (epoch_error != std::errc{} || dot == last || *dot != '.') return std::nullopt;
  const auto [end, sequence_error] = std::from_chars(dot + 1, last, token.sequence);
  if (sequence_error != std::errc{} || end != last) return std::nullopt;
  return token;
}

}  // namespace masticshunt
