#include "masticshunt/caller/request_rules.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace masticshunt::caller {

namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr std::string_view reserved_prefix = "masticshunt-";
constexpr std::string_view target_prefix = "/s/";

constexpr std::array<std::string_view, 4> caller_fields = {
    "Masticshunt-Rank", "Masticshunt-Deadline-Ms", "Masticshunt-Attempt", "Masticshunt-Caller"};
constexpr std::array<std::string_view, 3> agent_fields = {
    "Masticshunt-Forwarded", "Masticshunt-Attempt-Number", "Masticshunt-Routed-Fence"};
constexpr std::array<std::string_view, 4> single_fields = {"Idempotency-Key", "X-Request-Id",
                                                           "Content-Length", "Transfer-Encoding"};
constexpr std::array<std::string_view, 9> hop_by_hop_fields = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade",    "Proxy-Connection"};

std::string_view as_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

template <std::size_t Count>
bool is_one_of(std::string_view name, const std::array<std::string_view, Count>& names) {
  return std::ranges::any_of(names, [&](std::string_view each) { return iequals(name, each); });
}

failure bad_input(std::string message, std::string remedy) {
  return {failure_kind::bad_input, std::move(message), std::move(remedy)};
}

bool has_reserved_prefix(std::string_view name) {
  return name.size() >= reserved_prefix.size() &&
         iequals(name.substr(0, reserved_prefix.size()), reserved_prefix);
}

/// Returns the value of the field `name`, or nothing if it is absent.
std::optional<std::string_view> field_value(const request_header& header, std::string_view name) {
  const auto found = header.find(boost::beast::string_view(name.data(), name.size()));
  if (found == header.end()) return std::nullopt;
  return as_view(found->value());
}

bool check_names(const request_header& header, request_origin origin, failure& reason) {
  for (const auto& field : header) {
    const auto name = as_view(field.name_string());
    if (has_reserved_prefix(name)) {
      const bool allowed = is_one_of(name, caller_fields) ||
                           (origin == request_origin::from_agent && is_one_of(name, agent_fields));
      if (!allowed) {
        reason =
            bad_input("the field " + std::string(name) + " is set by agents only",
                      "leave out every Masticshunt- field that the interface page does not list");
        return false;
      }
    }
    const bool must_be_single = has_reserved_prefix(name) || is_one_of(name, single_fields);
    if (must_be_single && header.count(field.name_string()) > 1) {
      reason =
          bad_input("the field " + std::string(name) + " is sent more than once", "send it once");
      return false;
    }
  }
  if (header.count(http::field::content_length) > 0 &&
      header.count(http::field::transfer_encoding) > 0) {
    reason = bad_input("Content-Length and Transfer-Encoding are both sent", "send one of them");
    return false;
  }
  if (header.count(http::field::upgrade) > 0) {
    reason = bad_input("the request asks for a protocol upgrade", "use plain HTTP/1.1");
    return false;
  }
  return true;
}

bool read_target(std::string_view target, caller_request& request, failure& reason) {
  const std::string remedy = "use /s/<service>/<key>, both percent-encoded and not empty";
  if (!target.starts_with(target_prefix)) {
    reason = bad_input("the path does not start with /s/", remedy);
    return false;
  }
  target.remove_prefix(target_prefix.size());
  const auto path = target.substr(0, target.find('?'));
  const auto service_end = path.find('/');
  if (service_end == std::string_view::npos) {
    reason = bad_input("the path names no key", remedy);
    return false;
  }
  const auto rest = path.substr(service_end + 1);
  auto service = percent_decoded(path.substr(0, service_end));
  auto key = percent_decoded(rest.substr(0, rest.find('/')));
  if (!service || !key || service->empty() || key->empty() || service->size() > name_bytes_max ||
      key->size() > name_bytes_max) {
    reason = bad_input("the service or key in the path is empty, malformed or longer than " +
                           std::to_string(name_bytes_max) + " bytes",
                       remedy);
    return false;
  }
  request.service = std::move(*service);
  request.key = std::move(*key);
  request.hash = hash_of_key(request.key);
  request.upstream_target = "/" + std::string(target);
  return true;
}

