#include "masticshunt/decisions/ownership/routing_table.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::ownership;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {

agent_description agent(const std::string& name) {
  agent_description description;
  description.id = {name, 1};
  description.forward = name + ":7000";
  return description;
}

assignment_page page_of(std::uint32_t group, std::uint64_t version, key_hash first,
                        const std::string& owner) {
  assignment_page page;
  page.service = "ledger";
  page.group = group;
  page.version = version;
  page.members = {agent("a"), agent("b")};
  page.ranges = {{{first, first + 9}, {owner, 1}, {1, version}},
                 {{first + 10, first + 19}, {"b", 1}, {1, version}}};
  return page;
}

std::string owner_of(const routing_table& table, key_hash hash) {
  const auto entry = table.find("ledger", hash);
  return entry ? entry->owner->id.name : "";
}

}  // namespace

Test(routing_table, finds_the_owner_at_both_ends_of_a_range) {
  routing_table table;
  table.apply(page_of(0, 1, 100, "a"));
  expect_equal(owner_of(table, 100), "a");
  expect_equal(owner_of(table, 109), "a");
  expect_equal(owner_of(table, 110), "b");
  expect_equal(owner_of(table, 119), "b");
}

Test(routing_table, finds_no_owner_outside_its_pages) {
  routing_table table;
  table.apply(page_of(0, 1, 100, "a"));
  expect_equal(owner_of(table, 99), "");
  expect_equal(owner_of(table, 120), "");
  expect_false(table.find("viewer", 100).has_value());
}

Test(routing_table, adopts_only_strictly_newer_pages) {
  routing_table table;
  expect_true(table.apply(page_of(0, 5, 100, "a")));
  expect_false(table.apply(page_of(0, 5, 100, "b")));
  expect_false(table.apply(page_of(0, 4, 100, "b")));
  expect_equal(owner_of(table, 100), "a");
  expect_true(table.apply(page_of(0, 6, 100, "b")));
  expect_equal(owner_of(table, 100), "b");
}

Test(routing_table, keeps_pages_of_several_groups_apart) {
  routing_table table;
  table.apply(page_of(1, 1, 200, "b"));
  table.apply(page_of(0, 1, 100, "a"));
  expect_equal(owner_of(table, 105), "a");
  expect_equal(owner_of(table, 205), "b");
  expect_equal(table.page_version("ledger", 1), 1U);
  expect_equal(table.range_count(), 4U);
}

Test(routing_table, finds_no_owner_in_a_gap_within_a_page) {
  routing_table table;
  auto page = page_of(0, 1, 100, "a");
  page.ranges[1].range = {115, 119};
  table.apply(page);
  expect_equal(owner_of(table, 109), "a");
  expect_equal(owner_of(table, 112), "");
  expect_equal(owner_of(table, 115), "b");
}

Test(routing_table, finds_no_owner_if_it_has_another_incarnation) {
  routing_table table;
  auto page = page_of(0, 1, 100, "a");
  page.ranges[0].owner.incarnation = 2;
  table.apply(page);
  expect_equal(owner_of(table, 105), "");
}

Test(routing_table, returns_the_range_and_its_token) {
  routing_table table;
  table.apply(page_of(3, 7, 100, "a"));
  const auto entry = table.find("ledger", 105);
  expect_true(entry.has_value());
  expect_true(entry->range == hash_range{100, 109});
  expect_true(entry->token == fence_token{1, 7});
  expect_equal(entry->group, 3U);
}

Test(routing_table, covers_the_last_hash_of_the_key_space) {
  routing_table table;
  assignment_page page = page_of(0, 1, 100, "a");
  page.ranges = {{{0, ~key_hash{0}}, {"a", 1}, {1, 1}}};
  table.apply(page);
  expect_equal(owner_of(table, 0), "a");
  expect_equal(owner_of(table, ~key_hash{0}), "a");
}

Test(routing_table, finds_every_range_of_a_page_with_uneven_ranges) {
  routing_table table;
  auto page = page_of(0, 1, 0, "a");
  page.ranges.clear();
  key_hash first = 5;
  for (std::uint64_t index = 0; index < 60; ++index) {
    const key_hash last = first + (key_hash{1} << index % 40);
    page.ranges.push_back({{first, last}, {index % 2 == 0 ? "a" : "b", 1}, {1, index}});
    first = last + 1;
  }
  table.apply(page);
  for (const auto& range : page.ranges) {
    expect_true(table.find("ledger", range.range.first)->range == range.range);
    expect_true(table.find("ledger", range.range.last)->range == range.range);
  }
}
