#include "masticshunt/decisions/configuration/registry.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace masticshunt::configuration {

namespace {

constexpr std::string_view record_prefix = "config/";
constexpr double floor_sum_max = 1.0 + 1e-9;

/// Returns the prefix of the object names of all records of `kind` of `service`.
std::string prefix_of(record_kind kind, std::string_view service) {
  return object_name(kind, std::string(service) + ".");
}

}  // namespace

apply_result registry::apply(std::string_view name, std::uint64_t version, std::string_view value) {
  if (!name.starts_with(record_prefix)) return apply_result::foreign;
  const auto known = entries_.find(name);
  const auto known_version = known == entries_.end() ? purged_revision_ : known->second.version;
  if (version <= known_version) return apply_result::not_newer;
  revision_ = std::max(revision_, version);

  entry next{version, std::nullopt, std::nullopt};
  if (!value.empty()) {
    failure reason;
    next.content = from_value(name, value, reason);
    if (!next.content) next.fault = std::move(reason);
  }
  const bool readable = !next.fault.has_value();
  entries_.insert_or_assign(std::string(name), std::move(next));
  return readable ? apply_result::in_force : apply_result::unreadable;
}

const registry::entry* registry::find(std::string_view name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

template <class Record>
std::vector<Record> registry::collect(std::string_view prefix) const {
  std::vector<Record> result;
  for (auto found = entries_.lower_bound(prefix);
       found != entries_.end() && found->first.starts_with(prefix); ++found) {
    if (found->second.content) result.push_back(std::get<Record>(found->second.content->body));
  }
  return result;
}

bool registry::any_unreadable(std::string_view prefix) const {
  const auto first = entries_.lower_bound(prefix);
  const auto past = std::find_if(first, entries_.end(),
                                 [&](const auto& each) { return !each.first.starts_with(prefix); });
  return std::any_of(first, past, [](const auto& each) { return each.second.fault.has_value(); });
}

service_state registry::state_of(std::string_view service) const {
  const entry* const own = find(object_name(record_kind::service, service));
  const bool unsupported = (own != nullptr && own->fault) ||
                           any_unreadable(prefix_of(record_kind::rank, service)) ||
                           any_unreadable(prefix_of(record_kind::key_range, service));
  if (unsupported) return service_state::unsupported;
  return own != nullptr && own->content ? service_state::ready : service_state::unknown;
}

std::vector<std::string> registry::service_names() const {
  std::vector<std::string> result;
  for (const auto& each : collect<service_record>(object_name(record_kind::service, ""))) {
    result.push_back(each.name);
  }
  return result;
}

std::optional<service_record> registry::service(std::string_view name) const {
  if (state_of(name) != service_state::ready) return std::nullopt;
  return std::get<service_record>(find(object_name(record_kind::service, name))->content->body);
}

std::vector<service_record> registry::services() const {
  auto result = collect<service_record>(object_name(record_kind::service, ""));
  std::erase_if(result,
                [&](const auto& each) { return state_of(each.name) != service_state::ready; });
  return result;
}

std::vector<rank_record> registry::ranks(std::string_view service) const {
  auto result = collect<rank_record>(prefix_of(record_kind::rank, service));
  std::ranges::sort(result, {}, [](const rank_record& each) {
    return std::tuple(each.order, std::string_view(each.name));
  });
  return result;
}

std::optional<std::uint32_t> registry::rank_index(std::string_view service,
                                                  std::string_view rank) const {
  const auto all = ranks(service);
  const auto found = std::ranges::find(all, rank, &rank_record::name);
  if (found == all.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - all.begin());
}

std::vector<key_range_record> registry::key_ranges(std::string_view service) const {
  auto result = collect<key_range_record>(prefix_of(record_kind::key_range, service));
  std::ranges::stable_sort(result, {}, [](const key_range_record& each) { return each.range; });
  return result;
}

std::vector<drain_record> registry::drains() const {
  return collect<drain_record>(object_name(record_kind::drain, ""));
}

bool registry::drained(std::string_view agent, std::string_view failure_domain) const {
  return std::ranges::any_of(drains(), [&](const drain_record& each) {
    return each.agent.empty() ? each.failure_domain == failure_domain : each.agent == agent;
  });
}

std::uint64_t registry::version_of(std::string_view name) const {
  const entry* const known = find(name);
  return known == nullptr ? 0 : known->version;
}

std::vector<unreadable_object> registry::unreadable() const {
  std::vector<unreadable_object> result;
  for (const auto& [name, each] : entries_) {
    if (each.fault) result.push_back({name, each.version, *each.fault});
  }
  return result;
}

std::vector<failure> registry::problems(std::string_view service) const {
  std::vector<failure> result;
  const auto all = ranks(service);
  const double sum =
      std::accumulate(all.begin(), all.end(), 0.0,
                      [](double total, const rank_record& each) { return total + each.floor; });
  const std::string subject = "service " + std::string(service);
  if (sum > floor_sum_max) {
    result.push_back({failure_kind::bad_input,
                      subject + ": the floors of its ranks sum to " + std::to_string(sum),
                      "lower the floor of a rank so that the sum is at most 1"});
  }
  const entry* const own = find(object_name(record_kind::service, service));
  if (own != nullptr && own->content) {
    const auto& default_rank = std::get<service_record>(own->content->body).default_rank;
    if (!rank_index(service, default_rank)) {
      result.push_back({failure_kind::bad_input,
                        subject + ": its default rank " + default_rank + " does not exist",
                        "apply rank " + std::string(service) + "." + default_rank +
                            ", or name another default_rank"});
    }
  }
  return result;
}

void registry::purge_deletions(std::uint64_t revision) {
  purged_revision_ = std::max(purged_revision_, revision);
  std::erase_if(entries_, [&](const auto& each) {
    return each.second.version <= revision && !each.second.content && !each.second.fault;
  });
}

std::optional<failure> check_changes(const registry& records,
                                     const std::vector<planned_change>& changes) {
  registry after = records;
  std::uint64_t version = records.revision();
  for (const auto& each : changes) after.apply(each.name, ++version, each.value);
  for (const auto& name : after.service_names()) {
    const auto before = records.problems(name);
    for (auto& found : after.problems(name)) {
      if (std::ranges::find(before, found.message, &failure::message) == before.end()) {
        return found;
      }
    }
  }
  return std::nullopt;
}

}  // namespace masticshunt::configuration