bool read_text(const request_header& header, std::string_view name, std::string& result,
               failure& reason) {
  const auto value = field_value(header, name);
  if (!value) return true;
  if (value->empty() || value->size() > name_bytes_max) {
    reason = bad_input("the field " + std::string(name) + " is empty or longer than " +
                           std::to_string(name_bytes_max) + " bytes",
                       "shorten it or leave it out");
    return false;
  }
  result = std::string(*value);
  return true;
}

template <class Number>
bool read_number(const request_header& header, std::string_view name, Number minimum,
                 Number maximum, std::optional<Number>& result, failure& reason) {
  const auto value = field_value(header, name);
  if (!value) return true;
  Number number{};
  const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
  if (error != std::errc{} || end != value->data() + value->size() || number < minimum ||
      number > maximum) {
    reason = bad_input("the field " + std::string(name) + " is not a whole number from " +
                           std::to_string(minimum) + " to " + std::to_string(maximum),
                       "correct it or leave it out");
    return false;
  }
  result = number;
  return true;
}

bool read_routed_fence(const request_header& header, caller_request& request, failure& reason) {
  const auto value = field_value(header, "Masticshunt-Routed-Fence");
  if (!value) return true;
  request.routed_fence = fence_from_text(*value);
  if (request.routed_fence) return true;
  reason = bad_input("the field Masticshunt-Routed-Fence is not <epoch>.<sequence>",
                     "update the agent that forwarded the request");
  return false;
}

bool is_idempotent(http::verb method) {
  return method != http::verb::post && method != http::verb::patch;
}

bool is_accepted(http::verb method) {
  switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::options:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::post:
    case http::verb::patch:
      return true;
    default:
      return false;
  }
}

bool read_fields(const request_header& header, caller_request& request, failure& reason) {
  std::optional<std::int64_t> deadline_ms;
  const bool valid = read_text(header, "Masticshunt-Rank", request.rank, reason) &&
                     read_text(header, "Masticshunt-Caller", request.caller, reason) &&
                     read_text(header, "Idempotency-Key", request.idempotency_key, reason) &&
                     read_text(header, "X-Request-Id", request.request_id, reason) &&
                     read_number<std::int64_t>(header, "Masticshunt-Deadline-Ms", 1,
                                               deadline_max.count(), deadline_ms, reason) &&
                     read_number<std::uint32_t>(header, "Masticshunt-Attempt", 1, 1'000'000,
                                                request.declared_attempt, reason) &&
                     read_number<std::uint64_t>(header, "Content-Length", 0, UINT64_MAX,
                                                request.content_length, reason);
  if (!valid) return false;
  if (deadline_ms) request.deadline = std::chrono::milliseconds{*deadline_ms};
  return true;
}

}  // namespace

std::optional<std::string> percent_decoded(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%') {
      decoded.push_back(text[index]);
      continue;
    }
    unsigned value = 0;
    if (index + 2 >= text.size()) return std::nullopt;
    const auto [end, error] =
        std::from_chars(text.data() + index + 1, text.data() + index + 3, value, 16);
    if (error != std::errc{} || end != text.data() + index + 3) return std::nullopt;
    decoded.push_back(static_cast<char>(value));
    index += 2;
  }
  return decoded;
}

bool is_hop_by_hop(std::string_view name) {
  return is_one_of(name, hop_by_hop_fields);
}

std::optional<caller_request> read_request(const request_header& header, request_origin origin,
                                           failure& reason) {
  caller_request request;
  if (!is_accepted(header.method())) {
    reason =
        bad_input("the method " + std::string(as_view(header.method_string())) + " is not served",
                  "use GET, HEAD, OPTIONS, PUT, DELETE, POST or PATCH");
    return std::nullopt;
  }
  if (!check_names(header, origin, reason) ||
      !read_target(as_view(header.target()), request, reason) ||
      !read_fields(header, request, reason) || !read_routed_fence(header, request, reason)) {
    return std::nullopt;
  }
  request.idempotent = is_idempotent(header.method());
  if (!request.idempotent && request.idempotency_key.empty()) {
    reason = bad_input("a POST or PATCH carries no Idempotency-Key",
                       "send an Idempotency-Key of your own, the same one on every repeat");
    return std::nullopt;
  }
  request.chunked = http::token_list{header[http::field::transfer_encoding]}.exists("chunked");
  request.forwarded = header.count("Masticshunt-Forwarded") > 0;
  return request;
}

}  // namespace masticshunt::caller
