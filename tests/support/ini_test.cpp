#include "masticshunt/support/ini.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::support;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;

namespace {

std::string error_in(std::string_view text) {
  failure reason;
  return parse_ini("f", text, reason) ? std::string() : reason.message;
}

}  // namespace

Test(ini, keeps_the_line_of_every_key) {
  failure reason;
  const auto document = parse_ini("f", "# comment\n\n[a b]\r\n  k = v = w \n", reason);
  expect_equal(document->find("a b")->line, 3U);
  expect_equal(document->find("a b")->find("k")->line, 4U);
  expect_equal(document->find("a b")->find("k")->value, "v = w");
}

Test(ini, names_file_and_line_of_an_error) {
  expect_true(error_in("[a]\nnonsense\n").starts_with("f:2: "));
  expect_true(error_in("k = v\n").starts_with("f:1: "));
  expect_true(error_in("[a\n").starts_with("f:1: "));
  expect_true(error_in("[a]\nk = 1\nk = 2\n").starts_with("f:3: "));
  expect_true(error_in("[a]\n[b]\n[a]\n").starts_with("f:3: "));
  expect_true(error_in("[a]\n = 2\n").starts_with("f:2: "));
}

Test(ini, reports_a_file_that_cannot_be_read) {
  failure reason;
  expect_true(!read_file("/nonexistent/file", reason));
  expect_equal(reason.kind, failure_kind::bad_input);
}

Test(nearest_name, is_empty_if_no_name_is_similar) {
  expect_equal(nearest_name("lese", {"lease", "store"}), "lease");
  expect_equal(nearest_name("something", {"lease", "store"}), "");
}
