// Random events at a gate: every attempt ends in exactly one way, and every bound holds.
#include <map>

#include "decisions/requests/virtual_time/draws.h"
#include "expect.h"
#include "masticshunt/decisions/requests/gate.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

enum class attempt_status { waiting, running, cancelled };

/// Drives a gate with random events and tracks the status of every attempt.
class gate_model {
 public:
  explicit gate_model(std::uint64_t seed, queue_discipline discipline) : random_(seed) {
    settings_ = {.ranks = {{.name = "a", .floor = 0.4}, {.name = "b", .floor = 0.3}, {.name = "c"}},
                 .slots = 4,
                 .queue_capacity = 48,
                 .discipline = discipline};
    gate_ = std::make_unique<gate>(settings_);
  }

  void step() {
    now_ += random_.exponential(milliseconds{2});
    gate_actions actions;
    const std::uint64_t kind = random_.below(100);
    if (kind < 55) {
      offer(actions);
    } else if (kind < 90) {
      finish(actions);
    } else if (kind < 94) {
      abandon(actions);
    } else if (kind < 99) {
      gate_->tick(now_, actions);
    } else {
      reconfigure();
    }
    for (const gate_action& action : actions)
      std::visit([this](const auto& each) { apply(each); }, action);
    check();
  }

  void check() {
    const auto waiting = std::ranges::count_if(
        attempts_, [](const auto& each) { return each.second == attempt_status::waiting; });
    expect_equal(gate_->waiting(), static_cast<std::size_t>(waiting));
    expect_equal(gate_->running(), attempts_.size() - static_cast<std::size_t>(waiting));
    expect_true(gate_->running() <= 16 + 1);
    expect_equal(gate_->counts().queue_bound_broken, 0U);
    expect_equal(gate_->counts().started_late, 0U);
    expect_equal(gate_->counts().floor_broken, 0U);
    expect_equal(gate_->counts().key_bound_broken, 0U);
  }

 private:
  void offer(gate_actions& actions) {
    request_descriptor request = lookup(++last_, static_cast<std::uint32_t>(random_.below(3)));
    request.hash = random_.below(6);
    request.caller = std::string(1, static_cast<char>('a' + random_.below(5)));
    request.deadline = now_ + random_.exponential(milliseconds{100});
    attempts_[request.attempt] = attempt_status::waiting;
    gate_->offer(request, now_, actions);
  }

  void finish(gate_actions& actions) {
    const auto found = std::ranges::find_if(
        attempts_, [](const auto& each) { return each.second != attempt_status::waiting; });
    if (found == attempts_.end()) return;
    const auto result = static_cast<attempt_result>(random_.chance(0.7) ? 0 : random_.below(5));
    const attempt_id attempt = found->first;
    attempts_.erase(found);
    gate_->finished(attempt, result, now_, actions);
  }

  void abandon(gate_actions& actions) {
    if (attempts_.empty()) return;
    const auto found = attempts_.begin();
    const attempt_id attempt = found->first;
    if (found->second == attempt_status::waiting) attempts_.erase(found);
    gate_->abandoned(attempt, now_, actions);
  }

  void reconfigure() {
    settings_.slots = 2 + static_cast<std::uint32_t>(random_.below(3));
    gate_->reconfigure(settings_, now_);
  }

  void apply(const start_attempt& action) {
    expect_true(attempts_.at(action.attempt) == attempt_status::waiting,
                "only a waiting attempt may start");
    attempts_.at(action.attempt) = attempt_status::running;
  }
  void apply(const refuse_attempt& action) {
    expect_true(attempts_.at(action.attempt) == attempt_status::waiting,
                "only a waiting attempt may be refused");
    attempts_.erase(action.attempt);
  }
  void apply(const cancel_attempt& action) {
    expect_true(attempts_.at(action.attempt) == attempt_status::running,
                "an attempt is cancelled at most once");
    attempts_.at(action.attempt) = attempt_status::cancelled;
  }

  draws random_;
  gate_settings settings_;
  std::unique_ptr<gate> gate_;
  time_point now_ = at({});
  attempt_id last_ = 0;
  std::map<attempt_id, attempt_status> attempts_;
};

void run_model(queue_discipline discipline) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    gate_model model{seed, discipline};
    for (int i = 0; i < 3'000; ++i) model.step();
  }
}

}  // namespace

Test(gate_property, every_attempt_ends_once_oldest_first) {
  run_model(queue_discipline::oldest_first);
}

Test(gate_property, every_attempt_ends_once_newest_first) {
  run_model(queue_discipline::newest_first);
}

Test(gate_property, every_attempt_ends_once_under_controlled_delay) {
  run_model(queue_discipline::controlled_delay);
}
