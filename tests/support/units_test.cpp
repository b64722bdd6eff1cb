#include "masticshunt/support/units.h"

#include "expect.h"

using namespace masticshunt::support;
using namespace std::chrono_literals;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

Test(duration_from, accepts_only_integers_with_a_unit) {
  expect_true(duration_from("250ms") == 250ms);
  expect_true(duration_from("2m") == 2min);
  for (const auto* text :
       {"", "5", "ms", "-1s", "1.5s", "1 s", "99999999999999999999s", "9223372036854775807h"}) {
    expect_false(duration_from(text).has_value(), text);
  }
}

Test(size_from, accepts_binary_units) {
  expect_equal(*size_from("64KiB"), 65'536U);
  expect_false(size_from("64KB").has_value());
  expect_false(size_from("64").has_value());
}

Test(share_from, accepts_fractions_and_percentages) {
  expect_equal(*share_from("25%"), 0.25);
  expect_equal(*share_from("0.25"), 0.25);
  expect_false(share_from("nan").has_value());
  expect_false(share_from("%").has_value());
}
