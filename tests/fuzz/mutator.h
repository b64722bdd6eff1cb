/// @file
/// Changes bytes at random, from a seed.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace masticshunt::testing {

/// Makes broken inputs out of good ones.
///
/// Thread safety: none.
class mutator {
 public:
  /// `words` are inserted now and then; name what the parser treats specially.
  mutator(std::uint64_t seed, std::vector<std::string> words)
      : random_(seed), words_(std::move(words)) {}

  /// Returns `input` with up to eight changes.
  std::string mutate(std::string input) {
    const auto changes = 1 + below(8);
    for (std::size_t change = 0; change < changes; ++change) apply(input);
    return input;
  }

  /// Returns up to `size_max` bytes at random.
  std::string noise(std::size_t size_max) {
    std::string bytes(below(size_max + 1), '\0');
    std::ranges::generate(bytes, [&] { return byte(); });
    return bytes;
  }

 private:
  std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }
  char byte() { return static_cast<char>(random_()); }

  void apply(std::string& input) {
    const std::size_t place = below(input.size() + 1);
    switch (below(7)) {
      case 0:
        if (place < input.size()) input[place] = byte();
        break;
      case 1:
        if (place < input.size()) input[place] = static_cast<char>(input[place] ^ (1 << below(8)));
        break;
      case 2:
        input.erase(place, below(8));
        break;
      case 3:
        input.insert(place, 1, byte());
        break;
      case 4:
        input.insert(place, words_[below(words_.size())]);
        break;
      case 5:
        input.insert(place, input.substr(below(input.size() + 1), below(64)));
        break;
      default:
        if (below(8) == 0) input.resize(place);
    }
  }

  std::mt19937_64 random_;
  std::vector<std::string> words_;
};

}  // namespace masticshunt::testing
