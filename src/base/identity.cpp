#include "masticshunt/base/identity.h"

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

}  // namespace masticshunt
