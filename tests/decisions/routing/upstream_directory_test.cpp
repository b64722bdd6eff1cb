#include "masticshunt/decisions/routing/upstream_directory.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};

registration registered(const std::string& agent, const std::string& zone,
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
  result.replace_all({registered("near", "n1"), registered("mid", "n2"), registered("far", "s1")},
                     start);
  return result;
}

std::string chosen(const upstream_directory& from, const std::vector<std::string>& tried = {},
                   time_point now = start) {
  return from.choose({.service = "ledger", .tried = tried, .draw = 0.5}, now).value_or("none");
}

}  // namespace

Test(upstream_directory, prefers_the_same_zone) {
  expect_equal(chosen(directory()), "near");
}

Test(upstream_directory, a_full_upstream_diverts_requests_to_the_next_zone) {
  auto upstreams = directory();
  upstreams.sent("near");
  upstreams.ended("near", attempt_health::good, load_report{4, 8, 4, milliseconds{60}}, start);
  expect_equal(chosen(upstreams), "mid");
}

Test(upstream_directory, an_old_load_report_decays) {
  auto upstreams = directory();
  upstreams.sent("near");
  upstreams.ended("near", attempt_health::good, load_report{4, 8, 4, milliseconds{60}}, start);
  expect_equal(chosen(upstreams, {}, start + seconds{5}), "near");
}

Test(upstream_directory, agents_already_tried_rank_last) {
  expect_equal(chosen(directory(), {"near"}), "mid");
  expect_equal(chosen(directory(), {"near", "mid", "far"}), "near");
}

Test(upstream_directory, an_unreachable_agent_is_ejected_for_a_limited_time) {
  auto upstreams = directory();
  upstreams.sent("near");
  upstreams.ended("near", attempt_health::unreachable, std::nullopt, start);
  expect_false(upstreams.reachable("near", start));
  expect_equal(chosen(upstreams), "mid");
  expect_true(upstreams.reachable("near", start + seconds{1}));
}

Test(upstream_directory, an_agent_that_has_just_restarted_is_avoided_for_a_short_time_only) {
  auto upstreams = directory();
  for (int i = 0; i < 5; ++i) {
    upstreams.sent("near");
    upstreams.ended("near", attempt_health::starting, std::nullopt, start);
  }
  expect_equal(chosen(upstreams), "mid");
  expect_equal(chosen(upstreams, {}, start + milliseconds{300}), "near");
}

Test(upstream_directory, failures_divert_requests) {
  auto upstreams = directory();
  for (int i = 0; i < 10; ++i) {
    upstreams.sent("near");
    upstreams.ended("near", attempt_health::failed, std::nullopt, start);
  }
  expect_equal(chosen(upstreams), "mid");
}

Test(upstream_directory, failures_decay_with_time) {
  auto upstreams = directory();
  for (int i = 0; i < 10; ++i) {
    upstreams.sent("near");
    upstreams.ended("near", attempt_health::failed, std::nullopt, start);
  }
  expect_equal(chosen(upstreams, {}, start + seconds{15}), "near");
}

Test(upstream_directory, a_large_request_stays_in_the_zone_of_a_slow_upstream) {
  auto upstreams = directory();
  upstreams.sent("near");
  upstreams.ended("near", attempt_health::good, load_report{0, 0, 4, milliseconds{160}}, start);
  const request_estimate large{.bytes = 60 * 1024};
  expect_equal(
      upstreams.choose({.service = "ledger", .estimate = large, .draw = 0.5}, start).value_or(""),
      "near");
  expect_equal(chosen(upstreams), "mid");
}

Test(upstream_directory, a_cheap_request_stays_in_the_zone_where_an_average_one_does_not) {
  auto upstreams = directory();
  upstreams.sent("near");
  upstreams.ended("near", attempt_health::good, load_report{0, 0, 4, milliseconds{100}}, start);
  const request_estimate light{.work_ratio = 0.2};
  expect_equal(
      upstreams.choose({.service = "ledger", .estimate = light, .draw = 0.5}, start).value_or(""),
      "near");
  expect_equal(chosen(upstreams), "mid");
}

Test(upstream_directory, refusals_do_not_count_as_failures) {
  auto upstreams = directory();
  for (int i = 0; i < 10; ++i) {
    upstreams.sent("near");
    upstreams.ended("near", attempt_health::refused, std::nullopt, start);
  }
  expect_equal(chosen(upstreams), "near");
}

Test(upstream_directory, draining_and_unknown_upstreams_are_not_chosen) {
  upstream_directory upstreams("n1", "n");
  auto nameless = registered("other", "n1");
  nameless.incarnation.id.clear();
  upstreams.replace_all({registered("near", "n1", upstream_stage::draining), nameless}, start);
  expect_equal(chosen(upstreams), "none");
}

Test(upstream_directory, a_new_upstream_is_assumed_to_be_slow_at_first) {
  auto upstreams = directory();
  upstreams.put(registered("new", "n1"), start + seconds{10});
  expect_equal(chosen(upstreams, {}, start + seconds{10}), "near");
}

Test(upstream_directory, replacing_all_returns_the_changed_agents) {
  auto upstreams = directory();
  const auto changed =
      upstreams.replace_all({registered("near", "n1"), registered("mid", "n9")}, start);
  expect_true(changed == std::vector<std::string>{"far", "mid"});
}

Test(upstream_directory, an_equal_registration_is_no_change) {
  auto upstreams = directory();
  expect_false(upstreams.put(registered("near", "n1"), start));
}

namespace {

load_report limited_load(double per_second, duration wait) {
  load_report load{.slots = 4, .service_time = milliseconds{60}};
  load.request_limit = per_second;
  load.limit_wait = wait;
  return load;
}

}  // namespace

