#include "masticshunt/operator/meaning.h"

#include "expect.h"

using namespace masticshunt;
using masticshunt::operators::not_carried_out;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

Test(not_carried_out, refuses_key_ranges) {
  const configuration::record wish{1, configuration::key_range_record{}};
  const auto reason = not_carried_out(wish);
  expect_true(reason.has_value());
  expect_equal(reason->kind, failure_kind::unsupported);
}

Test(not_carried_out, refuses_home_regions) {
  configuration::service_record service;
  service.regions = {"Alpen"};
  expect_true(not_carried_out({2, service}).has_value());
}

Test(not_carried_out, lets_services_ranks_and_drains_pass) {
  expect_false(not_carried_out({1, configuration::service_record{}}).has_value());
  expect_false(not_carried_out({1, configuration::rank_record{}}).has_value());
  expect_false(not_carried_out({1, configuration::drain_record{}}).has_value());
}
