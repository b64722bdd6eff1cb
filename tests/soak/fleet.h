/// @file
/// Many agents' decisions in virtual time, over a fake network and a fake store.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "masticshunt/decisions/configuration/records.h"
#include "masticshunt/decisions/ownership/agent_core.h"
#include "masticshunt/decisions/ownership/page.h"
#include "soak/fake_store.h"

namespace masticshunt::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// True time of the run; every agent's clock runs at its own rate beside it.
using true_time = duration;

/// How a fleet is built.
struct fleet_settings {
  std::size_t agents = 6;
  std::size_t regions = 3;
  std::size_t domains_per_region = 2;
  std::uint64_t seed = 1;
  bool clocks_drift = true;
  double drift_ppm = 200;
  bool move_when_isolated = false;
  std::string service = "viewer";
  std::string second_service;  ///< Of every second agent; empty for none.
  ownership::lease_timing timing;
  ownership::fault_injection faults;
};

/// One agent, its clock, and the upstream beside it.
struct node {
  std::string name;
  std::uint64_t incarnation = 0;
  endpoint control;
  std::string region;
  std::string failure_domain;
  double clock_rate = 1;
  duration clock_offset{};
  std::unique_ptr<ownership::agent_core> core;  ///< Empty while the process is gone.
  true_time paused_until{};
  std::uint64_t timer_generation = 0;
  std::uint64_t life = 0;  ///< Rises with every start and crash; late events find another life.
  bool stopped = false;
  std::map<std::string, std::uint64_t> records;  ///< Versions put in force in this life.
  std::optional<true_time> drained_since;        ///< Its drain order is in force.
  std::deque<true_time> store_calls;
  std::uint64_t store_calls_total = 0;

  [[nodiscard]] bool alive() const { return core != nullptr; }
  [[nodiscard]] time_point local(true_time now) const {
    return time_point{clock_offset + duration{static_cast<duration::rep>(
                                         static_cast<double>(now.count()) * clock_rate)}};
  }
  [[nodiscard]] true_time to_true(time_point local_time) const {
    return duration{static_cast<duration::rep>(
        static_cast<double>((local_time.time_since_epoch() - clock_offset).count()) / clock_rate)};
  }
};

/// Faults of the surroundings that are in force now.
struct environment_faults {
  double message_loss = 0;
  duration message_delay_most{};  ///< Added at random.
  bool store_down = false;
  duration store_delay_most{};
  double store_answer_loss = 0;
  std::set<std::pair<std::size_t, std::size_t>> cut;  ///< One-way links that carry nothing.
  std::set<std::size_t> cut_from_store;
};

/// The fleet. Events are handled one at a time; everything follows from the seed.
class fleet {
 public:
  explicit fleet(fleet_settings given) : settings(std::move(given)), random(settings.seed) {
    for (std::size_t index = 0; index < settings.agents; ++index) add_node(index);
    put_service_record();
  }

  void start_all() {
    for (std::size_t index = 0; index < nodes.size(); ++index) start(index);
  }

  void start(std::size_t index) {
    auto& one = nodes[index];
    ++one.life;
    ++one.incarnation;
    one.stopped = false;
    one.records.clear();
    one.drained_since.reset();
    one.paused_until = {};
    ownership::core_settings core;
    core.self = {{one.name, one.incarnation},
                 one.control,
                 "f" + one.control,
                 "c" + one.control,
                 one.region,
                 one.failure_domain,
                 2,
                 {}};
    core.timing = settings.timing;
    core.faults = settings.faults;
    core.seed = settings.seed * 1000 + index * 10 + one.incarnation;
    one.core = std::make_unique<ownership::agent_core>(core);
    log_event(one.name + " starts as incarnation " + std::to_string(one.incarnation));
    deliver(index, ownership::started{});
    announce(index);
  }

  void announce(std::size_t index) {
    deliver(index, ownership::upstream_announced{
                       {service_of(index), "u" + nodes[index].control, 1, 12, 120, false}});
  }

  void crash(std::size_t index) {
    auto& one = nodes[index];
    if (!one.alive()) return;
    log_event(one.name + " crashes");
    ++one.life;
    one.core.reset();
    if (on_crash) on_crash(index);
  }

  void pause(std::size_t index, duration length) {
    auto& one = nodes[index];
    if (!one.alive()) return;
    one.paused_until = std::max(one.paused_until, now + length);
    log_event(one.name + " pauses for " + std::to_string(length / milliseconds{1}) + " ms");
  }

