#include "masticshunt/decisions/ownership/messages.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "internal/cbor_nesting.h"
#include "internal/json_codec.h"

namespace masticshunt::ownership {
namespace {

using nlohmann::json;

/// Exceeds the nesting depth of every message of this build.
constexpr std::size_t nesting_max = 32;

/// Parser of the body of one message type.
struct message_reader {
  std::string_view type;
  message (*read)(const json& body);
};

template <typename Body>
message read_as(const json& body) {
  return body.get<Body>();
}

/// One reader for each alternative of `message`, in the same order.
constexpr std::array<message_reader, std::variant_size_v<message>> readers{{
    {"spread_notice", &read_as<spread_notice>},
    {"spread_pull", &read_as<spread_pull>},
    {"spread_objects", &read_as<spread_objects>},
    {"spread_digest", &read_as<spread_digest>},
    {"join_request", &read_as<join_request>},
    {"page_request", &read_as<page_request>},
    {"page_update", &read_as<page_update>},
    {"page_ack", &read_as<page_ack>},
    {"renew_request", &read_as<renew_request>},
    {"renew_reply", &read_as<renew_reply>},
    {"release_request", &read_as<release_request>},
    {"support_request", &read_as<support_request>},
    {"support_reply", &read_as<support_reply>},
    {"stop_request", &read_as<stop_request>},
    {"stop_reply", &read_as<stop_reply>},
    {"records_update", &read_as<records_update>},
}};

failure malformed(std::string_view detail) {
  return {failure_kind::bad_input, "malformed control message: " + std::string(detail),
          "check that the peer at the other end is an agent of masticshunt"};
}

}  // namespace

std::string encode(const message& body, const endpoint& from) {
  json envelope{{"v", message_version}, {"t", readers[body.index()].type}, {"from", from}};
  envelope["b"] = std::visit([](const auto& typed) { return json(typed); }, body);
  std::string bytes;
  json::to_cbor(envelope, bytes);
  return bytes;
}

std::optional<envelope> decode(std::string_view bytes, failure& reason) {
  if (!nests_within(bytes, nesting_max)) {
    reason = malformed("not CBOR, or nested too deeply");
    return std::nullopt;
  }
  try {
    const json read = json::from_cbor(bytes.begin(), bytes.end());
    const auto type = read.at("t").get<std::string>();
    const auto reader = std::ranges::find(readers, type, &message_reader::type);
    if (reader == readers.end()) {
      reason = {failure_kind::unsupported, "unknown control message \"" + type + "\"",
                "update this agent to the version of its peers"};
      return std::nullopt;
    }
    return envelope{read.at("from").get<std::string>(), reader->read(read.at("b"))};
  } catch (const std::exception& error) {
    reason = malformed(error.what());
    return std::nullopt;
  }
}

}  // namespace masticshunt::ownership
