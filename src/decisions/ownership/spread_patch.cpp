#include "masticshunt/decisions/ownership/spread_patch.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <unordered_map>

namespace masticshunt::ownership {

namespace {

constexpr std::size_t block_bytes = 16;
constexpr std::size_t value_bytes_max = std::size_t{4} << 20;

// Steps are encoded with variable-length integers: (length << 1, offset) is a copy from the old
// value; (length << 1 | 1), followed by `length` bytes, is an insertion.

void put_integer(std::string& out, std::uint64_t value) {
  for (; value >= 0x80; value >>= 7) out.push_back(static_cast<char>(value | 0x80));
  out.push_back(static_cast<char>(value));
}

std::optional<std::uint64_t> take_integer(std::string_view& in) {
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift < 64 && !in.empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(in.front());
    in.remove_prefix(1);
    value |= std::uint64_t{byte & 0x7fU} << shift;
    if ((byte & 0x80U) == 0) return value;
  }
  return std::nullopt;
}

std::uint64_t block_at(std::string_view text, std::size_t offset) {
  std::uint64_t words[2];
  std::memcpy(words, text.data() + offset, block_bytes);
  return (words[0] * 0x9e3779b97f4a7c15ULL) ^ (words[1] * 0xc2b2ae3d27d4eb4fULL);
}

using block_index = std::unordered_map<std::uint64_t, std::size_t>;

block_index index_blocks(std::string_view text) {
  block_index blocks;
  blocks.reserve(text.size() / block_bytes + 1);
  for (std::size_t at = 0; at + block_bytes <= text.size(); at += block_bytes) {
    blocks.emplace(block_at(text, at), at);
  }
  return blocks;
}

std::size_t common_length(std::string_view left, std::string_view right) {
  return std::ranges::mismatch(left, right).in1 - left.begin();
}

/// Encodes steps in the order of the new value.
class step_writer {
 public:
  explicit step_writer(std::string_view new_value) : new_value_(new_value) {}

  void copy(std::size_t new_offset, std::size_t old_offset, std::size_t length) {
    insert_until(new_offset);
    put_integer(steps_, length << 1);
    put_integer(steps_, old_offset);
    written_ = new_offset + length;
  }

  std::string finish() {
    insert_until(new_value_.size());
    return std::move(steps_);
  }

  [[nodiscard]] std::size_t written() const { return written_; }

 private:
  void insert_until(std::size_t new_offset) {
    if (new_offset == written_) return;
    put_integer(steps_, (new_offset - written_) << 1 | 1);
    steps_.append(new_value_.substr(written_, new_offset - written_));
    written_ = new_offset;
  }

  std::string_view new_value_;
  std::size_t written_ = 0;
  std::string steps_;
};

}  // namespace

std::string make_patch_steps(std::string_view old_value, std::string_view new_value) {
  step_writer writer(new_value);
  const auto blocks = index_blocks(old_value);
  const auto try_copy = [&](std::size_t at, std::size_t old_offset) {
    const auto length = common_length(new_value.substr(at), old_value.substr(old_offset));
    if (length >= block_bytes) writer.copy(at, old_offset, length);
    return length >= block_bytes ? length : 0;
  };
  std::size_t at = 0;
  std::size_t expected = 0;  // Offset in the old value after the last copy.
  while (at + block_bytes <= new_value.size()) {
    std::size_t copied = expected < old_value.size() ? try_copy(at, expected) : 0;
    if (copied == 0) {
      const auto block = blocks.find(block_at(new_value, at));
      if (block != blocks.end()) {
        std::size_t back = 0;
        while (at - back > writer.written() && block->second > back &&
               new_value[at - back - 1] == old_value[block->second - back - 1]) {
          ++back;
        }
        const auto length = try_copy(at - back, block->second - back);
        copied = length > back ? length - back : 0;
        if (copied != 0) expected = block->second;
      }
    }
    expected += copied;
    at += std::max<std::size_t>(copied, 1);
  }
  return writer.finish();
}

std::optional<std::string> apply_patch_steps(std::string_view old_value, std::string_view steps) {
  std::string result;
  while (!steps.empty()) {
    const auto head = take_integer(steps);
    if (!head || (*head >> 1) > value_bytes_max - result.size()) return std::nullopt;
    const std::size_t length = *head >> 1;
    const bool inserts = (*head & 1) != 0;
    if (inserts) {
      if (length > steps.size()) return std::nullopt;
      result.append(steps.substr(0, length));
      steps.remove_prefix(length);
    } else {
      const auto offset = take_integer(steps);
      if (!offset || *offset > old_value.size() || length > old_value.size() - *offset) {
        return std::nullopt;
      }
      result.append(old_value.substr(*offset, length));
    }
  }
  return result;
}

}  // namespace masticshunt::ownership
