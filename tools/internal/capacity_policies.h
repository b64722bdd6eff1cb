/// @file
/// Placement and hot-key detection: cost, and comparison with the alternatives.
#pragma once

#include "capacity_measure.h"
#include "decisions/ownership/hot_keys_trace.h"
#include "decisions/ownership/placement_trace.h"

namespace masticshunt::capacity {

inline void measure_hot_keys(const report& out, std::uint64_t seed, measured_slopes& slopes) {
  constexpr std::size_t records = 500'000;
  using testing::count_min_keys;
  using testing::run_hot_keys;
  table rows{"hot_keys",
             {"search", "half-life, s", "bytes", "recall of the 20 hottest, 3 seeds",
              "recall 10 s after a change"},
             {}};
  const auto row = [&](const std::string& name, int half_life, auto make) {
    readings recall;
    readings after;
    std::size_t bytes = 0;
    for (std::uint64_t offset = 0; offset < 3; ++offset) {
      auto search = make();
      const auto result = run_hot_keys(search, seed + offset);
      recall.values.push_back(result.recall);
      after.values.push_back(result.recall_after);
      bytes = search.bytes();
    }
    rows.rows.push_back({name, std::to_string(half_life), format_number(static_cast<double>(bytes)),
                         recall.with_range(), after.with_range()});
  };
  for (const int half_life : {2, 4, 10, 20}) {
    const duration length = std::chrono::seconds{half_life};
    const ownership::hot_keys_settings settings{.half_life = length};
    row("space-saving", half_life, [&] { return ownership::hot_keys(settings); });
    row("count-min with halving", half_life, [&] { return count_min_keys(360, 64, length); });
  }
  out.write(rows);

  testing::zipf_requests requests(seed);
  std::vector<key_hash> hashes(records);
  std::ranges::generate(hashes, [&] { return requests.next(); });
  ownership::hot_keys keys({});
  time_point now{std::chrono::hours{1}};
  slopes.hot_keys_ns = time_each(records, 5, [&] {
                         for (const auto hash : hashes) {
                           keys.record(hash, 1, now += std::chrono::microseconds{476});
                         }
                       }).median();
  slopes.hot_keys_bytes = static_cast<double>(keys.bytes());
}

inline void measure_placement(const report& out, std::uint64_t seed, measured_slopes& slopes) {
  using testing::members_of;
  table rows{"placement",
             {"members", "strategy", "peak/mean, mean", "peak/mean, worst when settled",
              "key spaces moved in 20 min", "moved / owned on a loss: all, p50, max"},
             {}};
  const auto row = [&](std::size_t members, const std::string& name, const auto& group) {
    readings mean;
    readings settled;
    readings moved;
    for (std::uint64_t offset = 0; offset < 3; ++offset) {
      const auto result = testing::run_trace(group, seed + offset);
      mean.values.push_back(result.mean_peak_to_mean);
      settled.values.push_back(result.steady_peak_to_mean);
      moved.values.push_back(result.moved_share);
    }
    const auto loss = testing::lose_each_member(group, seed);
    rows.rows.push_back({std::to_string(members), name, mean.with_range(), settled.with_range(),
                         moved.with_range(),
                         format_number(loss.total) + ", " + format_number(loss.p50) + ", " +
                             format_number(loss.max)});
  };
  for (const std::size_t members : {6, 12, 24, 100}) {
    row(members, "planner", testing::planned_group(members_of(members), {}));
    row(members, "consistent-hash ring", testing::ring_group(members_of(members)));
    row(members, "least loaded, no cost", testing::least_loaded_group(members_of(members)));
  }
  out.write(rows);

  table times{"placement_time", {"members", "ranges", "one plan, µs"}, {}};
  std::vector<std::pair<double, double>> points;
  for (const std::size_t members : {50, 100, 200}) {
    testing::planned_group group(members_of(members), {});
    auto keys = testing::load_of_group(members, seed);
    time_point now{std::chrono::hours{1}};
    for (int round = 0; round < 5; ++round) group.round(keys, now += std::chrono::seconds{30});
    keys.replace_hottest(20);
    group.round(keys, now);
    const auto elapsed = time_each(1, 5, [&] {
      const auto plan =
          ownership::plan_placement(group.members, group.ranges, {}, now + std::chrono::minutes{1});
      if (plan.moves.size() > group.ranges.size()) std::cerr << "more moves than ranges\n";
    });
    points.emplace_back(static_cast<double>(members), elapsed.median() / 1e3);
    times.rows.push_back({std::to_string(members), std::to_string(group.ranges.size()),
                          format_number(elapsed.median() / 1e3)});
  }
  slopes.plan_us_by_members = fit(points);
  out.write(times);
}

}  // namespace masticshunt::capacity
