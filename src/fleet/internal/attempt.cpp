#include "fleet/internal/attempt.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <sstream>

#include "platform/headers.h"

namespace masticshunt::fleet {

namespace {

constexpr std::string_view hop_name = "Masticshunt-Hop";
constexpr std::string_view load_name = "Masticshunt-Load";
constexpr std::string_view refusal_name = "Masticshunt-Refused";
constexpr std::string_view detail_name = "Masticshunt-Detail";
constexpr std::string_view version_name = "Masticshunt-State";
constexpr std::string_view own_prefix = "Masticshunt-";
constexpr std::string_view absent = "-";

constexpr std::array<std::string_view, 7> refusal_names{
    "none", "overloaded", "leaving", "no_upstream", "not_owner", "owner_pending", "shed"};
constexpr std::array<std::string_view, 5> result_names{"answered", "not_run", "may_have_run",
                                                       "unreachable", "cancelled"};

std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}
boost::beast::string_view beast_view(std::string_view text) {
  return {text.data(), text.size()};
}

bool same_name(std::string_view left, std::string_view right) {
  return boost::beast::iequals(beast_view(left), beast_view(right));
}

bool concerns_one_connection(const fields& from, std::string_view name) {
  constexpr std::array names{std::string_view("Connection"),
                             std::string_view("Keep-Alive"),
                             std::string_view("Transfer-Encoding"),
                             std::string_view("Upgrade"),
                             std::string_view("Proxy-Connection"),
                             std::string_view("TE"),
                             std::string_view("Trailer"),
                             std::string_view("Content-Length"),
                             std::string_view("Expect"),
                             std::string_view("Proxy-Authorization"),
                             std::string_view("Proxy-Authenticate")};
  if (std::ranges::any_of(names, [&](auto each) { return same_name(each, name); })) return true;
  const auto connection = from.find(boost::beast::http::field::connection);
  return connection != from.end() &&
         boost::beast::http::token_list(connection->value()).exists(beast_view(name));
}

bool is_own(std::string_view name) {
  return name.size() > own_prefix.size() &&
         same_name(name.substr(0, own_prefix.size()), own_prefix);
}

template <class Keep>
std::string lines_of(const fields& from, Keep keep) {
  std::string headers;
  for (const auto& each : from) {
    const auto name = view(each.name_string());
    if (is_own(name) || concerns_one_connection(from, name) || !keep(name)) continue;
    headers.append(name).append(": ").append(view(each.value())).append("\r\n");
  }
  return headers;
}

std::string_view word(const std::string& text) {
  return text.empty() ? absent : std::string_view(text);
}
std::string from_word(const std::string& text) {
  return text == absent ? std::string{} : text;
}

std::istringstream words_of(const fields& from, std::string_view name) {
  const auto found = from.find(beast_view(name));
  return std::istringstream(found == from.end() ? std::string{}
                                                : std::string(view(found->value())));
}

}  // namespace

std::string_view to_string(refusal why) {
  return refusal_names.at(static_cast<std::size_t>(why));
}
std::string_view to_string(attempt_result result) {
  return result_names.at(static_cast<std::size_t>(result));
}
refusal refusal_from(std::string_view name) {
  const auto found = std::ranges::find(refusal_names, name);
  return found == refusal_names.end() ? refusal::none
                                      : static_cast<refusal>(found - refusal_names.begin());
}

attempt_outcome refused(refusal why, std::chrono::milliseconds retry_after, std::string detail) {
  return {.result = attempt_result::not_run,
          .why = why,
          .retry_after = retry_after,
          .detail = std::move(detail)};
}

routing::attempt_health health_of(const attempt_outcome& outcome) {
  using routing::attempt_health;
  constexpr unsigned first_server_error = 500;
  switch (outcome.result) {
    case attempt_result::answered:
      return outcome.status >= first_server_error ? attempt_health::failed : attempt_health::good;
    case attempt_result::may_have_run:
      return attempt_health::failed;
    case attempt_result::unreachable:
      return attempt_health::unreachable;
    case attempt_result::not_run:
      return outcome.why == refusal::no_upstream ? attempt_health::unreachable
             : outcome.why == refusal::shed      ? attempt_health::failed
                                                 : attempt_health::refused;
    case attempt_result::cancelled:
      break;
  }
  return attempt_health::refused;
}

std::shared_ptr<body_pipe> body_of(const server_request& request) {
  namespace http = boost::beast::http;
  const bool announced = request.head.find(http::field::content_length) != request.head.end() ||
                         request.head.find(http::field::transfer_encoding) != request.head.end();
  return announced ? request.body : nullptr;
}

std::string headers_for_upstream(const fields& from) {
  return lines_of(from, [](std::string_view name) { return !platform::is_set_by_agent(name); });
}

