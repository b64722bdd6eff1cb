#include "decisions/requests/internal/fixed_index.h"

#include <map>

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt::requests;
using namespace masticshunt::testing;

Test(fixed_index, finds_exactly_the_keys_that_were_inserted_and_not_erased) {
  expect_property([](const std::vector<std::pair<std::uint8_t, bool>>& steps) {
    fixed_index index{256};
    std::map<std::uint64_t, pool_index> model;
    pool_index next = 0;
    for (const auto& [key, insert] : steps) {
      if (insert && !model.contains(key)) {
        index.insert(key, next);
        model[key] = next++;
      } else if (!insert) {
        index.erase(key);
        model.erase(key);
      }
      for (std::uint64_t each = 0; each < 256; ++each) {
        const auto found = model.find(each);
        RC_ASSERT(index.find(each) == (found == model.end() ? no_index : found->second));
      }
    }
  });
}
