#include "decisions/configuration/internal/record_fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace masticshunt::configuration {

namespace {

constexpr std::size_t text_length_max = 128;
constexpr std::size_t list_length_max = 64;
constexpr std::size_t hex_digits = 16;

bool is_printable(std::string_view text) {
  return std::ranges::none_of(
      text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f || c == ','; });
}

bool in_bounds(double value, double least, double most) {
  return std::isfinite(value) && least <= value && value <= most;
}

std::optional<key_hash> hash_from(std::string_view text) {
  if (!text.starts_with("0x") || text.size() != hex_digits + 2) return std::nullopt;
  text.remove_prefix(2);
  key_hash hash = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return hash;
}

std::string trimmed_number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

}  // namespace

std::string expected_form(field_type type, double least, double most) {
  const std::string bounds = trimmed_number(least) + " to " + trimmed_number(most);
  switch (type) {
    case field_type::text:
      return "write a text of at most 128 characters without commas or control characters";
    case field_type::count:
      return "write a whole number from " + bounds;
    case field_type::share:
      return "write a share from " + bounds;
    case field_type::number:
      return "write a number from " + bounds;
    case field_type::flag:
      return "write true or false";
    case field_type::time_span:
      return "write a duration from " + bounds + " ms";
    case field_type::isolation:
      return "write stay or move";
    case field_type::hashes:
      return "write two hashes as 0x0000000000000000-0xffffffffffffffff, the lower first";
    case field_type::text_list:
      return "write at most 64 different names, none of them empty";
  }
  return {};
}

bool read_json(const nlohmann::json& value, double /*least*/, double /*most*/, std::string& to) {
  if (!value.is_string()) return false;
  to = value.get_ref<const std::string&>();
  return to.size() <= text_length_max && is_printable(to);
}

bool read_json(const nlohmann::json& value, double least, double most, std::uint32_t& to) {
  if (!value.is_number_unsigned()) return false;
  const auto number = value.get<std::uint64_t>();
  if (!in_bounds(static_cast<double>(number), least, most)) return false;
  to = static_cast<std::uint32_t>(number);
  return true;
}

bool read_json(const nlohmann::json& value, double least, double most, double& to) {
  if (!value.is_number()) return false;
  to = value.get<double>();
  return in_bounds(to, least, most);
}

bool read_json(const nlohmann::json& value, double /*least*/, double /*most*/, bool& to) {
  if (!value.is_boolean()) return false;
  to = value.get<bool>();
  return true;
}

bool read_json(const nlohmann::json& value, double least, double most,
               std::chrono::milliseconds& to) {
  if (!value.is_number_unsigned()) return false;
  const auto number = value.get<std::uint64_t>();
  if (!in_bounds(static_cast<double>(number), least, most)) return false;
  to = std::chrono::milliseconds{number};
  return true;
}

bool read_json(const nlohmann::json& value, double /*least*/, double /*most*/,
               isolation_policy& to) {
  if (value != "stay" && value != "move") return false;
  to = value == "stay" ? isolation_policy::stay : isolation_policy::move;
  return true;
}

bool read_json(const nlohmann::json& value, double /*least*/, double /*most*/, hash_range& to) {
  if (!value.is_string()) return false;
  const std::string_view text = value.get_ref<const std::string&>();
  const auto dash = text.find('-');
  if (dash == std::string_view::npos) return false;
  const auto first = hash_from(text.substr(0, dash));
  const auto last = hash_from(text.substr(dash + 1));
  if (!first || !last || *first > *last) return false;
  to = {*first, *last};
  return true;
}

bool read_json(const nlohmann::json& value, double /*least*/, double /*most*/,
               std::vector<std::string>& to) {
  if (!value.is_array() || value.size() > list_length_max) return false;
  to.clear();
  for (const auto& item : value) {
    std::string text;
    if (!read_json(item, 0, 0, text) || text.empty() || std::ranges::count(to, text) > 0) {
      return false;
    }
    to.push_back(std::move(text));
  }
  return true;
}

nlohmann::json write_json(const std::string& from) {
  return from;
}
nlohmann::json write_json(std::uint32_t from) {
  return from;
}
nlohmann::json write_json(double from) {
  return from;
}
nlohmann::json write_json(bool from) {
  return from;
}
nlohmann::json write_json(std::chrono::milliseconds from) {
  return static_cast<std::uint64_t>(from.count());
}
nlohmann::json write_json(isolation_policy from) {
  return from == isolation_policy::stay ? "stay" : "move";
}
nlohmann::json write_json(const hash_range& from) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "0x%016llx-0x%016llx",
                static_cast<unsigned long long>(from.first),
                static_cast<unsigned long long>(from.last));
  return std::string(text.data());
}
nlohmann::json write_json(const std::vector<std::string>& from) {
  return from;
}

}  // namespace masticshunt::configuration