Test(upstream_directory, an_upstream_whose_limit_has_no_room_diverts_requests) {
  auto upstreams = directory();
  upstreams.sent("near");
  upstreams.ended("near", attempt_health::good, limited_load(5, milliseconds{300}), start);
  expect_equal(chosen(upstreams), "mid");
  expect_equal(chosen(upstreams, {}, start + milliseconds{300}), "near");
  upstreams.sent("near");
  expect_equal(chosen(upstreams, {}, start + milliseconds{300}), "mid");
}

Test(upstream_directory, a_limit_counts_until_a_report_without_it_or_for_a_few_seconds) {
  auto upstreams = directory();
  upstreams.ended("near", attempt_health::good, limited_load(5, {}), start);
  expect_true(upstreams.request_limit("near", start + seconds{3}) == 5.0);
  expect_false(upstreams.request_limit("near", start + seconds{4}).has_value());
  upstreams.ended("near", attempt_health::good, load_report{.slots = 4}, start + seconds{1});
  expect_false(upstreams.request_limit("near", start + seconds{1}).has_value());
}

Test(upstream_directory, a_leaving_upstream_is_chosen_again_only_in_its_next_incarnation) {
  auto upstreams = directory();
  load_report load{.slots = 4};
  load.leaving = registered("near", "n1").incarnation;
  upstreams.ended("near", attempt_health::good, load, start);
  upstreams.ended("near", attempt_health::good, load_report{.slots = 4}, start + seconds{5});
  expect_true(upstreams.leaving_since("near") == start);
  expect_equal(chosen(upstreams, {}, start + seconds{5}), "mid");
  auto next = registered("near", "n1");
  next.incarnation.start_ms = 2;
  upstreams.put(next, start + seconds{6});
  upstreams.ended("near", attempt_health::good, load, start + seconds{6});
  expect_false(upstreams.leaving_since("near").has_value());
  expect_equal(chosen(upstreams, {}, start + seconds{20}), "near");
}

Test(upstream_directory, offers_a_request_only_to_upstreams_in_its_regions) {
  const auto upstreams = directory();
  const std::vector<std::string> southern{"s"};
  const std::vector<std::string> unknown{"x"};
  expect_equal(upstreams.choose({.service = "ledger", .regions = southern}, start).value_or("none"),
               "far");
  expect_equal(upstreams.choose({.service = "ledger", .regions = unknown}, start).value_or("none"),
               "none");
}

Test(upstream_directory, a_retry_stays_in_the_regions_of_its_request) {
  const auto upstreams = directory();
  const std::vector<std::string> northern{"n"};
  const std::vector<std::string> tried{"near", "mid"};
  const auto again =
      upstreams.choose({.service = "ledger", .tried = tried, .regions = northern}, start);
  expect_true(again == "near" || again == "mid");
}

Test(upstream_directory, offers_nothing_to_upstreams_of_an_evacuated_zone) {
  auto upstreams = directory();
  upstreams.set_evacuated_zones({"n1", "n2"});
  expect_equal(chosen(upstreams), "far");
  upstreams.set_evacuated_zones({"n1", "n2", "s1"});
  expect_equal(chosen(upstreams), "none");
  upstreams.set_evacuated_zones({});
  expect_equal(chosen(upstreams), "near");
}

Test(upstream_directory, an_upstream_that_registers_in_an_evacuated_zone_is_not_offered_anything) {
  auto upstreams = directory();
  upstreams.set_evacuated_zones({"n1"});
  upstreams.put(registered("nearer", "n1"), start);
  expect_equal(chosen(upstreams), "mid");
}

Test(upstream_directory, a_slow_moment_of_an_upstream_diverts_requests_until_it_is_old) {
  auto upstreams = directory();
  upstreams.sent("near");
  upstreams.ended("near", attempt_health::good,
                  load_report{.slots = 4, .service_time = milliseconds{60}, .slowdown = 3}, start);
  expect_equal(chosen(upstreams), "mid");
  expect_equal(chosen(upstreams, {}, start + seconds{1}), "near");
}

Test(upstream_directory, an_old_report_decays_to_the_usual_queue_not_to_none) {
  auto upstreams = directory();
  for (int i = 0; i < 20; ++i) {
    upstreams.sent("near");
    upstreams.ended("near", attempt_health::good, load_report{4, 12, 4, milliseconds{60}}, start);
  }
  expect_equal(chosen(upstreams, {}, start + seconds{1}), "mid");
  expect_equal(chosen(upstreams, {}, start + seconds{30}), "near");
}

Test(upstream_directory, offers_a_refused_request_only_to_who_answers_in_time) {
  auto upstreams = directory();
  for (const char* agent : {"near", "mid", "far"}) {
    upstreams.sent(agent);
    upstreams.ended(agent, attempt_health::refused, load_report{4, 8, 4, milliseconds{100}}, start);
  }
  const std::vector<std::string> tried{"near"};
  upstream_choice request{.service = "ledger", .tried = tried};
  expect_true(upstreams.choose(request, start).has_value());
  request.answer_by = start + milliseconds{150};
  expect_false(upstreams.choose(request, start).has_value());
  request.answer_by = start + milliseconds{500};
  expect_equal(upstreams.choose(request, start).value_or("none"), "mid");
}

Test(upstream_directory, offers_a_refused_request_to_who_has_reported_nothing) {
  auto upstreams = directory();
  for (const char* agent : {"near", "mid"}) {
    upstreams.sent(agent);
    upstreams.ended(agent, attempt_health::refused, load_report{4, 8, 4, milliseconds{100}}, start);
  }
  const upstream_choice request{.service = "ledger", .answer_by = start + milliseconds{100}};
  expect_equal(upstreams.choose(request, start).value_or("none"), "far");
}
