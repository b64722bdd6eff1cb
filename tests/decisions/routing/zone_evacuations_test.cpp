#include "masticshunt/decisions/routing/zone_evacuations.h"

#include <random>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::seconds;

namespace {

using zones = std::set<std::string>;

const time_point start{seconds{100}};

}  // namespace

Test(zone_evacuations, a_listing_replaces_what_was_known) {
  zone_evacuations known;
  expect_true(known.listed({"a", "b"}, 10, start));
  expect_true(known.listed({"b"}, 12, start + seconds{1}));
  expect_true(known.zones() == zones{"b"});
  expect_true(known.evacuated_since("b") == start);
  expect_false(known.evacuated_since("a").has_value());
}

Test(zone_evacuations, an_older_listing_takes_nothing_back) {
  zone_evacuations known;
  known.changed({{"a", true}}, 20, start);
  expect_false(known.listed({}, 15, start));
  expect_true(known.zones() == zones{"a"});
}

Test(zone_evacuations, a_late_answer_does_not_restore_an_evacuation_that_was_taken_back) {
  zone_evacuations known;
  known.listed({}, 10, start);
  known.changed({{"a", true}, {"a", false}}, 14, start);
  expect_false(known.changed({{"a", true}}, 12, start));
  expect_true(known.zones().empty());
}

Test(zone_evacuations, written_withdrawn_and_written_again_counts_from_the_first_time) {
  zone_evacuations known;
  known.changed({{"a", true}}, 10, start);
  known.changed({{"a", false}, {"a", true}}, 13, start + seconds{2});
  expect_true(known.evacuated_since("a") == start);
}

Test(zone_evacuations, a_peer_counts_only_with_a_change_that_is_not_known_here) {
  zone_evacuations known;
  known.listed({}, 30, start);
  expect_false(known.stated_by_peer({25, {"a"}}, start));
  expect_true(known.stated_by_peer({31, {"a"}}, start));
  expect_equal(known.set().changed_at, 31U);
}

Test(zone_evacuations, an_equal_set_of_a_peer_is_known_afterwards) {
  // Else each message of that peer would be answered by fetching its set again.
  zone_evacuations known;
  known.changed({{"a", true}}, 10, start);
  expect_false(known.stated_by_peer({14, {"a"}}, start));
  expect_equal(known.known_up_to(), 14U);
}

Test(zone_evacuations, agents_that_learn_from_the_store_and_from_one_another_agree) {
  // Each agent gets a random part of the answers, late ones too, and asks random peers.
  constexpr std::uint64_t last_revision = 200;
  constexpr std::size_t agents = 12;
  const std::vector<std::string> names{"a", "b", "c"};
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<zones> history{{}};
    std::vector<evacuation_change> changes{{}};
    for (std::uint64_t revision = 1; revision <= last_revision; ++revision) {
      const evacuation_change change{names[random() % names.size()], random() % 2 == 0};
      zones next = history.back();
      if (change.evacuated)
        next.insert(change.zone);
      else
        next.erase(change.zone);
      history.push_back(next);
      changes.push_back(change);
    }
    std::vector<zone_evacuations> known(agents);
    std::vector<std::uint64_t> watched(agents, 0);
    for (std::uint64_t revision = 1; revision <= last_revision; ++revision) {
      for (std::size_t i = 0; i < agents; ++i) {
        if (i != 0 && random() % 4 == 0) {
          const auto from = watched[i];
          const auto to = from + random() % (revision - from + 1);
          const std::vector<evacuation_change> part(changes.begin() + static_cast<long>(from) + 1,
                                                    changes.begin() + static_cast<long>(to) + 1);
          known[i].changed(part, to, start);
          watched[i] = to;
        }
        const auto& peer = known[random() % agents];
        if (peer.set().changed_at > known[i].known_up_to())
          known[i].stated_by_peer(peer.set(), start);
        const auto at = known[i].known_up_to();
        expect_true(known[i].zones() == history[at], "seed " + std::to_string(seed));
      }
    }
  }
}
