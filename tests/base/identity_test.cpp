#include "masticshunt/base/identity.h"

#include "expect.h"

using masticshunt::fence_token;
using masticshunt::hash_range;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

Test(hash_range, contains_both_ends) {
  const hash_range range{10, 20};
  expect_true(range.contains(10));
  expect_true(range.contains(20));
  expect_false(range.contains(21));
}

Test(fence_token, orders_by_epoch_before_sequence) {
  expect_true(fence_token{2, 0} > fence_token{1, 99});
}

Test(hash_of_key, is_the_same_on_every_machine) {
  expect_equal(masticshunt::hash_of_key(""), 0xef46db3751d8e999ULL);
}

Test(fence_token, round_trips_through_text) {
  const fence_token token{7, 42};
  expect_true(masticshunt::fence_from_text(to_string(token)) == token);
}

Test(fence_token, rejects_malformed_text) {
  for (const char* text : {"", "7", "7.", ".42", "7.42x", "-1.2", "7,42"}) {
    expect_false(masticshunt::fence_from_text(text).has_value(), text);
  }
}
