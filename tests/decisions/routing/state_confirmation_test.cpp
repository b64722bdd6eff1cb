#include "masticshunt/decisions/routing/state_confirmation.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

namespace {

constexpr duration step = milliseconds{10};

/// Returns how often one of `agents` agents asks in `span`.
int questions_in(duration span, std::size_t agents) {
  state_confirmation confirmation({.bound = std::chrono::seconds{2}, .questions_per_bound = 8});
  int questions = 0;
  for (time_point now{}; now < time_point{span}; now += step)
    if (confirmation.due(now, agents, 0.5)) ++questions;
  return questions;
}

}  // namespace

Test(state_confirmation, asks_as_often_for_all_agents_together_whatever_their_number) {
  expect_equal(questions_in(std::chrono::seconds{10}, 1), 39);
  expect_equal(questions_in(std::chrono::seconds{100}, 10), 39);
  expect_equal(questions_in(std::chrono::seconds{10'000}, 1'000), 39);
}

Test(state_confirmation, asks_soon_if_the_watch_does_not_bring_what_a_peer_had) {
  state_confirmation confirmation({.watch_delay = milliseconds{400}});
  const time_point start{};
  expect_true(!confirmation.due(start, 1'000, 0.5));
  confirmation.version_learned_from_peer(start);
  expect_true(!confirmation.due(start + milliseconds{399}, 1'000, 0.5));
  expect_true(confirmation.due(start + milliseconds{400}, 1'000, 0.5));
  expect_true(!confirmation.due(start + milliseconds{401}, 1'000, 0.5));
}

Test(state_confirmation, does_not_ask_early_if_the_watch_brings_the_version_too) {
  state_confirmation confirmation({.watch_delay = milliseconds{400}});
  const time_point start{};
  expect_true(!confirmation.due(start, 1'000, 0.5));
  confirmation.version_learned_from_peer(start);
  confirmation.store_answered();
  expect_true(!confirmation.due(start + milliseconds{500}, 1'000, 0.5));
}
