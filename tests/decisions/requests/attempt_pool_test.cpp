#include "decisions/requests/internal/attempt_pool.h"

#include <set>

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

Test(attempt_pool, gives_the_attempt_that_expires_first) {
  expect_property([](const std::vector<std::uint8_t>& steps) {
    attempt_pool subject{64};
    std::multiset<time_point> model;
    attempt_id next = 1;
    for (const std::uint8_t step : steps) {
      if (step % 4 == 0 && !model.empty()) {
        const pool_index first = subject.first_to_expire();
        model.erase(model.find(subject.at(first).expires_at));
        subject.release(first);
      } else if (!subject.full()) {
        attempt_entry entry;
        entry.attempt = next++;
        entry.expires_at = at(milliseconds{step});
        subject.add(entry);
        model.insert(entry.expires_at);
      }
      RC_ASSERT(subject.size() == model.size());
      if (!model.empty())
        RC_ASSERT(subject.at(subject.first_to_expire()).expires_at == *model.begin());
    }
  });
}

Test(attempt_pool, keeps_lists_in_order) {
  attempt_pool subject{4};
  attempt_list list;
  attempt_entry entry;
  for (entry.attempt = 1; entry.attempt <= 3; ++entry.attempt)
    subject.push_back(list, subject.add(entry));
  const pool_index middle = subject.find(2);
  subject.unlink(list, middle);
  subject.push_front(list, middle);
  expect_equal(subject.at(list.head).attempt, 2U);
  expect_equal(subject.at(list.tail).attempt, 3U);
  expect_equal(list.size, 3U);
}
