#include "fleet/small_fleet.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(leaving_upstream, gets_no_requests_after_its_drain_time_though_its_heartbeats_say_ready) {
  small_fleet fleet(2);
  fleet.start_upstreams();
  fleet.upstream(0).say_leaving();
  fleet.send_requests(0, milliseconds{10}, seconds{4});
  expect_equal(fleet.checker().violation_count(), 0U);
  expect_true(fleet.checker().with_status(200) > fleet.checker().sent_total() * 9 / 10);
}