  /// Runs until `end`, or until `steps` events have been handled.
  void run_until(true_time end) {
    while (!queue.empty() && queue.top().at <= end) {
      auto entry = queue.top();
      queue.pop();
      now = entry.at;
      ++steps;
      entry.action();
    }
    now = end;
  }
  void run_for(duration length) { run_until(now + length); }

  void at(true_time when, std::function<void()> action) {
    queue.push({std::max(when, now), next_order++, std::move(action)});
  }

  /// Hands an event to an agent, after its pause if it is paused.
  void deliver(std::size_t index, ownership::event what) {
    auto& one = nodes[index];
    if (!one.alive()) return;
    if (one.paused_until > now) {
      const auto life = one.life;
      at(one.paused_until, [this, index, life, what = std::move(what)] {
        if (nodes[index].life == life) deliver(index, what);
      });
      return;
    }
    for (auto& action : one.core->handle(what, one.local(now))) perform(index, action);
  }

  void log_event(std::string text) {
    trace.push_back({now, std::move(text)});
    if (trace.size() > trace_kept) trace.pop_front();
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(random); }
  std::size_t draw_below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  }
  duration draw_up_to(duration most) {
    return duration{static_cast<duration::rep>(static_cast<double>(most.count()) * draw())};
  }

  std::optional<ownership::assignment_page> stored_page() const {
    const auto object = store.find("groups/" + settings.service + "/0");
    failure reason;
    return object ? ownership::page_from_object(*object, reason) : std::nullopt;
  }
  const std::string& service_of(std::size_t index) const {
    const bool second = !settings.second_service.empty() && index % 2 == 1;
    return second ? settings.second_service : settings.service;
  }
  std::optional<std::size_t> index_of(const std::string& name) const {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      if (nodes[index].name == name) return index;
    }
    return std::nullopt;
  }

  struct traced {
    true_time at;
    std::string text;
  };

  fleet_settings settings;
  std::mt19937_64 random;
  std::vector<node> nodes;
  fake_store store;
  environment_faults environment;
  true_time now{};
  std::uint64_t steps = 0;
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;
  std::deque<traced> trace;
  std::function<void(std::size_t, const ownership::finish_range&)> on_finish;
  std::function<void(std::size_t)> on_crash;
  std::function<void(std::size_t, const ownership::record_in_force&)> on_record;
  std::function<void(const std::string&)> on_violation;
  std::function<void(std::size_t, const ownership::send_message&)> on_send;

 private:
  static constexpr std::size_t trace_kept = 4000;
  static constexpr std::size_t codec_checked_every = 16;

  struct scheduled {
    true_time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void add_node(std::size_t index) {
    node one;
    one.name = "agent-" + std::to_string(index);
    one.control = "10.0.0." + std::to_string(index) + ":7400";
    const std::size_t region = index % settings.regions;
    const std::size_t domain = index / settings.regions % settings.domains_per_region;
    one.region = "region-" + std::to_string(region);
    one.failure_domain = one.region + "-" + std::to_string(domain);
    if (settings.clocks_drift) one.clock_rate = 1 + (2 * draw() - 1) * settings.drift_ppm / 1e6;
    one.clock_offset = seconds{1 + static_cast<int>(draw_below(100'000))};
    nodes.push_back(std::move(one));
  }

  void put_service_record() {
    configuration::service_record service;
    service.name = settings.service;
    service.default_rank = "normal";
    service.ranges_per_member = 4;
    if (settings.move_when_isolated) service.isolation = configuration::isolation_policy::move;
    const configuration::record record{1, service};
    store.put(configuration::object_name(record), configuration::to_value(record));
  }

  void perform(std::size_t index, const ownership::action& action) {
    std::visit([&](const auto& typed) { act(index, typed); }, action);
  }

  void act(std::size_t index, const ownership::send_message& what) {
    ++messages;
    if (on_send) on_send(index, what);
    const auto target = std::ranges::find(nodes, what.to, &node::control);
    if (target == nodes.end()) return;
    const auto to = static_cast<std::size_t>(target - nodes.begin());
    if (environment.cut.contains({index, to}) || draw() < environment.message_loss) return;
    const bool same_region = target->region == nodes[index].region;
    const duration base =
        same_region ? duration{std::chrono::microseconds{1500}} : milliseconds{12};
    const duration delay =
        base + draw_up_to(milliseconds{1}) + draw_up_to(environment.message_delay_most);
    auto body = through_codec(what.body, nodes[index].control);
    const auto life = target->life;
    at(now + delay, [this, index, to, life, body = std::move(body)] {
      if (nodes[to].life != life) return;
      deliver(to, ownership::message_received{nodes[index].control, body});
    });
  }

  ownership::message through_codec(const ownership::message& body, const endpoint& from) {
    if (messages % codec_checked_every != 0) return body;
    const auto bytes = ownership::encode(body, from);
    message_bytes += bytes.size() * codec_checked_every;
    failure reason;
    auto decoded = ownership::decode(bytes, reason);
    if (!decoded || decoded->from != from || decoded->body.index() != body.index()) {
      on_violation("a control message does not survive its codec: " + reason.message);
      return body;
    }
    return decoded->body;
  }

  void act(std::size_t index, const ownership::store_read& call) {
    call_store(
        index, [this, call] { return store.read(call); },
        ownership::store_read_done{call.call, {}, {failure_kind::unavailable, {}, {}}});
  }
  void act(std::size_t index, const ownership::store_write& call) {
    call_store(
        index, [this, call] { return store.write(call); },
        ownership::store_write_done{call.call, {}, {}, {failure_kind::unavailable, {}, {}}});
  }
  void act(std::size_t index, const ownership::store_list& call) {
    const ownership::store_list_done failed{call.call, {}, 0, {failure_kind::unavailable, {}, {}}};
    if (!call.after_revision) {
      call_store(
          index, [this, call] { return store.list(call); }, failed);
      return;
    }
    count_store_call(index);
    wait_for_change(index, call, now + seconds{20});
  }

  void wait_for_change(std::size_t index, const ownership::store_list& call, true_time end) {
    const auto life = nodes[index].life;
    at(now + milliseconds{50}, [this, index, call, end, life] {
      if (nodes[index].life != life) return;
      if (environment.store_down || environment.cut_from_store.contains(index)) {
        deliver(index,
                ownership::store_list_done{call.call, {}, 0, {failure_kind::unavailable, {}, {}}});
        return;
      }
      auto answer = store.list(call);
      if (answer.objects->empty() && now < end) {
        wait_for_change(index, call, end);
        return;
      }
      deliver(index, std::move(answer));
    });
  }

  void count_store_call(std::size_t index) {
    auto& one = nodes[index];
    ++one.store_calls_total;
    one.store_calls.push_back(now);
    while (one.store_calls.front() < now - seconds{10}) one.store_calls.pop_front();
    constexpr std::size_t most_in_ten_seconds = 5 * 10 + 20;
    if (one.store_calls.size() > most_in_ten_seconds) {
      on_violation(one.name + " exceeds its budget of store calls");
    }
  }

  /// Sends a call that reaches the store after a delay; its answer may be late or lost, and the
  /// caller then learns only that the store is unavailable.
  template <class Call, class Answer>
  void call_store(std::size_t index, Call call, Answer failed) {
    count_store_call(index);
    const auto life = nodes[index].life;
    const duration there = milliseconds{2} + draw_up_to(environment.store_delay_most);
    const duration back = milliseconds{2} + draw_up_to(environment.store_delay_most);
    const bool answer_lost = draw() < environment.store_answer_loss;
    const duration patience = seconds{1};
    auto answered = std::make_shared<bool>(false);
    const auto answer = [this, index, life, answered](ownership::event what) {
      if (*answered || nodes[index].life != life) return;
      *answered = true;
      deliver(index, std::move(what));
    };
    at(now + patience, [answer, failed] { answer(failed); });
    at(now + there, [this, index, call, back, answer_lost, answer] {
      if (environment.store_down || environment.cut_from_store.contains(index)) return;
      auto result = call();
      if (answer_lost) return;
      at(now + back, [answer, result] { answer(result); });
    });
  }

  void act(std::size_t index, const ownership::wake_at& what) {
    auto& one = nodes[index];
    const auto generation = ++one.timer_generation;
    const auto life = one.life;
    at(one.to_true(what.when) + duration{1000}, [this, index, generation, life] {
      if (nodes[index].life != life || nodes[index].timer_generation != generation) return;
      deliver(index, ownership::timer_fired{});
    });
  }
  void act(std::size_t index, const ownership::record_in_force& what) {
    auto& version = nodes[index].records[what.object.name];
    if (what.object.version <= version) {
      on_violation(nodes[index].name + " reverts record " + what.object.name);
    }
    version = what.object.version;
    if (on_record) on_record(index, what);
  }
  void act(std::size_t index, const ownership::finish_range& what) {
    if (on_finish) on_finish(index, what);
  }
  void act(std::size_t index, const ownership::stopped& /*what*/) {
    nodes[index].stopped = true;
    log_event(nodes[index].name + " says that it may stop");
  }
  void act(std::size_t index, const ownership::log_event& what) {
    log_event(nodes[index].name + ": " + what.text);
  }

  std::priority_queue<scheduled> queue;
  std::uint64_t next_order = 0;
};

}  // namespace masticshunt::testing
