#include "fleet/internal/attempt.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <sstream>

#include "masticshunt/support/units.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace {

constexpr std::string_view forwarding_name = "Masticshunt-Hop";
constexpr std::string_view load_name = "Masticshunt-Load";
constexpr std::string_view slowdown_name = "Masticshunt-Slowdown";
constexpr std::string_view refusal_name = "Masticshunt-Refused";
constexpr std::string_view detail_name = "Masticshunt-Detail";
constexpr std::string_view version_name = "Masticshunt-State";
constexpr std::string_view own_prefix = "Masticshunt-";
constexpr std::string_view absent = "-";

constexpr std::array<std::string_view, 9> refusal_names{
    "none",          "overloaded", "leaving",   "no_upstream", "not_owner",
    "owner_pending", "shed",       "evacuated", "region"};
constexpr std::array<std::string_view, 5> result_names{"answered", "not_run", "may_have_run",
                                                       "unreachable", "cancelled"};

std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}
boost::beast::string_view beast_view(std::string_view text) {
  return {text.data(), text.size()};
}

bool same_name(std::string_view name, std::string_view other) {
  return boost::beast::iequals(beast_view(name), beast_view(other));
}

bool is_hop_by_hop(const fields& from, std::string_view name) {
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

bool is_own_header(std::string_view name) {
  return name.size() > own_prefix.size() &&
         same_name(name.substr(0, own_prefix.size()), own_prefix);
}

template <class Keep>
std::string headers_of(const fields& from, Keep keep) {
  std::string headers;
  for (const auto& each : from) {
    const auto name = view(each.name_string());
    if (is_own_header(name) || is_hop_by_hop(from, name) || !keep(name)) continue;
    headers.append(name).append(": ").append(view(each.value())).append("\r\n");
  }
  return headers;
}

std::string_view token_or_absent(const std::string& text) {
  return text.empty() ? absent : std::string_view(text);
}
std::string value_of_token(const std::string& text) {
  return text == absent ? std::string{} : text;
}

std::string number_or_absent(const std::optional<double>& number) {
  return number ? std::to_string(*number) : std::string(absent);
}

/// Reads a limit, which agents of earlier versions do not send.
std::optional<double> limit_in(std::istringstream& in) {
  std::string token;
  if (!(in >> token)) return std::nullopt;
  const auto limit = support::number_from(token);
  return limit && *limit >= 0 ? limit : std::nullopt;
}

std::istringstream tokens_of(const fields& from, std::string_view name) {
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
      if (outcome.why == refusal::shed) return attempt_health::failed;
      if (outcome.why != refusal::no_upstream) return attempt_health::refused;
      return outcome.retry_after.count() > 0 ? attempt_health::starting
                                             : attempt_health::unreachable;
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
  return headers_of(from, [](std::string_view name) { return !platform::is_set_by_agent(name); });
}

std::string headers_for_caller(const fields& from) {
  return headers_of(from, [](std::string_view) { return true; });
}

std::string forwarding_header(const attempt& request, time_point now) {
  using std::chrono::milliseconds;
  const auto ms = [](duration span) {
    return std::chrono::duration_cast<milliseconds>(span).count();
  };
  std::ostringstream out;
  out << forwarding_name << ": " << ms(request.deadline - now) << ' '
      << ms(request.target_time - now) << ' ' << ms(request.latency_target) << ' ' << request.rank
      << ' ' << (request.idempotent ? 1 : 0) << ' ' << (request.retry ? 1 : 0) << ' '
      << token_or_absent(request.service) << ' ' << token_or_absent(request.caller_service) << ' '
      << (request.key ? std::to_string(*request.key) : std::string(absent)) << ' '
      << request.state_version << ' ' << request.map_revision << ' '
      << number_or_absent(request.request_limit) << ' ' << request.evacuations_changed_at << "\r\n";
  return out.str();
}

bool read_forwarding_header(const fields& from, time_point now, attempt& request) {
  using std::chrono::milliseconds;
  auto in = tokens_of(from, forwarding_name);
  std::int64_t remaining = 0;
  std::int64_t target_remaining = 0;
  std::int64_t target = 0;
  int idempotent = 0;
  int retry = 0;
  std::string key;
  in >> remaining >> target_remaining >> target >> request.rank >> idempotent >> retry >>
      request.service >> request.caller_service >> key >> request.state_version >>
      request.map_revision;
  if (!in || remaining < 0) return false;
  request.request_limit = limit_in(in);
  in >> request.evacuations_changed_at;  // Agents of earlier versions do not send it.
  request.deadline = now + milliseconds{remaining};
  request.target_time = now + milliseconds{target_remaining};
  request.latency_target = milliseconds{target};
  request.idempotent = idempotent == 1;
  request.retry = retry == 1;
  request.service = value_of_token(request.service);
  request.caller_service = value_of_token(request.caller_service);
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
      << std::chrono::duration_cast<std::chrono::microseconds>(load.ran_for).count() << ' '
      << number_or_absent(load.request_limit) << ' '
      << std::chrono::duration_cast<std::chrono::microseconds>(load.limit_wait).count();
  if (load.leaving) out << ' ' << load.leaving->start_ms << ' ' << load.leaving->id;
  out << "\r\n";
  if (load.slowdown != 1) out << slowdown_name << ": " << load.slowdown << "\r\n";
  return out.str();
}

std::string state_version_header(std::uint64_t state_version,
                                 std::uint64_t evacuations_changed_at) {
  std::ostringstream out;
  out << version_name << ": " << state_version << ' ' << evacuations_changed_at << "\r\n";
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
  peer_answer_headers answer;
  auto load = tokens_of(from, load_name);
  routing::load_report report;
  std::int64_t service_us = 0;
  std::int64_t ran_us = 0;
  if (load >> report.running >> report.waiting >> report.slots >> service_us >> ran_us) {
    report.service_time = std::chrono::microseconds{service_us};
    report.ran_for = std::chrono::microseconds{ran_us};
    report.request_limit = limit_in(load);
    std::int64_t limit_wait_us = 0;
    if (load >> limit_wait_us) report.limit_wait = std::chrono::microseconds{limit_wait_us};
    routing::upstream_incarnation leaving;
    if (load >> leaving.start_ms >> leaving.id) report.leaving = std::move(leaving);
    double slowdown = 1;
    if (tokens_of(from, slowdown_name) >> slowdown && slowdown > 0) report.slowdown = slowdown;
    answer.load = report;
  }
  auto versions = tokens_of(from, version_name);
  versions >> answer.state_version >> answer.evacuations_changed_at;
  auto refusal_tokens = tokens_of(from, refusal_name);
  std::string result;
  std::string why;
  std::int64_t retry_after_ms = 0;
  int reached = 0;
  if (!(refusal_tokens >> result >> why >> retry_after_ms >> reached)) return answer;
  attempt_outcome outcome{.result = attempt_result::may_have_run,
                          .why = refusal_from(why),
                          .reached_upstream = reached == 1,
                          .retry_after = std::chrono::milliseconds{retry_after_ms}};
  if (result == to_string(attempt_result::not_run)) outcome.result = attempt_result::not_run;
  owner_hint hint;
  if (refusal_tokens >> hint.claim.holder.agent >> hint.claim.keys.first >> hint.claim.keys.last >>
      hint.claim.fence >> hint.revision)
    outcome.owner = hint;
  const auto detail = from.find(beast_view(detail_name));
  if (detail != from.end()) outcome.detail = std::string(detail->value());
  answer.refused = std::move(outcome);
  return answer;
}

}  // namespace masticshunt::fleet
