/// @file
/// The HTTP response to a request that was not served.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::caller {

/// Why a request was not served, as reported to the caller.
struct refusal {
  requests::outcome outcome = requests::outcome::not_run;
  requests::refusal_reason reason = requests::refusal_reason::none;
  std::string message;
  std::string remedy;
  std::chrono::milliseconds retry_after{0};  ///< Zero: no Retry-After.
  endpoint owner;                            ///< The owner's caller endpoint; empty if unknown.
};

/// Returns the HTTP response for `details`: status, outcome fields and the JSON body described in
/// INTERFACES.md.
boost::beast::http::response<boost::beast::http::string_body> to_response(
    const refusal& details, const std::string& request_id, bool keep_alive);

/// Returns the remedy that callers are given for a refusal with `reason`.
std::string_view remedy_of(requests::refusal_reason reason);

}  // namespace masticshunt::caller
