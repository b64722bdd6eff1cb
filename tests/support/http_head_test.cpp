#include "masticshunt/support/http_head.h"

#include <string_view>

#include "expect.h"

using namespace masticshunt::support;
using namespace masticshunt::testing;

namespace {

bool folded(std::string_view text) {
  return has_folded_line(boost::asio::buffer(text));
}

}  // namespace

Test(http_head, finds_lines_that_begin_with_a_blank) {
  expect_true(folded("HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n"));
  expect_true(folded("A: b\r\n\tC: d\r\n\r\nbody"));
  expect_true(folded("A: b\r\n \r\n\r\n"));
  expect_true(folded("A: b\r\n "), "the rest has not arrived");
}

Test(http_head, finds_none_in_other_heads_and_in_bodies) {
  expect_false(folded("HTTP/1.1 200 OK\r\nA: b c\r\nC: d\r\n\r\n"));
  expect_false(folded("A: b\r\n\r\n body\r\n of two lines"));
  expect_false(folded("\r\nbody\r\n that follows\r\n\r\n"));
  expect_false(folded("A: b\r\n"));
  expect_false(folded(""));
}
