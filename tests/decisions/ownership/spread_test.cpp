#include "masticshunt/decisions/ownership/spread.h"

#include <nlohmann/json.hpp>
#include <random>

#include "decisions/ownership/spread_network.h"
#include "expect.h"
#include "masticshunt/decisions/ownership/spread_patch.h"

using namespace masticshunt;
using namespace masticshunt::ownership;
using namespace masticshunt::testing;
using namespace std::chrono_literals;

namespace {

std::string random_text(std::size_t bytes, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text(bytes, ' ');
  for (auto& character : text) character = static_cast<char>('a' + random() % 26);
  return text;
}

bool reaches_all(spread_network& network, const versioned_object& object, duration bound) {
  return network.run(
      bound, [&] { return network.holders(object.name, object.version) == network.size(); });
}

template <class Message>
Message through_cbor(const Message& message) {
  return nlohmann::json::from_cbor(nlohmann::json::to_cbor(nlohmann::json(message)))
      .template get<Message>();
}

}  // namespace

Test(spread, delivers_a_change_to_36_agents_of_three_regions_within_two_seconds) {
  spread_network network({.regions = 3, .agents_per_region = 12});
  network.run(1s);
  const versioned_object change{"config/rank/x", 5, "urgent", false};
  network.put(0, change);
  expect_true(reaches_all(network, change, 2s));
}

Test(spread, delivers_a_change_to_a_thousand_agents_of_ten_regions_within_eight_seconds) {
  spread_network network({.regions = 10, .agents_per_region = 100});
  network.run(1s);
  const versioned_object change{"config/rank/x", 5, "urgent", false};
  network.put(0, change);
  expect_true(reaches_all(network, change, 8s));
}

Test(spread, sends_the_value_of_a_change_only_once_to_each_agent) {
  spread_network network({.regions = 3, .agents_per_region = 20});
  network.run(1s);
  network.put(0, {"config/rank/x", 5, "urgent", false});
  network.run(5s);
  expect_equal(network.adoptions, network.size() - 1);
}

Test(spread, never_replaces_a_version_by_an_older_one) {
  spread_network network({.agents_per_region = 4});
  network.put(0, {"config/rank/x", 9, "new", false});
  network.run(3s);
  network.put(1, {"config/rank/x", 8, "old", false});
  network.run(30s);
  expect_equal(network.agent(1).find("config/rank/x")->value, "new");
  expect_equal(network.holders("config/rank/x", 9), 4U);
}

Test(spread, disseminates_deletions_as_versions) {
  spread_network network({.agents_per_region = 6});
  network.put(0, {"config/drain/x", 5, "all", false});
  network.run(3s);
  network.put(2, {"config/drain/x", 6, "", true});
  network.run(3s);
  expect_equal(network.holders("config/drain/x", 6), 6U);
  expect_false(network.agent(5).find("config/drain/x").has_value());
}

Test(spread, repairs_differences_after_message_loss) {
  spread_network network({.regions = 2, .agents_per_region = 8});
  network.run(1s);
  std::mt19937_64 random(7);
  network.lost = [&](std::size_t, std::size_t) { return random() % 2 == 0; };
  const versioned_object change{"config/rank/x", 5, "urgent", false};
  network.put(0, change);
  network.run(2s);
  network.lost = nullptr;
  expect_true(reaches_all(network, change, 25s));
}

Test(spread, converges_after_regions_were_partitioned_for_an_hour) {
  spread_network network({.regions = 2, .agents_per_region = 6});
  network.lost = [](std::size_t from, std::size_t to) { return (from < 6) != (to < 6); };
  for (std::uint64_t version = 1; version <= 200; ++version) {
    network.put(version % 12, {"config/rank/" + std::to_string(version), version, "v", false});
  }
  network.run(1h);
  network.lost = nullptr;
  const auto same = [&] {
    for (std::size_t index = 0; index < network.size(); ++index) {
      if (network.agent(index).size() != 200) return false;
      if (network.agent(index).root_hash() != network.agent(0).root_hash()) return false;
    }
    return true;
  };
  expect_true(network.run(60s, same));
}

Test(spread, carries_a_value_of_a_megabyte_in_messages_under_64_kib) {
  spread_network network({.agents_per_region = 4});
  const versioned_object page{"groups/ledger/1", 5, random_text(1 << 20, 1), false};
  network.put(0, page);
  expect_true(reaches_all(network, page, 600s));
  expect_equal(network.agent(3).find(page.name)->value, page.value);
  expect_true(network.largest_message_bytes < 64 * 1024);
}

