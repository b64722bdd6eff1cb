#include "store/internal/url_text.h"

#include <algorithm>
#include <charconv>

namespace masticshunt::store {

namespace {

constexpr std::string_view hex = "0123456789ABCDEF";

bool is_unreserved(char c) {
  return ('a' <= c && c <= 'z') || ('A' <= c && c <= 'Z') || ('0' <= c && c <= '9') ||
         std::string_view("-_.~/").find(c) != std::string_view::npos;
}

std::optional<char> decode_hex_pair(std::string_view pair) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(pair.data(), pair.data() + pair.size(), value, 16);
  if (pair.size() != 2 || error != std::errc{} || end != pair.data() + 2) return std::nullopt;
  return static_cast<char>(value);
}

}  // namespace

std::string percent_encode(std::string_view text) {
  std::string result;
  for (const char c : text) {
    if (is_unreserved(c)) {
      result += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    result += {'%', hex[byte >> 4U], hex[byte & 15U]};
  }
  return result;
}

std::optional<std::string> percent_decode(std::string_view text) {
  std::string result;
  while (!text.empty()) {
    if (text.front() != '%') {
      result += text.front();
      text.remove_prefix(1);
      continue;
    }
    const auto decoded = decode_hex_pair(text.substr(1, 2));
    if (!decoded) return std::nullopt;
    result += *decoded;
    text.remove_prefix(3);
  }
  return result;
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name) {
  auto rest = target.substr(std::min(target.find('?'), target.size()));
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const auto pair = rest.substr(0, rest.find('&'));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return percent_decode(pair.substr(equals + 1));
    }
    rest.remove_prefix(pair.size());
  }
  return std::nullopt;
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> version_from_etag(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') return std::nullopt;
  return parse_decimal(tag.substr(1, tag.size() - 2));
}

std::string etag_of(std::uint64_t version) {
  return '"' + std::to_string(version) + '"';
}

}  // namespace masticshunt::store
