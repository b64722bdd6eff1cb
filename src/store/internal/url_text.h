/// @file
/// Percent-encoding, query parameters and entity tags of the store's HTTP interface.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticshunt::store {

/// Returns `text` with every byte but letters, digits and "-_.~/" percent-encoded.
std::string percent_encode(std::string_view text);

/// Returns the decoded form of `text`, or nothing if an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text);

/// Returns the decoded query parameter `name` of `target`, or nothing.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);

/// Returns the decimal number that `text` consists of, or nothing.
std::optional<std::uint64_t> parse_decimal(std::string_view text);

/// Returns the version inside an entity tag such as "17" with its quotes, or nothing.
std::optional<std::uint64_t> version_from_etag(std::string_view tag);

/// Returns the entity tag of `version`.
std::string etag_of(std::uint64_t version);

}  // namespace masticshunt::store
