#include "masticshunt/support/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <memory>

namespace masticshunt::support {

namespace {

constexpr unsigned char first_printable = 0x20;

/// Writes the message escaped for a JSON string.
class escaped_message : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
              spdlog::memory_buf_t& to) override {
    const auto text = json_escaped({message.payload.data(), message.payload.size()});
    to.append(text.data(), text.data() + text.size());
  }
  [[nodiscard]] std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<escaped_message>();
  }
};

}  // namespace

void configure_log(const std::string& level, std::string_view format) {
  auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
  if (format == "json") {
    formatter->add_flag<escaped_message>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","message":"%*"})");
  } else {
    formatter->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v");
  }
  spdlog::set_formatter(std::move(formatter));
  spdlog::set_level(spdlog::level::from_str(level));
}

std::string json_escaped(std::string_view text) {
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') result += '\\';
    if (byte >= first_printable) {
      result += c;
      continue;
    }
    char escape[8]{};
    std::snprintf(escape, sizeof escape, "\\u%04x", static_cast<unsigned>(byte));
    result += escape;
  }
  return result;
}

std::optional<std::uint64_t> log_limiter::pass(time_point now) {
  const auto moment = now.time_since_epoch().count();
  auto next = next_.load();
  if (moment < next || !next_.compare_exchange_strong(next, moment + interval_.count())) {
    ++suppressed_;
    return std::nullopt;
  }
  return suppressed_.exchange(0);
}

}  // namespace masticshunt::support
