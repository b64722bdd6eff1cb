#include "internal/cbor_nesting.h"

#include <nlohmann/json.hpp>

namespace masticshunt::ownership {
namespace {

using nlohmann::json;

/// Takes the parts of a CBOR text and stops the reader at a depth.
class depth_gauge : public nlohmann::json_sax<json> {
 public:
  explicit depth_gauge(std::size_t depth_max) : depth_max_(depth_max) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= depth_max_; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return ++depth_ <= depth_max_; }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return false;
  }

 private:
  bool leave() {
    --depth_;
    return true;
  }

  std::size_t depth_max_;
  std::size_t depth_ = 0;
};

}  // namespace

bool nests_within(std::string_view bytes, std::size_t depth_max) {
  depth_gauge gauge(depth_max);
  return json::sax_parse(bytes.begin(), bytes.end(), &gauge, json::input_format_t::cbor);
}

}  // namespace masticshunt::ownership
