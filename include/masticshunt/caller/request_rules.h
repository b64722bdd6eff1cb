/// @file
/// The rules by which a caller's or a forwarding agent's HTTP header becomes a typed request.
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

/// Who may have sent a header; decides which of our own fields it may carry.
enum class request_origin {
  from_caller,  ///< The caller port: fields that only agents set are refused.
  from_agent    ///< The forward port.
};

/// A request as its header states it.
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
  std::optional<fence_token> routed_fence;  ///< Of the owner that the entry agent routed by.
  bool chunked = false;
  bool forwarded = false;
};

/// The longest key, identity, request identity, rank or caller name that is accepted.
inline constexpr std::size_t name_bytes_max = 512;
/// The longest deadline that is accepted.
inline constexpr std::chrono::milliseconds deadline_max = std::chrono::hours{24};

/// Returns the typed request of `header`, or nothing with `reason` (kind `bad_input`) filled.
std::optional<caller_request> read_request(const request_header& header, request_origin from,
                                           failure& reason);

/// Returns `text` with its %XX sequences decoded, or nothing if one is malformed.
std::optional<std::string> percent_decoded(std::string_view text);

/// Returns true if a field named `name` belongs to one connection and is never passed on.
bool is_hop_by_hop(std::string_view name);

}  // namespace masticshunt::caller
