#include <algorithm>
#include <map>

#include "masticshunt/bench/load_generator.h"

namespace masticshunt::bench {

namespace {

double seconds_of(std::chrono::nanoseconds time) {
  return std::max(std::chrono::duration<double>(time).count(), 1e-9);
}

}  // namespace

std::string_view to_string(attempt_outcome outcome) {
  constexpr std::array<std::string_view, attempt_outcome_count> names = {
      "served", "not-run", "may-have-run", "failed",
      "cut",    "timeout", "unreachable",  "broken-promise"};
  return names[static_cast<std::size_t>(outcome)];
}

label_result load_result::result_for(std::string_view label) const {
  const auto found = std::ranges::find(labels, label, &label_result::label);
  return found == labels.end() ? label_result{} : *found;
}

double load_result::demand(std::string_view label) const {
  return static_cast<double>(result_for(label).offered) / seconds_of(measured);
}

double load_result::goodput(std::string_view label) const {
  return static_cast<double>(result_for(label).completed) / seconds_of(measured);
}

double load_result::goodput() const {
  double sum = 0;
  std::ranges::for_each(labels, [&](const auto& each) { sum += goodput(each.label); });
  return sum;
}

std::chrono::nanoseconds load_result::longest_unavailable() const {
  struct key_state {
    bool failing = false;
    std::chrono::nanoseconds since{0};
  };
  std::vector<const request_log*> order;
  std::ranges::transform(log, std::back_inserter(order), [](const auto& each) { return &each; });
  std::ranges::stable_sort(order, {}, &request_log::scheduled);
  std::map<std::pair<std::string_view, std::string_view>, key_state> keys;
  std::chrono::nanoseconds longest{0};
  for (const request_log* each : order) {
    auto& key = keys[{each->service, each->key}];
    if (each->outcome() == attempt_outcome::served) {
      const auto since = key.failing ? key.since : each->scheduled;
      longest = std::max(longest, each->ended - since);
      key.failing = false;
    } else if (!key.failing) {
      key = {true, each->scheduled};
    }
  }
  for (const auto& [name, key] : keys) {
    if (key.failing) longest = std::max(longest, measured - key.since);
  }
  return longest;
}

}  // namespace masticshunt::bench
