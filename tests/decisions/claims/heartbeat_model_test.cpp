#include "decisions/claims/heartbeat_model.h"

#include <cstdio>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::testing;

namespace {

/// The states reached from one state by all orders of steps.
struct exploration {
  std::uint64_t states = 0;
  std::uint64_t releases = 0;  ///< States after a release that the agent reported.
  std::string violation;

  void explore(const heartbeat_model& from, std::size_t depth) {
    for (const model_step step : model_steps) {
      if (!violation.empty()) return;
      heartbeat_model next = from;
      if (!next.take(step)) continue;
      ++states;
      releases += next.released() ? 1 : 0;
      violation = next.violation();
      if (violation.empty() && depth > 1) explore(next, depth - 1);
    }
  }
};

/// Takes `steps` first, and then explores all orders of `depth` steps.
exploration explored(broken_rule broken, const std::vector<model_step>& steps, std::size_t depth) {
  heartbeat_model model(broken);
  for (const model_step step : steps) model.take(step);
  exploration result;
  result.explore(model, depth);
  return result;
}

using enum model_step;
const std::vector<model_step> keys_granted{send_heartbeat, deliver_oldest_heartbeat,
                                           answer_heartbeat, deliver_oldest_answer};
const std::vector<model_step> release_under_way{send_heartbeat,
                                                deliver_oldest_heartbeat,
                                                answer_heartbeat,
                                                deliver_oldest_answer,
                                                pass_time,
                                                order_release,
                                                pass_time,
                                                send_heartbeat,
                                                deliver_oldest_heartbeat,
                                                answer_heartbeat};
const std::vector<model_step> answer_overtaken{
    pass_time,        pass_time,     pass_time, send_heartbeat,           deliver_oldest_heartbeat,
    answer_heartbeat, order_release, pass_time, send_over_new_connection, deliver_oldest_heartbeat,
    answer_heartbeat};
const std::vector<model_step> keys_released{send_heartbeat,   deliver_oldest_heartbeat,
                                            answer_heartbeat, deliver_oldest_answer,
                                            order_release,    pass_time,
                                            pass_time,        pass_time,
                                            send_heartbeat,   deliver_oldest_heartbeat,
                                            answer_heartbeat, deliver_oldest_answer,
                                            send_heartbeat,   deliver_oldest_heartbeat,
                                            pass_time,        pass_time};

}  // namespace

Test(heartbeat_model, keeps_one_owner_and_the_lease_in_every_order_of_seven_steps) {
  constexpr std::size_t depth = 7;
  std::uint64_t states = 0;
  std::uint64_t releases = 0;
  for (const auto& start : {std::vector<model_step>{}, keys_granted, release_under_way,
                            answer_overtaken, keys_released}) {
    const auto result = explored(broken_rule::none, start, depth);
    expect_equal(result.violation, "");
    states += result.states;
    releases += result.releases;
  }
  std::printf("heartbeat model: %llu states, %llu after a release\n",
              static_cast<unsigned long long>(states), static_cast<unsigned long long>(releases));
  expect_true(releases > 0);
}

Test(heartbeat_model, finds_holds_that_are_counted_from_the_answer) {
  expect_equal(explored(broken_rule::hold_from_answer, {}, 6).violation,
               "keys are held beyond the lease");
}

Test(heartbeat_model, finds_answers_that_are_taken_for_read_over_another_connection) {
  expect_equal(explored(broken_rule::connections_not_told, answer_overtaken, 5).violation,
               "keys are held that the agent reported as released");
}

Test(heartbeat_model, finds_an_old_map_after_a_restart) {
  expect_equal(explored(broken_rule::old_map_after_a_restart, keys_released, 6).violation,
               "keys are held that the agent reported as released");
}
