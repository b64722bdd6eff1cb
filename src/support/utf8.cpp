#include "masticshunt/support/utf8.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace masticshunt::support {

namespace {

/// A form of UTF-8 characters: the values of the first byte and of the second; further bytes are
/// continuation bytes.
struct character_form {
  unsigned char first_min;
  unsigned char first_max;
  std::size_t length;
  unsigned char second_min;
  unsigned char second_max;
};

constexpr unsigned char continuation_min = 0x80;
constexpr unsigned char continuation_max = 0xBF;

/// The well-formed byte sequences of the Unicode standard, table 3-7.
constexpr std::array<character_form, 9> character_forms{{{0x00, 0x7F, 1, 0, 0},
                                                         {0xC2, 0xDF, 2, 0x80, 0xBF},
                                                         {0xE0, 0xE0, 3, 0xA0, 0xBF},
                                                         {0xE1, 0xEC, 3, 0x80, 0xBF},
                                                         {0xED, 0xED, 3, 0x80, 0x9F},
                                                         {0xEE, 0xEF, 3, 0x80, 0xBF},
                                                         {0xF0, 0xF0, 4, 0x90, 0xBF},
                                                         {0xF1, 0xF3, 4, 0x80, 0xBF},
                                                         {0xF4, 0xF4, 4, 0x80, 0x8F}}};

bool is_between(char byte, unsigned char min, unsigned char max) {
  const auto value = static_cast<unsigned char>(byte);
  return min <= value && value <= max;
}

bool is_continuation(char byte) {
  return is_between(byte, continuation_min, continuation_max);
}

/// Returns the length of the character at the start of `text`; zero if there is none.
std::size_t character_length(std::string_view text) {
  const auto form = std::ranges::find_if(character_forms, [&](const character_form& each) {
    return is_between(text.front(), each.first_min, each.first_max);
  });
  if (form == character_forms.end() || text.size() < form->length) return 0;
  if (form->length == 1) return 1;
  if (!is_between(text[1], form->second_min, form->second_max)) return 0;
  return std::ranges::all_of(text.substr(2, form->length - 2), is_continuation) ? form->length : 0;
}

}  // namespace

std::string with_valid_utf8(std::string_view text) {
  std::string valid;
  valid.reserve(text.size());
  while (!text.empty()) {
    const auto length = character_length(text);
    valid.append(length == 0 ? replacement_character : text.substr(0, length));
    text.remove_prefix(std::max<std::size_t>(length, 1));
  }
  return valid;
}

}  // namespace masticshunt::support
