#include "decisions/requests/internal/attempt_pool.h"

#include <set>

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

Test(attempt_pool, returns_the_attempt_that_expires_first) {
  expect_property([](const std::vector<std::uint8_t>& steps) {
    attempt_pool pool{64};
    std::multiset<time_point> model;
    attempt_id next = 1;
    for (const std::uint8_t step : steps) {
      if (step % 4 == 0 && !model.empty()) {
        const pool_index first = pool.first_to_expire();
        model.erase(model.find(pool.at(first).expires_at));
        pool.release(first);
      } else if (!pool.full()) {
        attempt_entry entry;
        entry.attempt = next++;
        entry.expires_at = at(milliseconds{step});
        pool.add(entry);
        model.insert(entry.expires_at);
      }
      RC_ASSERT(pool.size() == model.size());
      if (!model.empty()) RC_ASSERT(pool.at(pool.first_to_expire()).expires_at == *model.begin());
    }
  });
}

Test(attempt_pool, keeps_lists_in_order) {
  attempt_pool pool{4};
  attempt_list list;
  attempt_entry entry;
  for (entry.attempt = 1; entry.attempt <= 3; ++entry.attempt)
    pool.push_back(list, pool.add(entry));
  const pool_index middle = pool.find(2);
  pool.unlink(list, middle);
  pool.push_front(list, middle);
  expect_equal(pool.at(list.head).attempt, 2U);
  expect_equal(pool.at(list.tail).attempt, 3U);
  expect_equal(list.size, 3U);
}
