// Compares the results of the request policies with those of naive policies on the same trace.
#include "decisions/requests/virtual_time/policy_run.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::testing;

namespace {

/// The results of both sets of policies on one trace.
struct comparison {
  run_result product;
  run_result naive;
};

scenario short_run(fault what = fault::none) {
  return {.name = "short",
          .what = what,
          .length = std::chrono::seconds{10},
          .warm_up = std::chrono::seconds{3}};
}

comparison compare(const deployment& where, const scenario& run) {
  const trace requests = make_trace(where, run, 1);
  const policy_set product = product_policies();
  const policy_set naive = naive_policies();
  return {policy_run(where, run, requests, product, 1).run(),
          policy_run(where, run, requests, naive, 1).run()};
}

double served_share(const rank_result& rank) {
  return static_cast<double>(rank.served) / static_cast<double>(rank.offered);
}

}  // namespace

Test(request_policies, serve_the_same_as_naive_policies_under_normal_load) {
  comparison both = compare(llyfrnod(), short_run());
  for (std::uint32_t rank = 0; rank < rank_count; ++rank)
    expect_true(served_share(both.product.ranks[rank]) > 0.99 &&
                served_share(both.naive.ranks[rank]) > 0.99);
}

Test(request_policies, keep_urgent_work_served_in_a_flood_where_naive_policies_do_not) {
  scenario run = short_run();
  run.load_factor = {1, 1, 50};
  comparison both = compare(llyfrnod(), run);
  expect_true(served_share(both.product.ranks[urgent_rank]) > 0.99);
  expect_true(served_share(both.naive.ranks[urgent_rank]) < 0.5);
  expect_true(both.product.goodput(llyfrnod(), run) >= 0.95);
}

Test(request_policies, keep_the_floors_of_other_ranks_when_urgent_work_floods) {
  const deployment where = llyfrnod();
  scenario run = short_run();
  run.load_factor = {67, 1, 1};
  comparison both = compare(where, run);
  const double seconds = std::chrono::duration<double>(run.length - run.warm_up).count();
  for (std::uint32_t rank = 1; rank < rank_count; ++rank) {
    const rank_result& kept = both.product.ranks[rank];
    const double due =
        std::min(kept.offered_work, where.ranks[rank].floor * where.capacity() * seconds);
    expect_true(kept.served_work >= 0.95 * due);
  }
}

Test(request_policies, keep_a_stalled_key_from_delaying_others) {
  comparison normal = compare(imhof(), short_run());
  comparison stalled = compare(imhof(), short_run(fault::key_stalled));
  const auto p99 = [](comparison& both) {
    return static_cast<double>(both.product.ranks[urgent_rank].percentile(0.99).count());
  };
  expect_true(p99(stalled) <= 1.1 * p99(normal));
}

Test(request_policies, keep_retries_under_a_tenth_when_one_target_of_six_is_lost) {
  comparison both = compare(imhof(), short_run(fault::target_lost));
  expect_true(both.product.retry_share() <= 0.1);
}
