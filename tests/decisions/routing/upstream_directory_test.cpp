#include "masticshunt/decisions/routing/upstream_directory.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};

registration entry(const std::string& agent, const std::string& zone,
                   upstream_stage stage = upstream_stage::ready) {
  return {.agent = agent,
          .address = agent + ":7600",
          .zone = zone,
          .region = zone.substr(0, 1),
          .service = "ledger",
          .incarnation = {"i-" + agent, 1},
          .stage = stage,
          .slots = 4};
}

upstream_directory directory() {
  upstream_directory result("n1", "n");
  result.replace_all({entry("near", "n1"), entry("mid", "n2"), entry("far", "s1")}, start);
  return result;
}

std::string chosen(const upstream_directory& from, const std::vector<std::string>& tried = {},
                   time_point now = start) {
  return from.choose("ledger", tried, 0.5, now).value_or("nobody");
}

}  // namespace

Test(upstream_directory, prefers_the_same_zone) {
  expect_equal(chosen(directory()), "near");
}

Test(upstream_directory, a_full_upstream_sends_work_to_the_next_zone) {
  auto it = directory();
  it.sent("near");
  it.ended("near", attempt_health::good, load_report{4, 8, 4, milliseconds{60}}, start);
  expect_equal(chosen(it), "mid");
}

Test(upstream_directory, an_old_statement_of_load_fades) {
  auto it = directory();
  it.sent("near");
  it.ended("near", attempt_health::good, load_report{4, 8, 4, milliseconds{60}}, start);
  expect_equal(chosen(it, {}, start + seconds{5}), "near");
}

Test(upstream_directory, what_was_tried_comes_last) {
  expect_equal(chosen(directory(), {"near"}), "mid");
  expect_equal(chosen(directory(), {"near", "mid", "far"}), "near");
}

Test(upstream_directory, an_unreachable_agent_is_set_aside_and_comes_back) {
  auto it = directory();
  it.sent("near");
  it.ended("near", attempt_health::unreachable, std::nullopt, start);
  expect_false(it.reachable("near", start));
  expect_equal(chosen(it), "mid");
  expect_true(it.reachable("near", start + seconds{1}));
}

Test(upstream_directory, failures_move_work_away) {
  auto it = directory();
  for (int i = 0; i < 10; ++i) {
    it.sent("near");
    it.ended("near", attempt_health::failed, std::nullopt, start);
  }
  expect_equal(chosen(it), "mid");
}

Test(upstream_directory, failures_are_forgotten_with_time) {
  auto it = directory();
  for (int i = 0; i < 10; ++i) {
    it.sent("near");
    it.ended("near", attempt_health::failed, std::nullopt, start);
  }
  expect_equal(chosen(it, {}, start + seconds{15}), "near");
}

Test(upstream_directory, a_large_request_stays_near_a_slow_upstream) {
  auto it = directory();
  it.sent("near");
  it.ended("near", attempt_health::good, load_report{0, 0, 4, milliseconds{160}}, start);
  const request_estimate large{.bytes = 60 * 1024};
  expect_equal(it.choose("ledger", {}, 0.5, start, large).value_or(""), "near");
  expect_equal(chosen(it), "mid");
}

Test(upstream_directory, a_light_request_does_not_travel_to_save_a_heavy_one_s_time) {
  auto it = directory();
  it.sent("near");
  it.ended("near", attempt_health::good, load_report{0, 0, 4, milliseconds{100}}, start);
  const request_estimate light{.work_ratio = 0.2};
  expect_equal(it.choose("ledger", {}, 0.5, start, light).value_or(""), "near");
  expect_equal(chosen(it), "mid");
}

Test(upstream_directory, refusals_are_no_failures) {
  auto it = directory();
  for (int i = 0; i < 10; ++i) {
    it.sent("near");
    it.ended("near", attempt_health::refused, std::nullopt, start);
  }
  expect_equal(chosen(it), "near");
}

Test(upstream_directory, draining_and_unknown_upstreams_are_not_chosen) {
  upstream_directory it("n1", "n");
  auto nameless = entry("other", "n1");
  nameless.incarnation.id.clear();
  it.replace_all({entry("near", "n1", upstream_stage::draining), nameless}, start);
  expect_equal(chosen(it), "nobody");
}

Test(upstream_directory, a_new_upstream_is_taken_for_slow_at_first) {
  auto it = directory();
  it.put(entry("new", "n1"), start + seconds{10});
  expect_equal(chosen(it, {}, start + seconds{10}), "near");
}

Test(upstream_directory, replacing_all_tells_what_changed) {
  auto it = directory();
  const auto changed = it.replace_all({entry("near", "n1"), entry("mid", "n9")}, start);
  expect_true(changed == std::vector<std::string>{"far", "mid"});
}

Test(upstream_directory, an_equal_registration_is_no_change) {
  auto it = directory();
  expect_false(it.put(entry("near", "n1"), start));
}
