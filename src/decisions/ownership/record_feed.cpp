#include "masticshunt/decisions/ownership/record_feed.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ranges>

namespace masticshunt::ownership {
namespace {

constexpr std::string_view lost_prefix = "config/lost/";

/// Returns the record's part of the digest. Deleted records hash to 0, so that an agent that never
/// had them has the same digest as one that did.
std::uint64_t hash_of(const stored_record& record) {
  if (record.value.empty()) return 0;
  return hash_of_key(record.name + "@" + std::to_string(record.version));
}

}  // namespace

bool record_feed::apply_one(const stored_record& record, invariant_counters& invariants,
                            step& step) {
  auto& known = records_[record.name];
  if (record.version <= known.version && !faults_.records_revert) return false;
  if (record.version == known.version) return false;
  if (!faults_.records_revert) {
    invariants.check(record.version > known.version, "record_versions_rise");
  }
  digest_ ^= hash_of(known);
  known = record;
  digest_ ^= hash_of(known);
  registry_.apply(record.name, record.version, record.value);
  step.out.emplace_back(record_in_force{{record.name, record.version, record.value}});
  return true;
}

std::vector<stored_record> record_feed::apply(const std::vector<stored_record>& records,
                                              invariant_counters& invariants, step& step) {
  std::vector<stored_record> newer;
  for (const auto& record : records) {
    if (apply_one(record, invariants, step)) newer.push_back(record);
  }
  return newer;
}

std::vector<stored_record> record_feed::apply_snapshot(const std::vector<stored_record>& records,
                                                       std::uint64_t revision,
                                                       invariant_counters& invariants, step& step) {
  auto newer = apply(records, invariants, step);
  if (revision < revision_) return newer;
  std::vector<stored_record> deletions;
  for (const auto& known : records_ | std::views::values) {
    const bool listed =
        std::ranges::find(records, known.name, &stored_record::name) != records.end();
    if (!listed && known.version < revision && !known.value.empty()) {
      deletions.push_back({known.name, revision, {}});
    }
  }
  std::ranges::move(apply(deletions, invariants, step), std::back_inserter(newer));
  advance_revision(revision);
  return newer;
}

void record_feed::advance_revision(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

records_update record_feed::snapshot() const {
  records_update update{revision_, true, {}};
  std::ranges::copy_if(records_ | std::views::values, std::back_inserter(update.records),
                       [](const stored_record& record) { return !record.value.empty(); });
  return update;
}

std::map<std::string, std::uint64_t> record_feed::lost_agents() const {
  std::map<std::string, std::uint64_t> lost;
  for (const auto& record : records_ | std::views::values) {
    if (!record.name.starts_with(lost_prefix) || record.value.empty()) continue;
    const auto body = nlohmann::json::parse(record.value, nullptr, false);
    if (!body.is_object()) continue;
    const auto incarnation = body.find("incarnation");
    if (incarnation == body.end() || !incarnation->is_number_unsigned()) continue;
    lost[record.name.substr(lost_prefix.size())] = incarnation->get<std::uint64_t>();
  }
  return lost;
}

}  // namespace masticshunt::ownership
