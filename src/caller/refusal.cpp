#include "masticshunt/caller/refusal.h"

#include <nlohmann/json.hpp>

namespace masticshunt::caller {

namespace {

namespace http = boost::beast::http;
using requests::outcome;
using requests::refusal_reason;

http::status status_of_not_run(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::bad_request:
      return http::status::bad_request;
    case refusal_reason::unknown_service:
      return http::status::not_found;
    case refusal_reason::already_running:
      return http::status::conflict;
    case refusal_reason::overloaded:
      return http::status::too_many_requests;
    case refusal_reason::schema_unsupported:
      return http::status::not_implemented;
    case refusal_reason::deadline_passed:
      return http::status::gateway_timeout;
    default:
      return http::status::service_unavailable;
  }
}

http::status status_of(const refusal& details) {
  if (details.outcome == outcome::not_run) return status_of_not_run(details.reason);
  if (details.reason == refusal_reason::repeat_unknown) return http::status::conflict;
  if (details.reason == refusal_reason::deadline_passed) return http::status::gateway_timeout;
  return http::status::bad_gateway;
}

constexpr auto one_second = std::chrono::milliseconds{1'000};

}  // namespace

std::string_view remedy_of(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::no_owner:
    case refusal_reason::not_owner:
      return "send it again; ownership is changing";
    case refusal_reason::overloaded:
      return "send it again after Retry-After, or with a more urgent rank if it is one";
    case refusal_reason::deadline_passed:
      return "allow a longer deadline";
    case refusal_reason::draining:
      return "send it to another agent";
    case refusal_reason::upstream_shed:
    case refusal_reason::fenced:
      return "send it again after Retry-After";
    case refusal_reason::repeat_unknown:
      return "look up whether it ran before you send it under a new identity";
    case refusal_reason::already_running:
      return "wait for the answer of the first attempt";
    case refusal_reason::bad_request:
      return "correct the request as the interface page says";
    case refusal_reason::unknown_service:
      return "check the service's name, or ask an operator to apply its record";
    case refusal_reason::schema_unsupported:
      return "ask an operator to update this agent";
    case refusal_reason::none:
      return "look up whether it ran before you repeat it";
  }
  return "";
}

http::response<http::string_body> to_response(const refusal& details, const std::string& request_id,
                                              bool keep_alive) {
  http::response<http::string_body> response{status_of(details), 11};
  response.set(http::field::content_type, "application/json");
  response.set("Masticshunt-Outcome", std::string(to_string(details.outcome)));
  response.set("Masticshunt-Reason", std::string(to_string(details.reason)));
  if (!request_id.empty()) response.set("X-Request-Id", request_id);
  if (!details.owner.empty()) response.set("Masticshunt-Owner", details.owner);
  nlohmann::json body = {
      {"outcome", to_string(details.outcome)},
      {"reason", to_string(details.reason)},
      {"message", details.message},
      {"remedy", details.remedy.empty() ? std::string(remedy_of(details.reason)) : details.remedy}};
  if (details.retry_after.count() > 0) {
    response.set(http::field::retry_after,
                 std::to_string((details.retry_after + one_second - std::chrono::milliseconds{1}) /
                                one_second));
    body["retry_after_ms"] = details.retry_after.count();
  }
  if (!details.owner.empty()) body["owner"] = details.owner;
  response.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.keep_alive(keep_alive);
  response.prepare_payload();
  return response;
}

}  // namespace masticshunt::caller
