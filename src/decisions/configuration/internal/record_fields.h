/// @file
/// Tables of the fields of each kind of record.
#pragma once

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <variant>

#include "masticshunt/decisions/configuration/records.h"

namespace masticshunt::configuration {

/// A pointer to a member of any type that a field can have.
template <class Record>
using field_member =
    std::variant<std::string Record::*, std::uint32_t Record::*, double Record::*, bool Record::*,
                 std::chrono::milliseconds Record::*, isolation_policy Record::*,
                 hash_range Record::*, std::vector<std::string> Record::*>;

/// One field: its name, the schema version that introduced it, its member and its bounds.
template <class Record>
struct field {
  std::string_view name;
  std::uint32_t since_schema = 1;
  field_member<Record> member;
  double least = 0;
  double most = 0;
};

inline constexpr double one_day_ms = 86'400'000;

inline const std::array<field<service_record>, 7> service_fields{{
    {"default_rank", 1, &service_record::default_rank},
    {"groups", 1, &service_record::groups, 1, 65'536},
    {"ranges_per_member", 1, &service_record::ranges_per_member, 1, 256},
    {"isolation", 1, &service_record::isolation},
    {"repeat_window", 1, &service_record::repeat_window, 0, one_day_ms},
    {"default_deadline", 1, &service_record::default_deadline, 1, one_day_ms},
    {"regions", 2, &service_record::regions},
}};

inline const std::array<field<rank_record>, 4> rank_fields{{
    {"order", 1, &rank_record::order, 0, 255},
    {"floor", 1, &rank_record::floor, 0, 1},
    {"worth", 1, &rank_record::worth, 0, 1'000'000},
    {"target", 1, &rank_record::target, 1, one_day_ms},
}};

inline const std::array<field<key_range_record>, 3> key_range_fields{{
    {"range", 1, &key_range_record::range},
    {"region", 1, &key_range_record::region},
    {"isolated", 1, &key_range_record::isolated},
}};

inline const std::array<field<drain_record>, 2> drain_fields{{
    {"agent", 1, &drain_record::agent},
    {"failure_domain", 1, &drain_record::failure_domain},
}};

inline std::span<const field<service_record>> table_of(const service_record* /*tag*/) {
  return service_fields;
}
inline std::span<const field<rank_record>> table_of(const rank_record* /*tag*/) {
  return rank_fields;
}
inline std::span<const field<key_range_record>> table_of(const key_range_record* /*tag*/) {
  return key_range_fields;
}
inline std::span<const field<drain_record>> table_of(const drain_record* /*tag*/) {
  return drain_fields;
}

/// Returns a description of valid values of a field, used as the remedy of each rejection.
std::string expected_form(field_type type, double least, double most);

/// Reads a JSON value into a member. Returns false if the value has a wrong type or is out of
/// range.
bool read_json(const nlohmann::json& value, double least, double most, std::string& to);
bool read_json(const nlohmann::json& value, double least, double most, std::uint32_t& to);
bool read_json(const nlohmann::json& value, double least, double most, double& to);
bool read_json(const nlohmann::json& value, double least, double most, bool& to);
bool read_json(const nlohmann::json& value, double least, double most,
               std::chrono::milliseconds& to);
bool read_json(const nlohmann::json& value, double least, double most, isolation_policy& to);
bool read_json(const nlohmann::json& value, double least, double most, hash_range& to);
bool read_json(const nlohmann::json& value, double least, double most,
               std::vector<std::string>& to);

/// Returns the JSON form of a member.
nlohmann::json write_json(const std::string& from);
nlohmann::json write_json(std::uint32_t from);
nlohmann::json write_json(double from);
nlohmann::json write_json(bool from);
nlohmann::json write_json(std::chrono::milliseconds from);
nlohmann::json write_json(isolation_policy from);
nlohmann::json write_json(const hash_range& from);
nlohmann::json write_json(const std::vector<std::string>& from);

}  // namespace masticshunt::configuration
