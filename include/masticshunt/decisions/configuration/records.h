/// @file
/// Records of routing intent: services, key ranges, request ranks and drain orders.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"

namespace masticshunt::configuration {

/// Handling of a range whose owner is partitioned from all agents that could replace it.
enum class isolation_policy {
  stay,  ///< The isolated owner keeps serving; the range moves only on evidence that it stopped.
  move   ///< The isolated owner stops, so that the range can move without evidence.
};

/// A service: upstreams of one kind with exclusive ownership of keys.
struct service_record {
  std::string name;
  std::string default_rank;
  std::uint32_t groups = 1;  ///< Groups of ranges, each with its own coordinator.
  std::uint32_t ranges_per_member = 16;
  isolation_policy isolation = isolation_policy::stay;
  /// How long after the first attempt a caller may retry a request.
  std::chrono::milliseconds repeat_window{60'000};
  std::chrono::milliseconds default_deadline{10'000};
  /// Home regions, from schema 2 on: group g has its coordinators and owners in the region at index
  /// g modulo the length of the list while that region has members. Empty for no home regions.
  std::vector<std::string> regions{};

  bool operator==(const service_record&) const = default;
};

/// A rank (priority class) of requests of one service.
struct rank_record {
  std::string service;
  std::string name;
  std::uint32_t order = 0;  ///< 0 is served first.
  double floor = 0;         ///< Reserved share of capacity, 0 to 1; all floors sum to <= 1.
  double worth = 1;         ///< Value of a request served within its target.
  std::chrono::milliseconds target{1'000};  ///< Latency target for 99 of 100 requests.

  bool operator==(const rank_record&) const = default;
};

/// A range of a service's key space with a placement preference.
struct key_range_record {
  std::string service;
  std::string name;
  hash_range range;
  std::string region;     ///< Preferred region of the owner; empty for none.
  bool isolated = false;  ///< Give the range an owner of its own if there are enough members.

  bool operator==(const key_range_record&) const = default;
};

/// An order to drain an agent, or all agents of a failure domain.
struct drain_record {
  std::string name;
  std::string agent;           ///< Empty if a failure domain is given.
  std::string failure_domain;  ///< Empty if an agent is given.

  bool operator==(const drain_record&) const = default;
};

using record_body = std::variant<service_record, rank_record, key_range_record, drain_record>;

/// The newest schema version that this build reads and writes.
inline constexpr std::uint32_t schema_version_max = 2;

/// A record, stored under "config/<kind>/<name>".
struct record {
  std::uint32_t schema_version = 1;
  record_body body;

  bool operator==(const record&) const = default;
};

/// The kinds of records, in the order of `record_body`.
enum class record_kind { service, rank, key_range, drain };

/// Returns the name of `kind` in object names and on the command line, for example "key-range".
std::string_view to_string(record_kind kind);

/// Returns the kind named `name`, or nothing.
std::optional<record_kind> kind_from(std::string_view name);

/// Returns the kind of `config_record`.
record_kind kind_of(const record& config_record);

/// Returns the name of `config_record` within its kind, for example "schedule-viewer.urgent".
std::string name_of(const record& config_record);

/// Returns the service of `config_record`; empty for a drain order.
std::string service_of(const record& config_record);

/// Type and notation of a field's value.
enum class field_type { text, count, share, number, flag, time_span, isolation, hashes, text_list };

/// One field of a kind of record, for programs that read or print records field by field.
struct field_description {
  std::string_view name;
  field_type type = field_type::text;
  std::uint32_t since_schema = 1;
};

/// Returns the fields of `kind` in `schema_version`, without those contained in its name.
std::vector<field_description> fields_of(record_kind kind, std::uint32_t schema_version);

/// Origin of a stored record. It does not affect the record's meaning.
struct write_stamp {
  std::string write_id;   ///< Unique to the write, so that a lost response can be resolved.
  std::string edited_by;  ///< The operator, for conflict messages.
};

/// The reason for rejecting a record, and the invalid field (empty if it is none in particular).
struct record_fault {
  failure reason;
  std::string field;
};

/// Returns the object name of a record, for example "config/rank/schedule-viewer.urgent".
std::string object_name(record_kind kind, std::string_view name);

/// Returns the object name of `config_record`.
std::string object_name(const record& config_record);

/// Returns the stored form of `config_record`: JSON with its schema version and all fields of that
/// schema version, so that a later change of a default does not change stored records. Fields of
/// newer schema versions are omitted.
std::string to_value(const record& config_record, const write_stamp& stamp = {});

/// Returns the record stored under `object_name`, or nothing with `reason` filled
/// (kind `unsupported` for a schema version newer than this build supports). Unknown, missing and
/// out-of-range fields are rejected; no value is interpreted by the rules of an older schema.
std::optional<record> from_value(std::string_view object_name, std::string_view value,
                                 failure& reason);

/// Does the same, and also reports the invalid field.
std::optional<record> from_value(std::string_view object_name, std::string_view value,
                                 record_fault& fault);

/// Returns the stamp of a stored value; its members are empty if absent in the value.
write_stamp stamp_of(std::string_view value);

/// Returns true if `name` is a valid record name: 1 to 64 of a-z, A-Z, 0-9, '-' and '_'.
bool is_record_name(std::string_view name);

}  // namespace masticshunt::configuration
