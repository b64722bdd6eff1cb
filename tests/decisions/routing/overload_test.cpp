// Plays more demand than the upstreams of a service have room for, in virtual time: agents choose,
// gates admit or refuse, and refused requests are offered again.
#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "expect.h"
#include "masticshunt/decisions/requests/admission_queue.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

using namespace masticshunt;
using namespace masticshunt::routing;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration target = milliseconds{500};
constexpr duration deadline = milliseconds{1'000};
constexpr duration service_time = milliseconds{300};
constexpr std::uint32_t slots = 9;
constexpr int gates_tried_max = 4;

struct played_request {
  std::size_t agent = 0;
  time_point arrived;
  std::vector<std::string> tried;
  int offers = 0;
};

struct gate {
  requests::admission_queue queue{{.slots = slots}};
  std::map<requests::admission_id, std::shared_ptr<played_request>> waiting;
  std::multimap<time_point, std::pair<requests::admission_id, std::shared_ptr<played_request>>>
      running;
};

class overload {
 public:
  overload(std::size_t agents, std::size_t gates, double per_second)
      : gates_(gates), per_second_(per_second) {
    std::vector<registration> all;
    for (std::size_t i = 0; i < gates; ++i)
      all.push_back({.agent = std::to_string(i),
                     .address = "10.0.0.1:1",
                     .zone = "z",
                     .region = "r",
                     .service = "ledger",
                     .incarnation = {"i", 1},
                     .slots = slots});
    for (std::size_t i = 0; i < agents; ++i) {
      directories_.push_back(std::make_unique<upstream_directory>("y", "r"));
      directories_.back()->replace_all(all, now_);
    }
  }
  void play(duration span) {
    double due = 0;
    for (const auto end = now_ + span; now_ < end; now_ += milliseconds{1}) {
      for (due += per_second_ / 1'000; due >= 1; due -= 1) {
        ++arrived;
        offer(std::make_shared<played_request>(
            played_request{random_() % directories_.size(), now_}));
      }
      for (std::size_t i = 0; i < gates_.size(); ++i) finish_due(i);
      if (now_.time_since_epoch() % milliseconds{20} == duration{})
        for (std::size_t i = 0; i < gates_.size(); ++i) {
          requests::admission_actions out;
          gates_[i].queue.tick(now_, out);
          carry_out(i, out);
        }
    }
  }
  int arrived = 0;
  int offers = 0;
  int in_time = 0;
  int refused = 0;
  std::vector<duration> waits_of_refused;

 private:
  void offer(const std::shared_ptr<played_request>& request) {
    auto& directory = *directories_[request->agent];
    const bool refused_before = request->offers > 0;
    const auto chosen =
        request->offers < gates_tried_max
            ? directory.choose(
                  {.service = "ledger",
                   .tried = request->tried,
                   .answer_by =
                       refused_before ? std::optional(request->arrived + target) : std::nullopt,
                   .draw = draw()},
                  now_)
            : std::nullopt;
    if (!chosen) {
      ++refused;
      waits_of_refused.push_back(now_ - request->arrived);
      return;
    }
    const auto i = static_cast<std::size_t>(std::stoul(*chosen));
    directory.sent(*chosen);
    ++offers;
    ++request->offers;
    request->tried.push_back(*chosen);
    const auto id = ++last_id_;
    gates_[i].waiting[id] = request;
    requests::admission_actions out;
    gates_[i].queue.offer({.id = id,
                           .target = target,
                           .target_time = request->arrived + target,
                           .deadline = request->arrived + deadline},
                          now_, out);
    carry_out(i, out);
  }
  void carry_out(std::size_t i, const requests::admission_actions& actions) {
    std::vector<std::shared_ptr<played_request>> again;
    for (const auto& each : actions) {
      const auto request = gates_[i].waiting.extract(each.id).mapped();
      if (each.decision == requests::admission_action::kind::start) {
        gates_[i].running.emplace(now_ + service_time, std::pair(each.id, request));
        continue;
      }
      directories_[request->agent]->ended(std::to_string(i), attempt_health::refused, load(i),
                                          now_);
      again.push_back(request);
    }
    for (const auto& each : again) offer(each);
  }
  void finish_due(std::size_t i) {
    auto& running = gates_[i].running;
    while (!running.empty() && running.begin()->first <= now_) {
      const auto [id, request] = running.begin()->second;
      running.erase(running.begin());
      if (now_ - request->arrived <= target) ++in_time;
      requests::admission_actions out;
      gates_[i].queue.finished(id, true, now_, out);
      directories_[request->agent]->ended(std::to_string(i), attempt_health::good, load(i), now_);
      carry_out(i, out);
    }
  }
  [[nodiscard]] load_report load(std::size_t i) const {
    const auto& queue = gates_[i].queue;
    return {.running = static_cast<std::uint32_t>(queue.running()),
            .waiting = static_cast<std::uint32_t>(queue.waiting()),
            .slots = slots,
            .service_time = service_time};
  }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  time_point now_{seconds{100}};
  std::mt19937_64 random_{20261206};
  std::vector<std::unique_ptr<upstream_directory>> directories_;
  std::vector<gate> gates_;
  double per_second_;
  requests::admission_id last_id_ = 0;
};

/// Requests a second that `gates` upstreams can run.
double room(std::size_t gates) {
  return static_cast<double>(gates * slots) / std::chrono::duration<double>(service_time).count();
}

}  // namespace

Test(overload, offers_a_request_to_few_gates_and_refuses_the_rest_early) {
  for (const std::size_t agents : {10, 70}) {
    constexpr std::size_t gates = 7;
    overload run(agents, gates, 2.5 * room(gates));
    run.play(seconds{10});
    const auto name = std::to_string(agents) + " agents";
    // Each further offer carries the body once more over the links of gates that have no room.
    expect_true(run.offers < 1.5 * run.arrived, name + ": " + std::to_string(run.offers));
    std::ranges::sort(run.waits_of_refused);
    const auto late = run.waits_of_refused[run.waits_of_refused.size() * 9 / 10];
    expect_true(late <= target, name);
  }
}

Test(overload, fills_the_room_that_there_is) {
  constexpr std::size_t gates = 7;
  overload run(20, gates, 1.5 * room(gates));
  run.play(seconds{10});
  expect_true(run.in_time >= 0.9 * room(gates) * 10, std::to_string(run.in_time));
}

Test(overload, leaves_nobody_without_an_answer_when_there_is_room) {
  constexpr std::size_t gates = 7;
  overload run(20, gates, 0.8 * room(gates));
  run.play(seconds{10});
  expect_true(run.refused <= run.arrived / 50, std::to_string(run.refused));
}
