#include "masticshunt/decisions/requests/link_budget.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

/// A link of 1,000 bytes a second with a burst of 1,000 bytes, half of it kept for lookups.
constexpr link_settings small_link{.bytes_per_second = 1'000,
                                   .burst = seconds{1},
                                   .lookup_reserve = 0.5,
                                   .connections = 4,
                                   .connections_for_lookups = 1};

}  // namespace

Test(link_budget, leaves_the_reserve_to_lookups) {
  link_budget link{small_link};
  expect_equal(link.take(transfer_kind::bulk, 5'000, at({})), 500U);
  expect_equal(link.take(transfer_kind::bulk, 5'000, at({})), 0U);
  expect_equal(link.take(transfer_kind::lookup, 400, at({})), 400U);
}

Test(link_budget, stops_bulk_while_lookups_run_the_budget_into_debt) {
  link_budget link{small_link};
  expect_equal(link.take(transfer_kind::lookup, 1'800, at({})), 1'800U);
  expect_equal(link.take(transfer_kind::bulk, 100, at(seconds{1})), 0U);
  expect_equal(link.take(transfer_kind::bulk, 100, at(seconds{2})), 100U);
}

Test(link_budget, sends_a_lookup_whole_or_not_at_all) {
  link_budget link{small_link};
  expect_equal(link.take(transfer_kind::lookup, 2'001, at({})), 0U);
}

Test(link_budget, tells_how_long_to_wait) {
  link_budget link{small_link};
  link.take(transfer_kind::bulk, 500, at({}));
  expect_equal(link.wait_for(transfer_kind::bulk, 100, at({})), duration{milliseconds{100}});
  expect_equal(link.wait_for(transfer_kind::lookup, 100, at({})), duration{});
}

Test(link_budget, keeps_its_rate_over_time) {
  link_budget link{small_link};
  std::uint64_t sent = 0;
  for (int i = 0; i < 1'000; ++i)
    sent += link.take(transfer_kind::bulk, 500, at(milliseconds{10} * i));
  expect_true(sent >= 10'000 && sent <= 11'000);
}

Test(link_budget, keeps_connections_free_for_lookups) {
  link_budget link{small_link};
  for (int i = 0; i < 3; ++i) expect_true(link.open_connection(transfer_kind::bulk));
  expect_false(link.open_connection(transfer_kind::bulk));
  expect_true(link.open_connection(transfer_kind::lookup));
  expect_false(link.open_connection(transfer_kind::lookup));
  link.close_connection(transfer_kind::bulk);
  expect_true(link.open_connection(transfer_kind::lookup));
}

Test(link_budget, counts_a_broken_reserve) {
  link_settings settings = small_link;
  settings.ignore_reserve = true;
  link_budget link{settings};
  link.take(transfer_kind::bulk, 5'000, at({}));
  expect_equal(link.counts().reserve_broken, 1U);
}
