#include "fleet/small_fleet.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string published_stage(small_fleet& fleet) {
  return fleet.store().spec("masticshunt-upstreams", "vm-1").at("stage");
}

}  // namespace

// Guards against the use of an upstream that has left, as an earlier process acknowledged while the
// store was away: review/8, DRAIN.
Test(restarted_agent, sends_nothing_to_an_upstream_of_which_only_the_store_says_that_it_is_ready) {
  small_fleet fleet(
      2, [](auto&, std::size_t) {}, small_fleet::desired_state(1), "ready");
  fleet.upstream(0).set_heartbeats_silent(true);
  fleet.upstream(0).start();
  fleet.send_requests(0, milliseconds{20}, milliseconds{400});
  fleet.send_requests(1, milliseconds{20}, milliseconds{400});
  expect_equal(fleet.upstream(0).arrived(), 0U);
  expect_equal(fleet.checker().with_status(200), 0U);
  fleet.run_for(seconds{2});
  expect_equal(published_stage(fleet), "gone", "so that peers try it no more");
  fleet.upstream(0).set_heartbeats_silent(false);
  fleet.run_for(seconds{1});
  fleet.send_requests(0, milliseconds{20}, milliseconds{400});
  expect_true(fleet.upstream(0).arrived() > 0);
  expect_equal(published_stage(fleet), "ready");
}
