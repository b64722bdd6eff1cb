/// @file
/// Records of routing intent: services, key ranges, request ranks and drain orders.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"

namespace masticshunt::configuration {

/// What becomes of a range whose owner is cut off from everybody who could replace it.
enum class isolation_policy {
  stay,  ///< The cut-off owner goes on; the range moves only on evidence that it stopped.
  move   ///< The owner stops when it is cut off, so that the range can move without evidence.
};

/// A service: servers of one kind that own keys exclusively.
struct service_record {
  std::string name;
  std::string default_rank;
  std::uint32_t groups = 1;  ///< Groups of ranges, each with its own coordinator.
  std::uint32_t ranges_per_member = 16;
  isolation_policy isolation = isolation_policy::stay;
  std::chrono::milliseconds repeat_window{60'000};  ///< How late a caller may repeat a request.
  std::chrono::milliseconds default_deadline{10'000};

  bool operator==(const service_record&) const = default;
};

/// A rank of requests of one service.
struct rank_record {
  std::string service;
  std::string name;
  std::uint32_t order = 0;  ///< 0 is served first.
  double floor = 0;         ///< Share of capacity kept for it, 0 to 1; all floors sum to <= 1.
  double worth = 1;         ///< Value of one request served within its target.
  std::chrono::milliseconds target{1'000};  ///< Latency wanted for 99 of 100 requests.

  bool operator==(const rank_record&) const = default;
};

/// A stretch of a service's key space with a wish about its placement.
struct key_range_record {
  std::string service;
  std::string name;
  hash_range range;
  std::string region;     ///< Preferred region of the owner; empty for none.
  bool isolated = false;  ///< Keep the range on an owner of its own where there are enough.

  bool operator==(const key_range_record&) const = default;
};

/// An order to take an agent, or all agents of a failure domain, out of service.
struct drain_record {
  std::string name;
  std::string agent;           ///< Empty if a failure domain is named.
  std::string failure_domain;  ///< Empty if an agent is named.

  bool operator==(const drain_record&) const = default;
};

using record_body = std::variant<service_record, rank_record, key_range_record, drain_record>;

/// The newest schema version that this build reads and writes.
inline constexpr std::uint32_t schema_version_max = 2;

/// A record with its place in the store: "config/<kind>/<name>".
struct record {
  std::uint32_t schema_version = 1;
  record_body body;

  bool operator==(const record&) const = default;
};

/// Returns the store name of `what`, for example "config/rank/schedule-viewer.urgent".
std::string object_name(const record& what);

/// Returns the stored form of `what` (JSON with its schema version).
std::string to_value(const record& what);

/// Returns the record stored under `object_name`, or nothing with `reason` filled
/// (kind `unsupported` for a schema version newer than this build reads).
std::optional<record> from_value(std::string_view object_name, std::string_view value,
                                 failure& reason);

}  // namespace masticshunt::configuration
