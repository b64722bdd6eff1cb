/// @file
/// Assertions that print the expected value, the actual value and the source location on failure.
#pragma once

#include <criterion/criterion.h>

#include <optional>
#include <source_location>
#include <sstream>
#include <string>

namespace masticshunt::testing {

/// Returns `value` as text for a failure message; "(value)" for types that cannot be printed.
template <class Value>
std::string to_text(const Value& value) {
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

/// Fails the test unless `actual == expected`.
template <class Actual, class Expected>
void expect_equal(const Actual& actual, const Expected& expected, std::string_view context = "",
                  std::source_location location = std::source_location::current()) {
  if (actual == expected) return;
  const std::string text = std::string(location.file_name()) + ":" +
                           std::to_string(location.line()) + ": expected " + to_text(expected) +
                           ", actual " + to_text(actual) + " " + std::string(context);
  cr_assert_fail("%s", text.c_str());
}

/// Fails the test unless `condition` is true; `context` describes the expectation.
inline void expect_true(bool condition, std::string_view context = "",
                        std::source_location location = std::source_location::current()) {
  expect_equal(condition, true, context, location);
}

/// Fails the test if `condition` is true; `context` describes the expectation.
inline void expect_false(bool condition, std::string_view context = "",
                         std::source_location location = std::source_location::current()) {
  expect_equal(condition, false, context, location);
}

}  // namespace masticshunt::testing
