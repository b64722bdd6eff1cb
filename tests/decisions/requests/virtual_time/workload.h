/// @file
/// Deployments, scenarios and the request traces that they produce.
#pragma once

#include <array>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

#include "decisions/requests/virtual_time/draws.h"
#include "masticshunt/base/time.h"

namespace masticshunt::testing {

/// The most urgent and the least urgent of the three ranks of a workload.
inline constexpr std::uint32_t urgent_rank = 0;
inline constexpr std::uint32_t least_rank = 2;
inline constexpr std::uint32_t rank_count = 3;

/// One rank of a workload.
struct rank_load {
  std::string name;
  double floor = 0;
  double demand = 0;  ///< Share of the capacity that it uses under normal load.
  duration service_mean{};
  duration target{};
  duration deadline{};
};

/// One service of a deployment.
struct deployment {
  std::string name;
  std::uint32_t targets = 6;
  std::uint32_t slots = 12;
  std::uint32_t connections = 120;
  std::array<rank_load, rank_count> ranks;

  /// Returns the total number of slots of all targets.
  [[nodiscard]] double capacity() const { return static_cast<double>(targets) * slots; }
};

/// The fault that is injected in a run.
enum class fault { none, target_lost, target_frozen, target_lying, key_stalled, keys_stalled };

/// The load and the fault of one run.
struct scenario {
  std::string name;
  std::array<double, rank_count> load_factor{1, 1, 1};  ///< Multiple of the normal demand.
  fault what = fault::none;
  duration length = std::chrono::seconds{12};
  duration warm_up = std::chrono::seconds{4};  ///< Excluded from the results.
};

/// One request of a trace.
struct trace_request {
  time_point arrival{};
  duration service{};  ///< Service time at the upstream; `max()` if it stalls.
  std::uint32_t rank = 0;
  std::uint32_t key = 0;
  std::uint32_t caller = 0;
};

/// The requests of a run and the owner of every key.
struct trace {
  std::vector<trace_request> requests;
  std::vector<std::uint32_t> owner_of_key;
  std::uint32_t stalled_from = 0;  ///< The stalled keys are [stalled_from, stalled_to).
  std::uint32_t stalled_to = 0;
};

/// Returns the service of Gebrüder Imhof that serves planners.
inline deployment imhof() {
  using std::chrono::milliseconds;
  return {
      .name = "imhof",
      .slots = 12,
      .connections = 120,
      .ranks = {{{"planner", 0.4, 0.15, milliseconds{8}, milliseconds{100}, milliseconds{1'000}},
                 {"dispatch", 0.3, 0.25, milliseconds{10}, milliseconds{300}, milliseconds{2'000}},
                 {"scan", 0.2, 0.2, milliseconds{20}, milliseconds{2'000}, milliseconds{5'000}}}}};
}

/// Returns the service of Cwmni Llyfrnod that serves lookups.
inline deployment llyfrnod() {
  using std::chrono::milliseconds;
  return {.name = "llyfrnod",
          .slots = 6,
          .connections = 65,
          .ranks = {
              {{"lookup", 0.4, 0.15, milliseconds{8}, milliseconds{100}, milliseconds{1'000}},
               {"refresh", 0.3, 0.25, milliseconds{10}, milliseconds{300}, milliseconds{2'000}},
               {"upload", 0.2, 0.2, milliseconds{20}, milliseconds{2'000}, milliseconds{5'000}}}}};
}

/// Assigns an owner to every key, so that all owners get an equal share of the requests.
inline std::vector<std::uint32_t> balanced_owners(const zipf& keys, std::uint32_t targets) {
  std::vector<double> load(targets);
  std::vector<std::uint32_t> owners(keys.size());
  for (std::size_t key = 0; key < keys.size(); ++key) {
    const auto least = std::ranges::min_element(load);
    *least += keys.share(key);
    owners[key] = static_cast<std::uint32_t>(least - load.begin());
  }
  return owners;
}

/// Returns the trace of a run; equal arguments give equal traces.
inline trace make_trace(const deployment& where, const scenario& run, std::uint64_t seed) {
  constexpr std::size_t key_count = 20'000;
  constexpr double key_exponent = 0.9;
  constexpr double service_sigma = 0.6;
  constexpr std::uint32_t callers_per_rank = 40;
  constexpr std::uint32_t stalled_rank_in_popularity = 3;
  const zipf keys{key_count, key_exponent};
  trace generated{.requests = {}, .owner_of_key = balanced_owners(keys, where.targets)};
  if (run.what == fault::key_stalled || run.what == fault::keys_stalled) {
    generated.stalled_from = stalled_rank_in_popularity;
    generated.stalled_to = generated.stalled_from + (run.what == fault::key_stalled ? 1 : 60);
  }
  for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
    draws random{seed * 31 + rank};
    const rank_load& load = where.ranks[rank];
    const double factor = run.load_factor[rank];
    const auto gap =
        duration{static_cast<duration::rep>(static_cast<double>(load.service_mean.count()) /
                                            (load.demand * factor * where.capacity()))};
    for (time_point when{random.exponential(gap)}; when < time_point{run.length};
         when += random.exponential(gap)) {
      const auto key = static_cast<std::uint32_t>(keys.draw(random));
      duration service = random.lognormal(load.service_mean, service_sigma);
      if (generated.stalled_from <= key && key < generated.stalled_to) service = duration::max();
      const auto caller = static_cast<std::uint32_t>(random.below(callers_per_rank));
      generated.requests.push_back({when, service, rank, key, caller});
    }
  }
  std::ranges::sort(generated.requests, {}, &trace_request::arrival);
  return generated;
}

}  // namespace masticshunt::testing
