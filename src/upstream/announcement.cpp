#include "masticshunt/upstream/announcement.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace masticshunt::upstream {

namespace {

using nlohmann::json;

constexpr std::size_t text_bytes_max = 512;
constexpr std::uint64_t count_max = 1'000'000;
constexpr std::array<std::pair<std::string_view, readiness>, 3> readiness_names = {
    {{"ready", readiness::ready},
     {"draining", readiness::draining},
     {"stopping", readiness::stopping}}};

failure invalid_field(const std::string& field, const std::string& rule) {
  return {failure_kind::bad_input, "the announcement's field \"" + field + "\" " + rule,
          "see the section Upstreams of the interface page"};
}

bool read_text(const json& object, const char* field, std::string& value, failure& reason) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_string() ||
      found->get_ref<const std::string&>().empty() ||
      found->get_ref<const std::string&>().size() > text_bytes_max) {
    reason = invalid_field(field, "is missing, empty, too long or no text");
    return false;
  }
  value = found->get<std::string>();
  return true;
}

bool read_count(const json& object, const char* field, std::uint64_t max, std::uint64_t& value,
                failure& reason) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > max ||
      found->get<std::uint64_t>() == 0) {
    reason = invalid_field(field, "is not a whole number from 1 to " + std::to_string(max));
    return false;
  }
  value = found->get<std::uint64_t>();
  return true;
}

bool read_readiness(const json& object, readiness& value, failure& reason) {
  const auto found = object.find("state");
  if (found == object.end()) return true;
  const auto named = std::ranges::find_if(readiness_names, [&](const auto& each) {
    return found->is_string() && found->get_ref<const std::string&>() == each.first;
  });
  if (named == readiness_names.end()) {
    reason = invalid_field("state", "is not ready, draining or stopping");
    return false;
  }
  value = named->second;
  return true;
}

}  // namespace

std::optional<announcement> parse_announcement(std::string_view body, failure& reason) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object()) {
    reason = {failure_kind::bad_input, "the announcement is no JSON object",
              "see the section Upstreams of the interface page"};
    return std::nullopt;
  }
  announcement result;
  auto& upstream = result.upstream;
  std::uint64_t slots = 0;
  std::uint64_t connections = 0;
  const bool read = read_text(object, "service", upstream.service, reason) &&
                    read_text(object, "address", upstream.address, reason) &&
                    read_count(object, "incarnation", UINT64_MAX, upstream.incarnation, reason) &&
                    read_count(object, "slots", count_max, slots, reason) &&
                    read_count(object, "connections", count_max, connections, reason) &&
                    read_readiness(object, result.state, reason);
  if (!read) return std::nullopt;
  const auto fences = object.find("checks_fences");
  if (fences != object.end() && !fences->is_boolean()) {
    reason = invalid_field("checks_fences", "is neither true nor false");
    return std::nullopt;
  }
  upstream.checks_fences = fences != object.end() && fences->get<bool>();
  upstream.slots = static_cast<std::uint32_t>(slots);
  upstream.connections = static_cast<std::uint32_t>(connections);
  return result;
}

std::string to_json_text(const announcement& message) {
  const auto named = std::ranges::find(readiness_names, message.state,
                                       &std::pair<std::string_view, readiness>::second);
  return json{{"service", message.upstream.service},
              {"address", message.upstream.address},
              {"incarnation", message.upstream.incarnation},
              {"slots", message.upstream.slots},
              {"connections", message.upstream.connections},
              {"checks_fences", message.upstream.checks_fences},
              {"state", named->first}}
      .dump();
}

}  // namespace masticshunt::upstream
