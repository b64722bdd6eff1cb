#include "masticshunt/decisions/requests/outlier_detector.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

struct detector_fixture {
  explicit detector_fixture(outlier_settings settings = {}) : detector(settings) {
    for (const char* name : {"a", "b", "c", "d", "e", "f"})
      detector.add_member(name, false, at({}));
  }

  void end(std::string_view member, attempt_result result, int times, duration when = {}) {
    for (int i = 0; i < times; ++i) {
      detector.sent(member, at(when));
      detector.ended(member, result, at(when));
    }
  }

  outlier_detector detector;
};

}  // namespace

Test(outlier_detector, ejects_a_member_after_consecutive_failures) {
  detector_fixture f;
  f.end("a", attempt_result::error, 5);
  expect_equal(f.detector.weight("a", at({})), 0.0);
  expect_equal(f.detector.weight("b", at({})), 1.0);
}

Test(outlier_detector, ejects_a_member_that_fails_half_of_the_time) {
  detector_fixture f;
  for (int i = 0; i < 10; ++i) {
    f.end("a", attempt_result::answered, 1);
    f.end("a", attempt_result::error, 1);
  }
  expect_equal(f.detector.weight("a", at({})), 0.0);
}

Test(outlier_detector, keeps_a_member_that_sheds) {
  detector_fixture f;
  f.end("a", attempt_result::shed, 100);
  expect_equal(f.detector.weight("a", at({})), 1.0);
}

Test(outlier_detector, ejects_an_unresponsive_member_in_bounded_time) {
  detector_fixture f;
  for (int i = 0; i < 3; ++i) f.detector.sent("a", at({}));
  f.detector.tick(at(milliseconds{1'001}));
  expect_equal(f.detector.weight("a", at(milliseconds{1'001})), 0.0);
}

Test(outlier_detector, keeps_a_slow_member_that_answers) {
  detector_fixture f;
  for (int i = 0; i < 4; ++i) f.detector.sent("a", at({}));
  f.detector.ended("a", attempt_result::answered, at(milliseconds{900}));
  f.detector.tick(at(milliseconds{1'001}));
  expect_equal(f.detector.weight("a", at(milliseconds{1'001})), 1.0);
}

Test(outlier_detector, never_ejects_more_than_the_allowed_share_of_members) {
  detector_fixture f;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) f.end(name, attempt_result::error, 50);
  expect_equal(f.detector.ejected(at({})), 2U);
  expect_equal(f.detector.counts().ejection_bound_broken, 0U);
}

Test(outlier_detector, counts_a_broken_ejection_bound) {
  detector_fixture f{{.ignore_ejection_bound = true}};
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) f.end(name, attempt_result::error, 50);
  expect_true(f.detector.counts().ejection_bound_broken > 0);
}

Test(outlier_detector, readmits_a_member_with_a_slow_start) {
  detector_fixture f;
  f.end("a", attempt_result::error, 5);
  expect_equal(f.detector.weight("a", at(seconds{1})), 0.1);
  expect_equal(f.detector.weight("a", at(milliseconds{3'500})), 0.5);
  expect_equal(f.detector.weight("a", at(seconds{6})), 1.0);
}

Test(outlier_detector, ejects_a_member_that_fails_again_for_longer) {
  detector_fixture f;
  f.end("a", attempt_result::error, 5);
  f.end("a", attempt_result::error, 5, seconds{2});
  expect_equal(f.detector.weight("a", at(milliseconds{3'500})), 0.0);
}

Test(outlier_detector, starts_a_cold_member_slowly) {
  detector_fixture f;
  f.detector.add_member("g", true, at({}));
  expect_false(f.detector.admits("g", 0.5, at({})));
  expect_true(f.detector.admits("g", 0.05, at({})));
}
