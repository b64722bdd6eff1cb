#include "internal/cbor_nesting.h"

#include <nlohmann/json.hpp>

namespace masticshunt::ownership {
namespace {

using nlohmann::json;

/// SAX handler that discards all values and stops the parser at a nesting depth.
class depth_limiter : public nlohmann::json_sax<json> {
 public:
  explicit depth_limiter(std::size_t depth_max) : depth_max_(depth_max) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= depth_max_; }
  bool end_object() override { return close(); }
  bool start_array(std::size_t) override { return ++depth_ <= depth_max_; }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return false;
  }

 private:
  bool close() {
    --depth_;
    return true;
  }

  std::size_t depth_max_;
  std::size_t depth_ = 0;
};

}  // namespace

bool nests_within(std::string_view bytes, std::size_t depth_max) {
  depth_limiter limiter(depth_max);
  return json::sax_parse(bytes.begin(), bytes.end(), &limiter, json::input_format_t::cbor);
}

}  // namespace masticshunt::ownership
