// Measures the cost slopes of docs/CAPACITY.md and writes its tables and plots.
#include <cstdlib>
#include <set>
#include <string_view>

#include "internal/capacity_group.h"
#include "internal/capacity_inputs.h"
#include "internal/capacity_policies.h"
#include "internal/capacity_report.h"
#include "internal/capacity_requests.h"
#include "internal/capacity_routing.h"
#include "internal/capacity_sockets.h"
#include "internal/capacity_spread.h"
#include "internal/capacity_target.h"

using namespace masticshunt::capacity;

namespace {

/// The command line options.
struct options {
  std::string documents = "docs";
  std::uint64_t seed = 1;
  std::set<std::string, std::less<>> only;  ///< Sections to run; empty: all.

  [[nodiscard]] bool selects(std::string_view section) const {
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
  const auto selected = parse(count, arguments);
  const auto inputs = read_inputs(selected.documents + "/capacity/inputs.ini");
  const report out(selected.documents, "make capacity");
  measured_slopes slopes;
  if (selected.selects("routing")) measure_routing(out, selected.seed, slopes);
  if (selected.selects("requests")) measure_requests(out, selected.seed, slopes);
  if (selected.selects("group")) measure_group(out, slopes);
  if (selected.selects("losses")) measure_large_losses(out, slopes);
  if (selected.selects("sockets")) measure_control_channel(out, slopes);
  if (selected.selects("sockets")) measure_store_client(out, slopes);
  if (selected.selects("hot-keys")) measure_hot_keys(out, selected.seed, slopes);
  if (selected.selects("placement")) measure_placement(out, selected.seed, slopes);
  if (selected.selects("fan-out")) measure_fan_out(out, selected.seed, slopes);
  if (selected.selects("ordinary")) measure_ordinary_day(out, inputs, selected.seed, slopes);
  if (selected.selects("events")) measure_events(out, selected.seed, slopes);
  if (selected.selects("memory")) measure_held_objects(out, slopes);
  if (selected.only.empty()) write_target_tables(out, inputs, slopes);
  return EXIT_SUCCESS;
}
