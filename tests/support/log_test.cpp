#include "masticshunt/support/log.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::support;
using namespace std::chrono_literals;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;

Test(log_limiter, admits_one_line_per_interval_and_counts_the_others) {
  log_limiter limiter(1s);
  const time_point start{10s};
  expect_equal(*limiter.pass(start), 0U);
  expect_false(limiter.pass(start + 1ms).has_value());
  expect_false(limiter.pass(start + 999ms).has_value());
  expect_equal(*limiter.pass(start + 1s), 2U);
}

Test(json_escaped, escapes_text_for_a_json_string) {
  expect_equal(json_escaped("a\"b\\c\n"), "a\\\"b\\\\c\\u000a");
}
