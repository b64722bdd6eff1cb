#include "masticshunt/support/ini.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>
#include <utility>

namespace masticshunt::support {

namespace {

constexpr std::size_t file_bytes_max = 4'194'304;
constexpr std::size_t suggestion_distance_max = 3;

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view whitespace = " \t\r";
  const auto first = text.find_first_not_of(whitespace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::size_t edit_distance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const auto replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

/// Parses one line into `to`. Returns the failure, if any.
std::optional<failure> add_line(ini_document& to, std::string_view text, std::size_t line) {
  const auto fail = [&](std::string_view message, std::string remedy) {
    return failure_at(to.file, line, message, std::move(remedy));
  };
  if (text.empty() || text.front() == '#' || text.front() == ';') return std::nullopt;
  if (text.front() == '[') {
    const auto name = text.back() == ']' ? trimmed(text.substr(1, text.size() - 2)) : "";
    if (name.empty())
      return fail("section header without a name or closing bracket", "write [name]");
    if (to.find(name) != nullptr) {
      return fail("section [" + std::string(name) + "] is defined twice", "merge the two sections");
    }
    to.sections.push_back({std::string(name), line, {}});
    return std::nullopt;
  }
  const auto equals = text.find('=');
  if (equals == std::string_view::npos || trimmed(text.substr(0, equals)).empty()) {
    return fail("expected a section header or a key with a value",
                "write [section] or key = value");
  }
  if (to.sections.empty()) return fail("key before the first section", "add [section] above");
  const std::string key(trimmed(text.substr(0, equals)));
  auto& section = to.sections.back();
  if (section.find(key) != nullptr) {
    return fail("key " + key + " is defined twice in [" + section.name + "]", "remove one of them");
  }
  section.entries.push_back({key, std::string(trimmed(text.substr(equals + 1))), line});
  return std::nullopt;
}

}  // namespace

const ini_entry* ini_section::find(std::string_view key) const {
  const auto found = std::ranges::find(entries, key, &ini_entry::key);
  return found == entries.end() ? nullptr : &*found;
}

const ini_section* ini_document::find(std::string_view name) const {
  const auto found = std::ranges::find(sections, name, &ini_section::name);
  return found == sections.end() ? nullptr : &*found;
}

failure failure_at(std::string_view file, std::size_t line, std::string_view message,
                   std::string remedy) {
  return {failure_kind::bad_input,
          std::string(file) + ":" + std::to_string(line) + ": " + std::string(message),
          std::move(remedy)};
}

std::optional<ini_document> parse_ini(std::string_view file, std::string_view text,
                                      failure& reason) {
  ini_document result{std::string(file), {}};
  std::size_t line = 0;
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size());
    if (auto fault = add_line(result, trimmed(text.substr(0, end)), ++line)) {
      reason = std::move(*fault);
      return std::nullopt;
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return result;
}

std::optional<std::string> read_file(const std::string& path, failure& reason) {
  std::ifstream file(path, std::ios::binary);
  std::string content{std::istreambuf_iterator<char>(file), {}};
  if (file.fail() || content.size() > file_bytes_max) {
    reason = {failure_kind::bad_input, path + ": cannot be read or is larger than 4 MiB",
              "check the path, its permissions and the file size"};
    return std::nullopt;
  }
  return content;
}

std::string nearest_name(std::string_view wrong, const std::vector<std::string_view>& known) {
  const auto nearest = std::ranges::min_element(
      known, {}, [&](std::string_view name) { return edit_distance(wrong, name); });
  if (nearest == known.end() || edit_distance(wrong, *nearest) > suggestion_distance_max) return {};
  return std::string(*nearest);
}

}  // namespace masticshunt::support
