#include "masticshunt/decisions/requests/memory_budget.h"

#include <algorithm>
#include <optional>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t megabyte = std::uint64_t{1} << 20U;

memory_budget budget_of(std::uint64_t megabytes) {
  return memory_budget({.memory = megabytes * megabyte});
}

}  // namespace

Test(memory_budget, callers_and_peers_have_shares_of_their_own) {
  auto budget = budget_of(160);
  expect_true(budget.reserve(memory_share::callers, budget.limit(memory_share::callers)));
  expect_false(budget.reserve(memory_share::callers, 1));
  expect_true(budget.reserve(memory_share::peers, budget.limit(memory_share::peers)));
}

Test(memory_budget, leaves_a_part_of_the_usable_memory_to_nobody) {
  for (const std::uint64_t megabytes : {64, 160, 512, 4'096}) {
    const auto budget = budget_of(megabytes);
    const auto shares = budget.limit(memory_share::callers) + budget.limit(memory_share::peers);
    expect_true(shares < megabytes * megabyte * 3 / 4 - 20 * megabyte, std::to_string(megabytes));
  }
}

Test(memory_budget, a_tiny_vm_still_takes_a_large_body) {
  auto budget = budget_of(8);
  expect_true(budget.reserve(memory_share::callers, megabyte));
}

Test(memory_budget, charged_bytes_leave_nothing_to_reserve) {
  auto budget = budget_of(160);
  budget.charge(memory_share::callers, 2 * budget.limit(memory_share::callers));
  expect_false(budget.reserve(memory_share::callers, 1));
  expect_true(budget.under_pressure(memory_share::callers));
  expect_false(budget.under_pressure(memory_share::peers));
  budget.release(memory_share::callers, 2 * budget.limit(memory_share::callers));
  expect_equal(budget.held(memory_share::callers), 0U);
}

Test(held_bytes, are_given_back_once) {
  auto budget = budget_of(160);
  {
    held_bytes first(budget, memory_share::callers);
    expect_true(first.grow_to(1'000));
    expect_true(first.grow_to(400));
    held_bytes second = std::move(first);
    expect_equal(budget.held(memory_share::callers), 1'000U);
    second.set(300);
    expect_equal(budget.held(memory_share::callers), 300U);
    held_bytes third(budget, memory_share::callers);
    third.set(50);
    third = std::move(second);
    expect_equal(budget.held(memory_share::callers), 300U);
  }
  expect_equal(budget.held(memory_share::callers), 0U);
}

Test(held_bytes, that_can_not_grow_stay_as_they_are) {
  auto budget = budget_of(160);
  held_bytes held(budget, memory_share::peers);
  expect_true(held.grow_to(1'000));
  expect_false(held.grow_to(budget.limit(memory_share::peers) + 1));
  expect_equal(held.bytes(), 1'000U);
  expect_equal(budget.held(memory_share::peers), 1'000U);
}

Test(connections_to_close, are_none_in_calm) {
  expect_true(connections_to_close({{1, megabyte, 0, seconds{20}}}, 0).empty());
}

Test(connections_to_close, are_those_with_the_least_progress_for_what_they_hold) {
  const std::vector<connection_holding> holdings{
      {1, 500'000, 0, seconds{2}},        // has stopped
      {2, 500'000, 400'000, seconds{2}},  // reads well
      {3, 500'000, 2'000, seconds{2}},    // dribbles
      {4, 20'000, 2'000, seconds{2}},     // is slow, but holds little
  };
  const auto first = connections_to_close(holdings, 1);
  expect_equal(first.size(), 1U);
  expect_equal(first.front(), 1U);
  const auto all = connections_to_close(holdings, 10 * megabyte);
  expect_equal(all.size(), 2U);
  expect_equal(all.back(), 3U);
}

Test(connections_to_close, leave_alone_who_has_just_begun_or_holds_next_to_nothing) {
  const std::vector<connection_holding> holdings{{1, 500'000, 0, milliseconds{900}},
                                                 {2, 3'000, 0, seconds{20}}};
  expect_true(connections_to_close(holdings, 10 * megabyte).empty());
}

Test(connections_to_close, dribbling_a_byte_at_a_time_does_not_help) {
  expect_equal(connections_to_close({{1, 500'000, 3, seconds{3}}}, 1).size(), 1U);
}
