/// @file
/// Parses and validates the HTTP header of a request from a caller or a forwarding agent.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"

namespace masticshunt::caller {

using request_header = boost::beast::http::request_header<boost::beast::http::fields>;

/// The listener that received a header; determines which Masticshunt- fields it may contain.
enum class request_origin {
  from_caller,  ///< The caller port: requests with fields reserved for agents are refused.
  from_agent    ///< The forward port.
};

/// A request as described by its header.
struct caller_request {
  std::string service;
  std::string key;
  key_hash hash = 0;
  std::string upstream_target;  ///< Path and query for the upstream: "/<service>/<key>...".
  std::string rank;             ///< Empty: the service's default rank.
  std::string idempotency_key;  ///< Idempotency-Key; empty if none.
  std::string request_id;       ///< X-Request-Id; empty if none.
  std::string caller;           ///< Masticshunt-Caller; empty if none.
  bool idempotent = true;
  std::optional<std::uint32_t> declared_attempt;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<std::uint64_t> content_length;
  std::optional<fence_token> routed_fence;  ///< The token that the ingress agent routed by.
  bool chunked = false;
  bool forwarded = false;
};

/// The maximum length of a key, idempotency key, request id, rank or caller name.
inline constexpr std::size_t name_bytes_max = 512;
/// The maximum deadline.
inline constexpr std::chrono::milliseconds deadline_max = std::chrono::hours{24};

/// Parses `header`. Returns nothing and sets `reason` (kind `bad_input`) if it breaks a rule.
std::optional<caller_request> read_request(const request_header& header, request_origin origin,
                                           failure& reason);

/// Returns `text` with its %XX sequences decoded, or nothing if a sequence is malformed.
std::optional<std::string> percent_decoded(std::string_view text);

/// Returns true if `name` is a hop-by-hop field, which is never forwarded.
bool is_hop_by_hop(std::string_view name);

}  // namespace masticshunt::caller
