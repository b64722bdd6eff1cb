#include "masticshunt/decisions/requests/concurrency_limit.h"

#include <cmath>

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

/// Keeps a limit saturated at an upstream that queues or sheds attempts beyond its real slots.
struct saturated_upstream {
  double real_slots = 0;
  bool sheds = false;

  void run(concurrency_limit& limit, int samples) const {
    for (int i = 0; i < samples; ++i) {
      const double in_flight = std::floor(limit.value());
      const bool shed = sheds && std::fmod(i, in_flight) >= real_slots;
      const double stretch = sheds ? 1 : std::max(1.0, in_flight / real_slots);
      limit.observe({0, duration{static_cast<duration::rep>(10e6 * stretch)},
                     static_cast<std::uint32_t>(in_flight),
                     shed ? attempt_result::shed : attempt_result::answered});
    }
  }
};

limit_settings starting_at(double slots, limit_algorithm algorithm = limit_algorithm::gradient) {
  return {.algorithm = algorithm, .start = slots};
}

}  // namespace

Test(concurrency_limit, starts_at_the_declared_slots) {
  expect_equal(concurrency_limit{starting_at(12)}.value(), 12.0);
}

Test(concurrency_limit, stays_near_correctly_declared_slots) {
  concurrency_limit limit{starting_at(12)};
  saturated_upstream{12}.run(limit, 200'000);
  expect_true(limit.value() >= 8 && limit.value() <= 15);
}

Test(concurrency_limit, shrinks_towards_fewer_slots_than_declared) {
  concurrency_limit limit{starting_at(12)};
  saturated_upstream{6}.run(limit, 200'000);
  expect_true(limit.value() <= 8);
}

Test(concurrency_limit, grows_towards_more_slots_than_declared) {
  concurrency_limit limit{starting_at(6)};
  saturated_upstream{12}.run(limit, 200'000);
  expect_true(limit.value() >= 10);
}

Test(concurrency_limit, shrinks_on_shed_answers) {
  concurrency_limit limit{starting_at(12)};
  saturated_upstream{.real_slots = 6, .sheds = true}.run(limit, 100'000);
  expect_true(limit.value() <= 8);
}

Test(concurrency_limit, does_not_starve_an_upstream_that_sheds_at_any_concurrency) {
  concurrency_limit limit{starting_at(12)};
  for (int i = 0; i < 100'000; ++i) {
    const auto in_flight = static_cast<std::uint32_t>(limit.value());
    const bool shed = i % 20 == 0;
    limit.observe(
        {0, milliseconds{10}, in_flight, shed ? attempt_result::shed : attempt_result::answered});
  }
  expect_true(limit.value() >= 9);
}

Test(concurrency_limit, shrinks_when_most_attempts_time_out) {
  concurrency_limit limit{starting_at(12)};
  for (int i = 0; i < 2'000; ++i) limit.observe({0, seconds{1}, 12, attempt_result::timed_out});
  expect_true(limit.value() <= 6);
}

Test(concurrency_limit, is_restored_once_a_frozen_upstream_answers_again) {
  concurrency_limit limit{starting_at(12)};
  for (int i = 0; i < 2'000; ++i) limit.observe({0, seconds{1}, 12, attempt_result::timed_out});
  saturated_upstream{12}.run(limit, 200);
  expect_equal(limit.value(), 12.0);
}

Test(concurrency_limit, stays_within_its_bounds) {
  expect_property([](const std::vector<std::uint8_t>& results, bool additive) {
    concurrency_limit limit{
        starting_at(4, additive ? limit_algorithm::additive : limit_algorithm::gradient)};
    for (const std::uint8_t result : results) {
      for (int i = 0; i < 40; ++i)
        limit.observe({0, milliseconds{1 + result}, 4, static_cast<attempt_result>(result % 5)});
      RC_ASSERT(limit.value() >= 1 && limit.value() <= 16);
    }
  });
}

Test(concurrency_limit, does_not_change_if_it_is_fixed) {
  concurrency_limit limit{starting_at(12, limit_algorithm::fixed)};
  saturated_upstream{3}.run(limit, 50'000);
  expect_equal(limit.value(), 12.0);
}
