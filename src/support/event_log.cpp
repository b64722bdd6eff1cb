#include "masticshunt/support/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <numeric>

namespace masticshunt::support {

namespace {

constexpr duration summary_interval = std::chrono::seconds{1};

std::string timestamp() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%lld.%03lld", static_cast<long long>(ms / 1000),
                static_cast<long long>(ms % 1000));
  return text.data();
}

}  // namespace

event_text& event_text::add(std::string_view name, std::string_view value) {
  text_.append(" ").append(name).append("=").append(value);
  return *this;
}

event_text& event_text::add(std::string_view name, const std::optional<double>& number) {
  if (!number) return add(name, "none");
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", *number);
  return add(name, std::string_view(text.data()));
}

event_text& event_text::add(std::string_view name, duration span) {
  return add(name, std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

event_text& event_text::add_quoted(std::string_view name, std::string_view text) {
  text_.append(" ").append(name).append("=\"");
  std::ranges::transform(text, std::back_inserter(text_), [](char each) {
    return each == '"' || each == '\n' || each == '\r' ? '\'' : each;
  });
  text_.append("\"");
  return *this;
}

event_log::event_log(int descriptor, std::string process, event_log_budget budget)
    : descriptor_(descriptor), process_(std::move(process)), budget_(budget) {
  const int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0) ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  for (std::size_t kind = 0; kind < tokens_.size(); ++kind)
    tokens_.at(kind) = budget_.lines_per_second.at(kind) * budget_.burst_seconds;
}

bool event_log::admits(line_class kind, time_point now) {
  const double passed = std::chrono::duration<double>(now - refilled_).count();
  if (passed > 0) {
    for (std::size_t each = 0; each < tokens_.size(); ++each) {
      const double rate = budget_.lines_per_second.at(each);
      tokens_.at(each) = std::min(tokens_.at(each) + passed * rate, rate * budget_.burst_seconds);
    }
    refilled_ = now;
  }
  const auto index = static_cast<std::size_t>(kind);
  if (tokens_.at(index) < 1) {
    ++held_since_summary_.at(index);
    ++held_total_.at(index);
    return false;
  }
  tokens_.at(index) -= 1;
  return true;
}

void event_log::line(line_class kind, std::string_view text, time_point now) {
  if (admits(kind, now)) write(text);
}

void event_log::write(std::string_view text) {
  if (buffer_.size() > budget_.buffered_bytes_max) {
    ++lost_;
    return;
  }
  buffer_.append("time=").append(timestamp()).append(" agent=").append(process_).append(" event=");
  buffer_.append(text).append("\n");
}

void event_log::flush(time_point now) {
  const auto held =
      std::accumulate(held_since_summary_.begin(), held_since_summary_.end(), std::uint64_t{0});
  if (held > 0 && now >= next_summary_) {
    next_summary_ = now + summary_interval;
    write("log_held_back process=" + std::to_string(held_since_summary_[0]) +
          " failure=" + std::to_string(held_since_summary_[1]) +
          " success=" + std::to_string(held_since_summary_[2]) + " lost=" + std::to_string(lost_));
    held_since_summary_ = {};
  }
  if (buffer_.empty()) return;
  const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
  if (written > 0) buffer_.erase(0, static_cast<std::size_t>(written));
}

}  // namespace masticshunt::support
