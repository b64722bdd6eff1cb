#include "masticshunt/support/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace masticshunt::support {

namespace {

/// A unit and its size in the smallest unit.
struct unit {
  std::string_view suffix;
  std::uint64_t factor = 1;
};

constexpr std::array<unit, 4> time_units{
    {{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}}};
constexpr std::array<unit, 4> size_units{
    {{"KiB", 1'024}, {"MiB", 1'048'576}, {"GiB", 1'073'741'824}, {"B", 1}}};
constexpr std::uint64_t scaled_max = std::numeric_limits<std::int64_t>::max();

template <class Units>
std::optional<std::uint64_t> scaled(std::string_view text, const Units& units) {
  const auto digits = std::min(text.find_first_not_of("0123456789"), text.size());
  const auto* const chosen = std::ranges::find(units, text.substr(digits), &unit::suffix);
  const auto number = count_from(text.substr(0, digits));
  if (chosen == units.end() || !number || *number > scaled_max / chosen->factor) {
    return std::nullopt;
  }
  return *number * chosen->factor;
}

}  // namespace

std::optional<std::chrono::milliseconds> duration_from(std::string_view text) {
  const auto count = scaled(text, time_units);
  if (!count) return std::nullopt;
  return std::chrono::milliseconds{*count};
}

std::optional<std::uint64_t> size_from(std::string_view text) {
  return scaled(text, size_units);
}

std::optional<double> share_from(std::string_view text) {
  const bool percent = text.ends_with('%');
  if (percent) text.remove_suffix(1);
  const auto number = number_from(text);
  if (!number) return std::nullopt;
  return percent ? *number / 100 : *number;
}

std::optional<double> number_from(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() ||
      !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> count_from(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<bool> flag_from(std::string_view text) {
  if (text == "true") return true;
  if (text == "false") return false;
  return std::nullopt;
}

}  // namespace masticshunt::support
