#include "masticshunt/support/utf8.h"

#include "expect.h"

using namespace masticshunt::support;
using namespace masticshunt::testing;

Test(utf8, valid_text_stays_as_it_is) {
  for (const std::string text : {"", "plain", "Zürich", "名前", "😀", "\xEF\xBF\xBD"})
    expect_equal(with_valid_utf8(text), text);
}

Test(utf8, bytes_that_are_no_part_of_a_character_are_replaced) {
  const std::string mark(replacement_character);
  expect_equal(with_valid_utf8("a\xFF"
                               "b"),
               "a" + mark + "b");
  expect_equal(with_valid_utf8("\xC0\x80"), mark + mark);
  expect_equal(with_valid_utf8("\xED\xA0\x80"), mark + mark + mark);
  expect_equal(with_valid_utf8("\xE5\x90"), mark + mark);
  expect_equal(with_valid_utf8("\xF4\x90\x80\x80"), mark + mark + mark + mark);
}
