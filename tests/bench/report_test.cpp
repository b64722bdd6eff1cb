#include "masticshunt/bench/report.h"

#include "expect.h"

using masticshunt::bench::attempt_outcome;
using masticshunt::bench::figure;
using masticshunt::bench::goodput_lines;
using masticshunt::bench::label_result;
using masticshunt::bench::load_result;
using masticshunt::bench::request_log;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;
using std::chrono::milliseconds;

namespace {

request_log request_at(milliseconds scheduled, milliseconds ended, attempt_outcome outcome) {
  request_log log;
  log.key = "k";
  log.scheduled = scheduled;
  log.ended = ended;
  log.attempts.push_back({"r", "a", outcome, 0, ""});
  return log;
}

}  // namespace

Test(figure, is_met_within_its_bounds) {
  expect_true(figure{"p99", 1.0, "ms", 1.0, {}}.met());
  expect_false(figure{"p99", 1.1, "ms", 1.0, {}}.met());
  expect_false(figure{"rate", 14'999, "/s", {}, 15'000}.met());
}

Test(report, marks_a_missed_target) {
  const auto text = to_table(std::vector<figure>{{"p99", 2, "ms", 1.0, {}}});
  expect_true(text.find("MISSED") != std::string::npos);
}

Test(report, converts_intervals_into_requests_a_second) {
  load_result result;
  label_result label;
  label.label = "urgent";
  label.served_per_interval = {10};
  result.labels.push_back(label);
  expect_equal(goodput_lines(result)[0].points[0].second, 40.0);
}

Test(report, draws_one_line_for_each_label) {
  const auto picture = masticshunt::bench::to_svg("t", "s", "/s", {{"a", {{0, 1}, {1, 2}}}});
  expect_true(picture.find("<polyline") != std::string::npos);
}

Test(load_result, measures_from_the_first_failure_to_the_next_served_request) {
  load_result result;
  result.log = {request_at(milliseconds(100), milliseconds(101), attempt_outcome::not_run),
                request_at(milliseconds(200), milliseconds(201), attempt_outcome::not_run),
                request_at(milliseconds(300), milliseconds(310), attempt_outcome::served)};
  expect_equal(result.longest_unavailable().count(),
               std::chrono::nanoseconds(milliseconds(210)).count());
}

Test(load_result, measures_a_key_never_served_again_to_the_end) {
  load_result result;
  result.measured = milliseconds(1'000);
  result.log = {request_at(milliseconds(100), milliseconds(101), attempt_outcome::not_run)};
  expect_equal(result.longest_unavailable().count(),
               std::chrono::nanoseconds(milliseconds(900)).count());
}
