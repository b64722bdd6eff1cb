// Measures the slopes of docs/CAPACITY.md and writes its tables and plots.
#include <cstdlib>
#include <set>
#include <string_view>

#include "internal/capacity_group.h"
#include "internal/capacity_inputs.h"
#include "internal/capacity_policies.h"
#include "internal/capacity_report.h"
#include "internal/capacity_requests.h"
#include "internal/capacity_routing.h"
#include "internal/capacity_spread.h"
#include "internal/capacity_target.h"

using namespace masticshunt::capacity;

namespace {

/// What the command line asks for.
struct options {
  std::string documents = "docs";
  std::uint64_t seed = 1;
  std::set<std::string, std::less<>> only;  ///< Empty: everything.

  [[nodiscard]] bool wants(std::string_view section) const {
    return only.empty() || only.contains(section);
  }
};

options parse(int count, char** arguments) {
  options parsed;
  for (int index = 1; index + 1 < count; index += 2) {
    const std::string_view name = arguments[index];
    const std::string value = arguments[index + 1];
    if (name == "--docs") parsed.documents = value;
    if (name == "--seed") parsed.seed = std::stoull(value);
    if (name == "--only") parsed.only.insert(value);
  }
  return parsed;
}

}  // namespace

int main(int count, char** arguments) {
  const auto asked = parse(count, arguments);
  const auto inputs = read_inputs(asked.documents + "/capacity/inputs.ini");
  const report out(asked.documents, "make capacity");
  measured_slopes slopes;
  if (asked.wants("routing")) measure_routing(out, asked.seed, slopes);
  if (asked.wants("requests")) measure_requests(out, asked.seed, slopes);
  if (asked.wants("group")) measure_group(out, slopes);
  if (asked.wants("hot-keys")) measure_hot_keys(out, asked.seed, slopes);
  if (asked.wants("placement")) measure_placement(out, asked.seed, slopes);
  if (asked.wants("fan-out")) measure_fan_out(out, asked.seed, slopes);
  if (asked.wants("ordinary")) measure_ordinary_day(out, inputs, asked.seed, slopes);
  if (asked.wants("events")) measure_events(out, asked.seed, slopes);
  if (asked.wants("memory")) measure_held_objects(out, slopes);
  if (asked.only.empty()) write_target_tables(out, inputs, slopes);
  return EXIT_SUCCESS;
}
