#include "fleet/small_fleet.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The time in which an evacuation must be in force.
constexpr milliseconds evacuate_bound{2'000};
constexpr double cold_rate = 10;
/// The most that a cold upstream bears in a second.
constexpr std::size_t cold_bound = 23;

/// Puts the first agent into a zone and region of its own.
void spread(fleet::fleet_settings& settings, std::size_t index) {
  settings.zone = index == 0 ? "north-a" : "south-a";
  settings.region = index == 0 ? "north" : "south";
  settings.evacuate = evacuate_bound;
}

nlohmann::json state_with_regions(std::uint64_t version, const nlohmann::json& regions) {
  auto state = small_fleet::desired_state(version);
  state["routes"]["read"]["allowedRegions"] = regions;
  return state;
}

nlohmann::json state_with_slow_start() {
  auto state = small_fleet::desired_state(1);
  state["services"]["ledger"]["warmupPerS"] = cold_rate;
  return state;
}

}  // namespace

Test(evacuation, of_a_zone_keeps_requests_from_its_upstreams_until_it_is_taken_back) {
  small_fleet fleet(3, spread);
  fleet.start_upstreams();
  fleet.send_requests(0, milliseconds{10}, seconds{1});
  expect_true(fleet.upstream(0).arrived() > 0);
  fleet.store().put("evacuations", "north-a", nlohmann::json::object());
  fleet.send_requests(0, milliseconds{10}, evacuate_bound);
  const auto before = fleet.upstream(0).arrived();
  fleet.send_requests(0, milliseconds{10}, seconds{1});
  fleet.send_requests(1, milliseconds{10}, seconds{1});
  expect_equal(fleet.upstream(0).arrived(), before);
  fleet.store().remove("evacuations", "north-a");
  fleet.send_requests(0, milliseconds{10}, seconds{2});
  expect_true(fleet.upstream(0).arrived() > before);
  expect_equal(fleet.checker().violation_count(), 0U);
}

Test(evacuation, is_not_late_when_all_watches_have_died_silently) {
  small_fleet fleet(3, spread);
  fleet.start_upstreams();
  fleet.store().forget_watches();
  fleet.store().put("evacuations", "north-a", nlohmann::json::object());
  fleet.send_requests(0, milliseconds{10}, evacuate_bound);
  const auto before = fleet.upstream(0).arrived();
  fleet.send_requests(0, milliseconds{10}, seconds{1});
  expect_equal(fleet.upstream(0).arrived(), before);
}

Test(evacuation, survives_that_the_store_forgets_its_history_and_goes_away) {
  small_fleet fleet(3, spread);
  fleet.start_upstreams();
  fleet.store().put("evacuations", "north-a", nlohmann::json::object());
  fleet.run_for(seconds{1});
  fleet.store().compact();
  fleet.run_for(seconds{1});
  fleet.store().set_mode(process_soak::store_mode::unresponsive);
  const auto before = fleet.upstream(0).arrived();
  fleet.send_requests(0, milliseconds{10}, seconds{1});
  expect_equal(fleet.upstream(0).arrived(), before);
}

Test(evacuation, of_the_only_zone_refuses_requests_as_not_run) {
  small_fleet fleet(2, [](fleet::fleet_settings& settings, std::size_t) {
    settings.zone = "north-a";
    settings.evacuate = evacuate_bound;
  });
  fleet.start_upstreams();
  fleet.store().put("evacuations", "north-a", nlohmann::json::object());
  fleet.run_for(evacuate_bound);
  fleet.send_requests(0, milliseconds{20}, seconds{1});
  fleet.run_for(milliseconds{200});
  expect_equal(fleet.checker().with_status(503), fleet.checker().sent_total());
  expect_equal(fleet.checker().violation_count(), 0U);
}

Test(evacuation, is_neither_read_nor_obeyed_without_a_bound) {
  small_fleet fleet(
      2, [](fleet::fleet_settings& settings, std::size_t) { settings.zone = "north-a"; });
  fleet.start_upstreams();
  fleet.store().put("evacuations", "north-a", nlohmann::json::object());
  fleet.run_for(seconds{1});
  fleet.send_requests(0, milliseconds{20}, seconds{1});
  fleet.run_for(milliseconds{200});
  expect_equal(fleet.checker().with_status(200), fleet.checker().sent_total());
}