Test(spread, sends_a_small_change_of_a_large_page_as_a_patch) {
  spread_network network({.agents_per_region = 4});
  versioned_object page{"groups/ledger/1", 5, random_text(100'000, 1), false};
  network.put(0, page);
  network.run(60s);
  const auto before = network.bytes;
  page.version = 6;
  page.value.replace(50'000, 5, "AGENT-17");
  network.put(1, page);
  expect_true(reaches_all(network, page, 2s));
  expect_equal(network.agent(2).find(page.name)->value, page.value);
  expect_true(network.bytes - before < 10'000, "a patch is small");
}

Test(spread, requests_the_whole_value_if_a_patch_does_not_match) {
  spread_network network({.agents_per_region = 2});
  network.agent(1).put({"groups/ledger/1", 5, random_text(4'000, 2), false}, network.now());
  versioned_object page{"groups/ledger/1", 5, random_text(4'000, 1), false};
  network.put(0, page);
  page.version = 6;
  page.value[2'000] = 'X';
  network.put(0, page);
  expect_true(reaches_all(network, page, 5s));
  expect_equal(network.agent(1).find(page.name)->value, page.value);
  expect_equal(network.agent(1).counters().patches_refused, 1U);
}

Test(spread, keeps_within_its_byte_rate) {
  spread_network network(
      {.agents_per_region = 4, .bytes_per_second = 8'000, .burst_bytes = 20'000});
  for (std::uint64_t version = 1; version <= 2'000; ++version) {
    network.put(0, {"config/rank/" + std::to_string(version), version, random_text(300, 3), false});
  }
  network.run(30s);
  const auto overshoot_bytes = 64 * 1024;
  expect_true(network.agent(0).counters().bytes_sent < 20'000 + 30 * 8'000 + overshoot_bytes);
}

Test(spread, waits_for_its_notice_interval_while_its_budget_is_spent) {
  spread_settings settings;
  settings.self = "a";
  settings.burst_bytes = 100;
  spread agent(settings);
  agent.set_peers("page", {{"b", ""}, {"c", ""}});
  const time_point now{1h};
  agent.put({"config/rank/x", 1, "v", false}, now);
  agent.tick(now);
  agent.tick(now);
  expect_true(agent.next_wake(now + 20s) >= now + 20s + settings.notice_interval);
}

Test(spread, synchronises_a_new_agent) {
  spread_network network({.agents_per_region = 6});
  network.lost = [](std::size_t from, std::size_t to) { return from == 5 || to == 5; };
  for (std::uint64_t version = 1; version <= 3'000; ++version) {
    network.agent(version % 5)
        .put({"config/rank/" + std::to_string(version), version, "v", false}, network.now());
  }
  network.run(60s);
  network.lost = nullptr;
  const auto complete = [&] { return network.agent(5).size() == 3'000; };
  expect_true(network.run(60s, complete));
}

Test(spread, chooses_another_peer_for_one_that_failed) {
  spread_network network({.agents_per_region = 30});
  const auto failed = network.agent(0).neighbours().front();
  network.agent(0).forget_peer(failed);
  network.run(30s);
  expect_true(network.agent(0).neighbours().size() >= 4);
}

Test(spread, does_not_adopt_a_deleted_object_from_a_peer_after_its_tombstone_was_purged) {
  spread_settings settings;
  settings.self = "a";
  spread agent(settings);
  time_point now{1h};
  agent.put({"config/drain/x", 5, "all", false}, now);
  agent.put({"config/drain/x", 6, "", true}, now);
  now += 25h;
  agent.tick(now);
  agent.handle("b", spread_objects{{{"config/drain/x", 5, false, 3, 0, "all", {}}}}, now);
  expect_false(agent.find("config/drain/x").has_value());
}

Test(spread_patch, rebuilds_the_new_value) {
  std::mt19937_64 random(11);
  auto old_value = random_text(5'000, 4);
  for (int round = 0; round < 50; ++round) {
    auto next = old_value;
    for (int edit = 0; edit < 5; ++edit) {
      const auto at = random() % next.size();
      next.replace(at, std::min<std::size_t>(random() % 40, next.size() - at),
                   random_text(random() % 40, random()));
    }
    expect_true(apply_patch_steps(old_value, make_patch_steps(old_value, next)) == next);
    old_value = next;
  }
}

Test(spread_patch, refuses_steps_that_reach_outside_the_old_value) {
  const auto steps = make_patch_steps(random_text(100, 5), random_text(100, 5));
  expect_false(apply_patch_steps("short", steps).has_value());
}

Test(spread_messages, round_trip_through_cbor) {
  const spread_notice notice{{{1, 2}, {~0ULL, 4}}, {7}};
  expect_true(through_cbor(notice) == notice);
  const spread_pull pull{{{1, 2, 3, 4}}};
  expect_true(through_cbor(pull) == pull);
  const spread_objects objects{{{"n", 3, true, 9, 4, std::string("\0\xff", 2), {{1, 3, 5, "s"}}}}};
  expect_true(through_cbor(objects) == objects);
  const spread_digest digest{2, {{3, 4}}, true};
  expect_true(through_cbor(digest) == digest);
}

Test(spread_messages, ignore_unknown_fields) {
  const auto notice = nlohmann::json::parse(R"({"e":[[1,2]],"later":true})").get<spread_notice>();
  expect_equal(notice.entries.size(), 1U);
}
