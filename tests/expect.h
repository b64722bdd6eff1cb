/// @file
/// Checks whose failures print the expected value, the actual value and the place.
#pragma once

#include <criterion/criterion.h>

#include <optional>
#include <source_location>
#include <sstream>
#include <string>

namespace masticshunt::testing {

/// Prints a value for a failure message; values without a stream operator print as "(value)".
template <class Value>
std::string printed(const Value& value) {
  std::ostringstream out;
  if constexpr (requires { out << value; }) {
    out << std::boolalpha << value;
  } else if constexpr (requires { out << static_cast<long long>(value); }) {
    out << static_cast<long long>(value);
  } else {
    out << "(value)";
  }
  return out.str();
}

/// Ends the test unless `actual == expected`.
template <class Actual, class Expected>
void expect_equal(const Actual& actual, const Expected& expected, std::string_view context = "",
                  std::source_location place = std::source_location::current()) {
  if (actual == expected) return;
  const std::string text = std::string(place.file_name()) + ":" + std::to_string(place.line()) +
                           ": expected " + printed(expected) + ", actual " + printed(actual) + " " +
                           std::string(context);
  cr_assert_fail("%s", text.c_str());
}

/// Ends the test unless `condition` holds; `context` says what was expected.
inline void expect_true(bool condition, std::string_view context = "",
                        std::source_location place = std::source_location::current()) {
  expect_equal(condition, true, context, place);
}

/// Ends the test if `condition` holds; `context` says what was expected.
inline void expect_false(bool condition, std::string_view context = "",
                         std::source_location place = std::source_location::current()) {
  expect_equal(condition, false, context, place);
}

}  // namespace masticshunt::testing
