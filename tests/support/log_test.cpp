#include "masticshunt/support/log.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::support;
using namespace std::chrono_literals;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;

Test(log_limiter, lets_one_line_through_in_each_interval_and_counts_the_others) {
  log_limiter limiter(1s);
  const time_point start{10s};
  expect_equal(*limiter.pass(start), 0U);
  expect_false(limiter.pass(start + 1ms).has_value());
  expect_false(limiter.pass(start + 999ms).has_value());
  expect_equal(*limiter.pass(start + 1s), 2U);
}

Test(json_escaped, makes_any_text_the_inside_of_a_string) {
  expect_equal(json_escaped("a\"b\\c\n"), "a\\\"b\\\\c\\u000a");
}
