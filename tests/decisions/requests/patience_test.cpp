#include "masticshunt/decisions/requests/patience.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};
const patience_settings settings;

}  // namespace

Test(patience, waits_for_what_has_just_gone) {
  patience it(settings);
  it.away("vm-1", start);
  expect_true(it.wait_for("vm-1", start + milliseconds{100}) == settings.wait);
}

Test(patience, does_not_wait_for_what_is_away_for_long) {
  patience it(settings);
  for (int i = 0; i < 10; ++i) it.away("vm-1", start + i * milliseconds{100});
  expect_true(it.wait_for("vm-1", start + seconds{1}) == settings.wait_in_long_outage);
  expect_true(it.wait_for("vm-2", start + seconds{1}) == settings.wait);
}

Test(patience, waits_again_once_it_was_back) {
  patience it(settings);
  for (int i = 0; i < 10; ++i) it.away("vm-1", start + i * milliseconds{100});
  it.back("vm-1");
  it.away("vm-1", start + seconds{1});
  expect_true(it.wait_for("vm-1", start + seconds{1}) == settings.wait);
}

Test(patience, forgets_an_outage_that_nobody_met_again) {
  patience it(settings);
  it.away("vm-1", start);
  it.away("vm-1", start + seconds{10});
  expect_true(it.wait_for("vm-1", start + seconds{10}) == settings.wait);
}
