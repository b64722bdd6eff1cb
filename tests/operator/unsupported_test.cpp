#include "masticshunt/operator/unsupported.h"

#include "expect.h"

using namespace masticshunt;
using masticshunt::operators::find_unsupported;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

Test(find_unsupported, refuses_key_ranges) {
  const configuration::record key_range{1, configuration::key_range_record{}};
  const auto reason = find_unsupported(key_range);
  expect_true(reason.has_value());
  expect_equal(reason->kind, failure_kind::unsupported);
}

Test(find_unsupported, refuses_home_regions) {
  configuration::service_record service;
  service.regions = {"Alpen"};
  expect_true(find_unsupported({2, service}).has_value());
}

Test(find_unsupported, accepts_services_ranks_and_drains) {
  expect_false(find_unsupported({1, configuration::service_record{}}).has_value());
  expect_false(find_unsupported({1, configuration::rank_record{}}).has_value());
  expect_false(find_unsupported({1, configuration::drain_record{}}).has_value());
}