Test(residency, of_a_route_holds_for_its_requests) {
  small_fleet fleet(3, spread, state_with_regions(1, {"south"}));
  fleet.start_upstreams();
  fleet.send_requests(0, milliseconds{10}, seconds{1});
  fleet.run_for(milliseconds{200});
  expect_equal(fleet.upstream(0).arrived(), 0U);
  expect_equal(fleet.checker().with_status(200), fleet.checker().sent_total());
}

Test(residency, of_a_new_version_holds_for_requests_of_agents_that_lag) {
  small_fleet fleet(3, spread, state_with_regions(1, nlohmann::json::array()));
  fleet.start_upstreams();
  fleet.store().put("config", "main", state_with_regions(2, {"south"}));
  fleet.send_requests(0, milliseconds{5}, seconds{2});
  const auto before = fleet.upstream(0).arrived();
  fleet.send_requests(0, milliseconds{5}, seconds{1});
  expect_equal(fleet.upstream(0).arrived(), before);
}

Test(residency, in_a_region_without_upstreams_refuses_requests_as_not_run) {
  small_fleet fleet(2, spread, state_with_regions(1, {"nroth"}));
  fleet.start_upstreams();
  fleet.send_requests(0, milliseconds{20}, seconds{1});
  fleet.run_for(milliseconds{200});
  expect_equal(fleet.checker().with_status(503), fleet.checker().sent_total());
}

Test(slow_start, of_a_new_incarnation_keeps_the_rate_that_it_takes) {
  small_fleet fleet(1, spread, state_with_slow_start());
  fleet.upstream(0).turn_cold(seconds{4});
  fleet.start_upstreams();
  fleet.send_requests(0, milliseconds{5}, seconds{2});
  expect_true(fleet.upstream(0).arrived() > 0);
  expect_true(fleet.upstream(0).most_while_cold() <= cold_bound,
              std::to_string(fleet.upstream(0).most_while_cold()));
}

Test(slow_start, is_kept_after_a_crash_that_the_next_heartbeat_has_not_told_of) {
  small_fleet fleet(1, spread, state_with_slow_start());
  fleet.start_upstreams();
  fleet.send_requests(0, milliseconds{10}, milliseconds{500});
  fleet.upstream(0).crash();
  fleet.send_requests(0, milliseconds{10}, milliseconds{500});
  fleet.upstream(0).turn_cold(seconds{4});
  fleet.upstream(0).start();
  fleet.send_requests(0, milliseconds{5}, seconds{2});
  expect_true(fleet.upstream(0).most_while_cold() <= cold_bound,
              std::to_string(fleet.upstream(0).most_while_cold()));
}

Test(slow_start, is_kept_by_upstreams_that_turned_cold_while_their_zone_was_evacuated) {
  for (const bool health_silent : {false, true}) {
    small_fleet fleet(2, spread, state_with_slow_start());
    fleet.start_upstreams();
    fleet.upstream(0).set_health_silent(health_silent);
    fleet.store().put("evacuations", "north-a", nlohmann::json::object());
    fleet.run_for(evacuate_bound);
    fleet.upstream(0).turn_cold(seconds{4});
    fleet.store().remove("evacuations", "north-a");
    fleet.send_requests(0, milliseconds{5}, seconds{2});
    expect_true(fleet.upstream(0).arrived() > 0);
    expect_true(fleet.upstream(0).most_while_cold() <= cold_bound,
                std::to_string(fleet.upstream(0).most_while_cold()));
  }
}

Test(slow_start, of_all_upstreams_at_once_is_kept_by_each_and_serves_what_they_take) {
  small_fleet fleet(3, spread, state_with_slow_start());
  for (std::size_t i = 0; i < 3; ++i) fleet.upstream(i).turn_cold(seconds{5});
  fleet.start_upstreams();
  fleet.send_requests(0, milliseconds{5}, seconds{1});
  fleet.send_requests(1, milliseconds{5}, seconds{1});
  for (std::size_t i = 0; i < 3; ++i) {
    expect_true(fleet.upstream(i).arrived() > 0, std::to_string(i));
    expect_true(fleet.upstream(i).most_while_cold() <= cold_bound,
                std::to_string(fleet.upstream(i).most_while_cold()));
  }
}
