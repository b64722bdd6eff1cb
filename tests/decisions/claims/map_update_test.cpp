#include "masticshunt/decisions/claims/map_update.h"

#include <random>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::claims;
using namespace masticshunt::testing;

namespace {

claim owned(key_range keys, const std::string& agent, std::uint64_t fence) {
  return {keys, {agent, 1}, {"i-" + agent, 1'000}, fence, ""};
}

claim_map map_of(std::uint64_t revision, std::vector<claim> claims) {
  claim_map map;
  map.service = "ledger";
  map.revision = revision;
  map.leader = "vm-9";
  map.claims = std::move(claims);
  return map;
}

const claim_map first = map_of(10, {owned({0, 999}, "vm-1", 1), owned({1'000, 65'535}, "vm-2", 2)});
const claim_map second = map_of(11, {owned({0, 999}, "vm-1", 1), owned({1'000, 1'099}, "vm-3", 3),
                                     owned({1'100, 65'535}, "vm-2", 2)});

}  // namespace

Test(map_update, contains_only_the_claims_that_changed) {
  claim_history history;
  history.adopt(claim_map{}, first);
  history.adopt(first, second);
  const auto update = history.changes_since(second, first.revision);
  expect_equal(update.since, first.revision);
  expect_equal(update.map.claims.size(), 2U);
  expect_true(updated(first, update) == second);
}

Test(map_update, since_no_revision_is_the_complete_map) {
  claim_history history;
  history.adopt(claim_map{}, second);
  const auto update = history.changes_since(second, 0);
  expect_true(updated(claim_map{}, update) == second);
}

Test(map_update, of_a_revision_older_than_the_history_leads_to_the_same_map) {
  claim_history history;
  history.adopt(claim_map{}, second);
  expect_true(updated(first, history.changes_since(second, first.revision)) == second);
}

Test(map_update, does_not_apply_to_an_older_map) {
  claim_history history;
  history.adopt(claim_map{}, first);
  history.adopt(first, second);
  auto older = first;
  older.revision = first.revision - 1;
  expect_false(updated(older, history.changes_since(second, first.revision)).has_value());
}

Test(map_update, that_leaves_keys_uncovered_is_refused) {
  map_update update{.map = map_of(12, {owned({0, 999}, "vm-1", 1)})};
  expect_false(updated(first, update).has_value());
  update.since = first.revision;
  update.map.claims = {owned({500, 100}, "vm-1", 9)};
  expect_false(updated(first, update).has_value());
}

Test(map_update, leads_from_any_later_map_to_the_newest) {
  constexpr int revisions = 60;
  std::mt19937_64 random(7);
  std::vector<claim_map> maps{first};
  claim_history history;
  history.adopt(claim_map{}, first);
  for (int i = 0; i < revisions; ++i) {
    auto next = maps.back();
    ++next.revision;
    const auto start = static_cast<shard_key>(random() % last_shard_key);
    const auto size = static_cast<shard_key>(random() % 2'000);
    const key_range keys{start, std::min(start + size, last_shard_key)};
    split_at(next.claims, keys);
    for (claim& each : next.claims)
      if (keys.contains(each.keys))
        each = owned(each.keys, "vm-" + std::to_string(random() % 5),
                     100 + next.revision * 1'000 + each.keys.first % 1'000);
    history.adopt(maps.back(), next);
    maps.push_back(next);
  }
  for (std::size_t since = 0; since < maps.size(); ++since) {
    const auto update = history.changes_since(maps.back(), maps[since].revision);
    for (std::size_t base = since; base < maps.size(); ++base)
      expect_true(updated(maps[base], update) == maps.back());
  }
}

Test(map_update, is_read_back_as_it_was_written) {
  claim_history history;
  history.adopt(claim_map{}, first);
  history.adopt(first, second);
  for (const std::uint64_t since : {std::uint64_t{0}, first.revision}) {
    failure reason;
    const auto update = history.changes_since(second, since);
    expect_true(update_from_cbor_bytes(to_cbor_bytes(update), reason) == update, reason.describe());
  }
}
