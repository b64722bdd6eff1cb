#include "masticshunt/decisions/requests/outage_tracker.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};
const outage_tracker_settings settings;

}  // namespace

Test(outage_tracker, waits_in_a_short_outage) {
  outage_tracker tracker(settings);
  tracker.report_unavailable("vm-1", start);
  expect_true(tracker.wait_limit("vm-1", start + milliseconds{100}) == settings.wait);
}

Test(outage_tracker, does_not_wait_long_in_a_long_outage) {
  outage_tracker tracker(settings);
  for (int i = 0; i < 10; ++i) tracker.report_unavailable("vm-1", start + i * milliseconds{100});
  expect_true(tracker.wait_limit("vm-1", start + seconds{1}) == settings.wait_in_long_outage);
  expect_true(tracker.wait_limit("vm-2", start + seconds{1}) == settings.wait);
}

Test(outage_tracker, waits_again_after_a_recovery) {
  outage_tracker tracker(settings);
  for (int i = 0; i < 10; ++i) tracker.report_unavailable("vm-1", start + i * milliseconds{100});
  tracker.report_available("vm-1");
  tracker.report_unavailable("vm-1", start + seconds{1});
  expect_true(tracker.wait_limit("vm-1", start + seconds{1}) == settings.wait);
}

Test(outage_tracker, forgets_an_outage_without_recent_reports) {
  outage_tracker tracker(settings);
  tracker.report_unavailable("vm-1", start);
  tracker.report_unavailable("vm-1", start + seconds{10});
  expect_true(tracker.wait_limit("vm-1", start + seconds{10}) == settings.wait);
}
