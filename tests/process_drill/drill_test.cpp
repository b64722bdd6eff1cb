#include "process_drill/keyed_processes.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration away{seconds{1}};

}  // namespace

// Guards against keys that are granted with fences of a lost map: review/11, OWNER.
Test(drill_of_processes, planned_restarts_after_it_bring_back_no_fence) {
  keyed_processes fleet;
  const auto copy = fleet.store().data();
  const auto before = fleet.map();
  fleet.heat_some_keys();
  fleet.run_until_keys_moved(before, 3);
  fleet.drill(copy, away);
  fleet.cool_keys();
  fleet.run_for(seconds{4});
  for (std::size_t i = 0; i < keyed_processes::agents; ++i) {
    fleet.stop(i);
    fleet.run_for(seconds{3});
  }
  fleet.run_for(seconds{6});
  expect_equal(fleet.checker().violation_count(), 0U);
}

// Guards against a service that stops since no map can be written over the restored one.
Test(drill_of_processes, alone_refuses_no_request_once_the_store_is_back) {
  keyed_processes fleet;
  const auto copy = fleet.store().data();
  const auto before = fleet.map();
  fleet.heat_some_keys();
  fleet.run_until_keys_moved(before, 3);
  fleet.drill(copy, away);
  const auto restored = fleet.map_revision();
  fleet.run_for(milliseconds{1'500});
  expect_true(fleet.map_revision() > restored, "the leader writes its map again");
  const auto failed = fleet.failed();
  const auto sent = fleet.sent();
  fleet.run_for(seconds{20});
  expect_true(fleet.sent() > sent + 1'000);
  expect_equal(fleet.failed(), failed);
  expect_equal(fleet.checker().violation_count(), 0U);
}