std::string headers_for_caller(const fields& from) {
  return lines_of(from, [](std::string_view) { return true; });
}

std::string forwarding_header(const attempt& request, time_point now) {
  using std::chrono::milliseconds;
  const auto ms = [](duration span) {
    return std::chrono::duration_cast<milliseconds>(span).count();
  };
  std::ostringstream out;
  out << hop_name << ": " << ms(request.deadline - now) << ' ' << ms(request.target_time - now)
      << ' ' << ms(request.latency_target) << ' ' << request.rank << ' '
      << (request.idempotent ? 1 : 0) << ' ' << (request.retry ? 1 : 0) << ' '
      << word(request.service) << ' ' << word(request.caller_service) << ' '
      << (request.key ? std::to_string(*request.key) : std::string(absent)) << ' '
      << request.state_version << ' ' << request.map_revision << "\r\n";
  return out.str();
}

bool read_forwarding_header(const fields& from, time_point now, attempt& request) {
  using std::chrono::milliseconds;
  auto in = words_of(from, hop_name);
  std::int64_t left = 0;
  std::int64_t target_left = 0;
  std::int64_t target = 0;
  int idempotent = 0;
  int retry = 0;
  std::string key;
  in >> left >> target_left >> target >> request.rank >> idempotent >> retry >> request.service >>
      request.caller_service >> key >> request.state_version >> request.map_revision;
  if (!in || left < 0) return false;
  request.deadline = now + milliseconds{left};
  request.target_time = now + milliseconds{target_left};
  request.latency_target = milliseconds{target};
  request.idempotent = idempotent == 1;
  request.retry = retry == 1;
  request.service = from_word(request.service);
  request.caller_service = from_word(request.caller_service);
  request.key.reset();
  if (key != absent) {
    std::istringstream number(key);
    claims::shard_key value = 0;
    if (!(number >> value) || value > claims::last_shard_key) return false;
    request.key = value;
  }
  return true;
}

std::string load_header(const routing::load_report& load) {
  std::ostringstream out;
  out << load_name << ": " << load.running << ' ' << load.waiting << ' ' << load.slots << ' '
      << std::chrono::duration_cast<std::chrono::microseconds>(load.service_time).count() << ' '
      << std::chrono::duration_cast<std::chrono::microseconds>(load.ran_for).count() << "\r\n";
  return out.str();
}

std::string state_version_header(std::uint64_t state_version) {
  std::ostringstream out;
  out << version_name << ": " << state_version << "\r\n";
  return out.str();
}

std::string refusal_header(const attempt_outcome& outcome) {
  std::ostringstream out;
  out << refusal_name << ": " << to_string(outcome.result) << ' ' << to_string(outcome.why) << ' '
      << outcome.retry_after.count() << ' ' << (outcome.reached_upstream ? 1 : 0);
  if (outcome.owner) {
    const auto& claim = outcome.owner->claim;
    out << ' ' << claim.holder.agent << ' ' << claim.keys.first << ' ' << claim.keys.last << ' '
        << claim.fence << ' ' << outcome.owner->revision;
  }
  out << "\r\n";
  if (!outcome.detail.empty()) out << detail_name << ": " << outcome.detail << "\r\n";
  return out.str();
}

peer_answer_headers read_peer_answer_headers(const fields& from) {
  peer_answer_headers statement;
  auto load = words_of(from, load_name);
  routing::load_report stated;
  std::int64_t service_us = 0;
  std::int64_t ran_us = 0;
  if (load >> stated.running >> stated.waiting >> stated.slots >> service_us >> ran_us) {
    stated.service_time = std::chrono::microseconds{service_us};
    stated.ran_for = std::chrono::microseconds{ran_us};
    statement.load = stated;
  }
  auto versions = words_of(from, version_name);
  versions >> statement.state_version;
  auto refusal_words = words_of(from, refusal_name);
  std::string result;
  std::string why;
  std::int64_t retry_ms = 0;
  int reached = 0;
  if (!(refusal_words >> result >> why >> retry_ms >> reached)) return statement;
  attempt_outcome outcome{.result = attempt_result::may_have_run,
                          .why = refusal_from(why),
                          .reached_upstream = reached == 1,
                          .retry_after = std::chrono::milliseconds{retry_ms}};
  if (result == to_string(attempt_result::not_run)) outcome.result = attempt_result::not_run;
  owner_hint hint;
  if (refusal_words >> hint.claim.holder.agent >> hint.claim.keys.first >> hint.claim.keys.last >>
      hint.claim.fence >> hint.revision)
    outcome.owner = hint;
  const auto detail = from.find(beast_view(detail_name));
  if (detail != from.end()) outcome.detail = std::string(detail->value());
  statement.refused = std::move(outcome);
  return statement;
}

}  // namespace masticshunt::fleet
