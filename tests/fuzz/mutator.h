/// @file
/// Seeded random mutation of parser inputs.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace masticshunt::testing {

/// Derives invalid inputs from valid ones.
///
/// Thread safety: none.
class mutator {
 public:
  /// `dictionary` holds tokens with a meaning for the parser; mutations insert them at random.
  mutator(std::uint64_t seed, std::vector<std::string> dictionary)
      : random_(seed), dictionary_(std::move(dictionary)) {}

  /// Returns `input` with up to eight mutations.
  std::string mutate(std::string input) {
    const auto change_count = 1 + random_below(8);
    for (std::size_t count = 0; count < change_count; ++count) apply(input);
    return input;
  }

  /// Returns a string of 0 to `size_max` random bytes.
  std::string random_bytes(std::size_t size_max) {
    std::string bytes(random_below(size_max + 1), '\0');
    std::ranges::generate(bytes, [&] { return random_byte(); });
    return bytes;
  }

 private:
  std::size_t random_below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }
  char random_byte() { return static_cast<char>(random_()); }

  void apply(std::string& input) {
    const std::size_t position = random_below(input.size() + 1);
    switch (random_below(7)) {
      case 0:
        if (position < input.size()) input[position] = random_byte();
        break;
      case 1:
        if (position < input.size())
          input[position] = static_cast<char>(input[position] ^ (1 << random_below(8)));
        break;
      case 2:
        input.erase(position, random_below(8));
        break;
      case 3:
        input.insert(position, 1, random_byte());
        break;
      case 4:
        input.insert(position, dictionary_[random_below(dictionary_.size())]);
        break;
      case 5:
        input.insert(position, input.substr(random_below(input.size() + 1), random_below(64)));
        break;
      default:
        if (random_below(8) == 0) input.resize(position);
    }
  }

  std::mt19937_64 random_;
  std::vector<std::string> dictionary_;
};

}  // namespace masticshunt::testing
