#include "masticshunt/decisions/ownership/messages.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "expect.h"

namespace {

using namespace masticshunt;
using namespace masticshunt::ownership;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

renew_request sample_request() {
  return {.group = {"viewer", 3},
          .owner = {"agent-1", 7},
          .request = 42,
          .sequence = 9,
          .leaving = true,
          .released = {{1, 2}, {3, 4}},
          .config_digest = 0xffff'ffff'ffff'ffffULL,
          .config_revision = 11,
          .schema_version_max = 2,
          .busy_slots = 1.5};
}

/// Checks a property with a fixed seed.
template <class Property>
bool holds(const char* name, Property property) {
  setenv("RC_PARAMS", "seed=20261204", 1);
  return rc::check(name, property);
}

std::string bytes_of(const nlohmann::json& envelope) {
  std::string bytes;
  nlohmann::json::to_cbor(envelope, bytes);
  return bytes;
}

}  // namespace

Test(messages, round_trip_through_their_codec) {
  failure reason;
  const auto decoded = decode(encode(sample_request(), "10.0.0.1:7400"), reason);
  expect_true(decoded.has_value(), reason.message);
  expect_equal(decoded->from, std::string("10.0.0.1:7400"));
  expect_true(std::get<renew_request>(decoded->body) == sample_request());
}

Test(messages, ignore_unknown_fields) {
  auto envelope = nlohmann::json::from_cbor(encode(sample_request(), "a"));
  envelope["b"]["new_field"] = "x";
  envelope["new_field"] = 1;
  failure reason;
  const auto decoded = decode(bytes_of(envelope), reason);
  expect_true(decoded.has_value(), reason.message);
  expect_true(std::get<renew_request>(decoded->body) == sample_request());
}

Test(messages, of_an_unknown_type_are_unsupported) {
  auto envelope = nlohmann::json::from_cbor(encode(sample_request(), "a"));
  envelope["t"] = "from_the_future";
  failure reason;
  expect_false(decode(bytes_of(envelope), reason).has_value());
  expect_equal(reason.kind, failure_kind::unsupported);
}

Test(messages, with_a_field_of_a_wrong_type_are_bad_input) {
  auto envelope = nlohmann::json::from_cbor(encode(sample_request(), "a"));
  envelope["b"]["request"] = "forty-two";
  failure reason;
  expect_false(decode(bytes_of(envelope), reason).has_value());
  expect_equal(reason.kind, failure_kind::bad_input);
}

Test(messages, of_random_bytes_never_throw) {
  const bool held = holds("random bytes", [](const std::string& bytes) {
    failure reason;
    const auto decoded = decode(bytes, reason);
    RC_ASSERT(decoded.has_value() || reason.kind != failure_kind::none);
  });
  expect_true(held);
}

Test(messages, with_a_changed_byte_never_throw) {
  const bool held = holds("changed byte", [](std::size_t position, char value) {
    auto bytes = encode(sample_request(), "10.0.0.1:7400");
    bytes[position % bytes.size()] = value;
    failure reason;
    static_cast<void>(decode(bytes, reason));
  });
  expect_true(held);
}
