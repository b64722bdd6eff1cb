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
  /// Home regions, from schema 2 on: group g has its coordinators and owners in region
  /// g modulo the length of the list while that region has members. Empty for no homes.
  std::vector<std::string> regions{};

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

/// The kinds of records, in the order of `record_body`.
enum class record_kind { service, rank, key_range, drain };

/// Returns the name of `kind` in store names and on the command line, for example "key-range".
std::string_view to_string(record_kind kind);

/// Returns the kind that is called `name`, or nothing.
std::optional<record_kind> kind_from(std::string_view name);

/// Returns the kind of `what`.
record_kind kind_of(const record& what);

/// Returns the name of `what` within its kind, for example "schedule-viewer.urgent".
std::string name_of(const record& what);

/// Returns the service that `what` belongs to; empty for a drain order.
std::string service_of(const record& what);

/// How the value of a field is written.
enum class field_type { text, count, share, number, flag, time_span, isolation, hashes, text_list };

/// One field of a kind of record, for programs that read or print records field by field.
struct field_description {
  std::string_view name;
  field_type type = field_type::text;
  std::uint32_t since_schema = 1;
};

/// Returns the fields that `kind` has in `schema_version`, without those that its name holds.
std::vector<field_description> fields_of(record_kind kind, std::uint32_t schema_version);

/// Who wrote a stored record. It is no part of the record's meaning.
struct write_stamp {
  std::string write_id;   ///< Unique to the write, so that a lost answer can be resolved.
  std::string edited_by;  ///< The operator, for conflict messages.
};

/// Why a record was refused, and the field at fault (empty if it is none in particular).
struct record_fault {
  failure reason;
  std::string field;
};

/// Returns the store name of a record, for example "config/rank/schedule-viewer.urgent".
std::string object_name(record_kind kind, std::string_view name);

/// Returns the store name of `what`.
std::string object_name(const record& what);

/// Returns the stored form of `what`: JSON with its schema version and every field of it, so that
/// a later change of a default changes no stored record. Fields that the schema version of `what`
/// does not have are left out.
std::string to_value(const record& what, const write_stamp& stamp = {});

/// Returns the record stored under `object_name`, or nothing with `reason` filled
/// (kind `unsupported` for a schema version newer than this build reads). Unknown, missing and
/// out-of-range fields are refused; no value is taken to mean what an older schema meant by it.
std::optional<record> from_value(std::string_view object_name, std::string_view value,
                                 failure& reason);

/// Does the same, and also names the field at fault.
std::optional<record> from_value(std::string_view object_name, std::string_view value,
                                 record_fault& fault);

/// Returns the stamp of a stored value; its members are empty where the value has none.
write_stamp stamp_of(std::string_view value);

/// Returns true if `name` may name a record: 1 to 64 of a-z, A-Z, 0-9, '-' and '_'.
bool is_record_name(std::string_view name);

}  // namespace masticshunt::configuration
