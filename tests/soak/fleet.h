/// @file
/// Simulates a fleet in virtual time: the decisions of many agents, a fake network and a fake
/// store.
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

/// The simulation's reference time. Every agent's clock has its own rate and offset to it.
using true_time = duration;

/// Size, topology and timing of a simulated fleet.
struct fleet_settings {
  std::size_t agents = 6;
  std::size_t regions = 3;
  std::size_t domains_per_region = 2;
  std::uint64_t seed = 1;
  bool clocks_drift = true;
  double drift_ppm = 200;
  bool move_when_isolated = false;
  std::string service = "viewer";
  std::string second_service;  ///< Served by every second agent; empty for none.
  ownership::lease_timing timing;
  ownership::fault_injection faults;
};

/// One simulated agent with its clock and its upstream.
struct node {
  std::string name;
  std::uint64_t incarnation = 0;
  endpoint control;
  std::string region;
  std::string failure_domain;
  double clock_rate = 1;
  duration clock_offset{};
  std::unique_ptr<ownership::agent_core> core;  ///< Null while the process is not running.
  true_time paused_until{};
  std::uint64_t timer_generation = 0;
  /// Rises with every start and crash, so that events for an earlier process are dropped.
  std::uint64_t process_generation = 0;
  bool stopped = false;
  /// Versions of the records that the current process put in force, by object name.
  std::map<std::string, std::uint64_t> records;
  std::optional<true_time> drained_since;  ///< When its drain record came into force.
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

/// Network and store faults that are active now.
struct environment_faults {
  double message_loss = 0;
  duration message_delay_max{};  ///< Upper bound of the random extra delay.
  bool store_down = false;
  duration store_delay_max{};
  double store_response_loss = 0;
  /// One-way links (sender, receiver) that drop all messages.
  std::set<std::pair<std::size_t, std::size_t>> partitioned_links;
  std::set<std::size_t> partitioned_from_store;
};

/// A deterministic simulation of a fleet. Events are handled one at a time; all randomness comes
/// from the seed.
class fleet {
 public:
  explicit fleet(fleet_settings initial_settings)
      : settings(std::move(initial_settings)), random(settings.seed) {
    for (std::size_t index = 0; index < settings.agents; ++index) add_node(index);
    put_service_record();
  }

  void start_all() {
    for (std::size_t index = 0; index < nodes.size(); ++index) start(index);
  }

  void start(std::size_t index) {
    auto& agent = nodes[index];
    ++agent.process_generation;
    ++agent.incarnation;
    agent.stopped = false;
    agent.records.clear();
    agent.drained_since.reset();
    agent.paused_until = {};
    ownership::core_settings core;
    core.self = {{agent.name, agent.incarnation},
                 agent.control,
                 "f" + agent.control,
                 "c" + agent.control,
                 agent.region,
                 agent.failure_domain,
                 2,
                 {}};
    core.timing = settings.timing;
    core.faults = settings.faults;
    core.seed = settings.seed * 1000 + index * 10 + agent.incarnation;
    agent.core = std::make_unique<ownership::agent_core>(core);
    log_event(agent.name + " starts as incarnation " + std::to_string(agent.incarnation));
    deliver(index, ownership::started{});
    announce(index);
  }

  void announce(std::size_t index) {
    deliver(index, ownership::upstream_announced{
                       {service_of(index), "u" + nodes[index].control, 1, 12, 120, false}});
  }

  void crash(std::size_t index) {
    auto& agent = nodes[index];
    if (!agent.alive()) return;
    log_event(agent.name + " crashes");
    ++agent.process_generation;
    agent.core.reset();
    if (on_crash) on_crash(index);
  }

  void pause(std::size_t index, duration length) {
    auto& agent = nodes[index];
    if (!agent.alive()) return;
    agent.paused_until = std::max(agent.paused_until, now + length);
    log_event(agent.name + " pauses for " + std::to_string(length / milliseconds{1}) + " ms");
  }

  /// Handles all events that are due up to `end`.
  void run_until(true_time end) {
    while (!queue.empty() && queue.top().at <= end) {
      auto next = queue.top();
      queue.pop();
      now = next.at;
      ++steps;
      next.action();
    }
    now = end;
  }
  void run_for(duration length) { run_until(now + length); }

  void at(true_time when, std::function<void()> action) {
    queue.push({std::max(when, now), next_order++, std::move(action)});
  }

  /// Delivers an event to an agent. A paused agent handles it when its pause ends.
  void deliver(std::size_t index, ownership::event event) {
    auto& agent = nodes[index];
    if (!agent.alive()) return;
    if (agent.paused_until > now) {
      const auto process_generation = agent.process_generation;
      at(agent.paused_until, [this, index, process_generation, event = std::move(event)] {
        if (nodes[index].process_generation == process_generation) deliver(index, event);
      });
      return;
    }
    for (auto& action : agent.core->handle(event, agent.local(now))) perform(index, action);
  }

  void log_event(std::string text) {
    trace.push_back({now, std::move(text)});
    if (trace.size() > trace_lines_max) trace.pop_front();
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(random); }
  std::size_t draw_below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  }
  duration draw_up_to(duration max) {
    return duration{static_cast<duration::rep>(static_cast<double>(max.count()) * draw())};
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

  struct trace_line {
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
  std::deque<trace_line> trace;
  std::function<void(std::size_t, const ownership::finish_range&)> on_finish;
  std::function<void(std::size_t)> on_crash;
  std::function<void(std::size_t, const ownership::record_in_force&)> on_record;
  std::function<void(const std::string&)> on_violation;
  std::function<void(std::size_t, const ownership::send_message&)> on_send;

 private:
  static constexpr std::size_t trace_lines_max = 4000;
  static constexpr std::size_t codec_check_interval = 16;

  struct scheduled {
    true_time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void add_node(std::size_t index) {
    node agent;
    agent.name = "agent-" + std::to_string(index);
    agent.control = "10.0.0." + std::to_string(index) + ":7400";
    const std::size_t region = index % settings.regions;
    const std::size_t domain = index / settings.regions % settings.domains_per_region;
    agent.region = "region-" + std::to_string(region);
    agent.failure_domain = agent.region + "-" + std::to_string(domain);
    if (settings.clocks_drift) agent.clock_rate = 1 + (2 * draw() - 1) * settings.drift_ppm / 1e6;
    agent.clock_offset = seconds{1 + static_cast<int>(draw_below(100'000))};
    nodes.push_back(std::move(agent));
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

  void act(std::size_t index, const ownership::send_message& message) {
    ++messages;
    if (on_send) on_send(index, message);
    const auto target = std::ranges::find(nodes, message.to, &node::control);
    if (target == nodes.end()) return;
    const auto to = static_cast<std::size_t>(target - nodes.begin());
    if (environment.partitioned_links.contains({index, to}) || draw() < environment.message_loss)
      return;
    const bool same_region = target->region == nodes[index].region;
    const duration base =
        same_region ? duration{std::chrono::microseconds{1500}} : milliseconds{12};
    const duration delay =
        base + draw_up_to(milliseconds{1}) + draw_up_to(environment.message_delay_max);
    auto body = encode_and_decode(message.body, nodes[index].control);
    const auto process_generation = target->process_generation;
    at(now + delay, [this, index, to, process_generation, body = std::move(body)] {
      if (nodes[to].process_generation != process_generation) return;
      deliver(to, ownership::message_received{nodes[index].control, body});
    });
  }

  ownership::message encode_and_decode(const ownership::message& body, const endpoint& from) {
    if (messages % codec_check_interval != 0) return body;
    const auto bytes = ownership::encode(body, from);
    message_bytes += bytes.size() * codec_check_interval;
    failure reason;
    auto decoded = ownership::decode(bytes, reason);
    if (!decoded || decoded->from != from || decoded->body.index() != body.index()) {
      on_violation("a control message changes when encoded and decoded: " + reason.message);
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
    const auto process_generation = nodes[index].process_generation;
    at(now + milliseconds{50}, [this, index, call, end, process_generation] {
      if (nodes[index].process_generation != process_generation) return;
      if (environment.store_down || environment.partitioned_from_store.contains(index)) {
        deliver(index,
                ownership::store_list_done{call.call, {}, 0, {failure_kind::unavailable, {}, {}}});
        return;
      }
      auto response = store.list(call);
      if (response.objects->empty() && now < end) {
        wait_for_change(index, call, end);
        return;
      }
      deliver(index, std::move(response));
    });
  }

  void count_store_call(std::size_t index) {
    auto& agent = nodes[index];
    ++agent.store_calls_total;
    agent.store_calls.push_back(now);
    while (agent.store_calls.front() < now - seconds{10}) agent.store_calls.pop_front();
    constexpr std::size_t calls_in_ten_seconds_max = 5 * 10 + 20;
    if (agent.store_calls.size() > calls_in_ten_seconds_max) {
      on_violation(agent.name + " exceeds its budget of store calls");
    }
  }

  /// Sends a call that reaches the store after a delay. If the response is late or lost, the caller
  /// gets `failed` (unavailable) at the call timeout and cannot tell whether the call took effect.
  template <class Call, class Response>
  void call_store(std::size_t index, Call call, Response failed) {
    count_store_call(index);
    const auto process_generation = nodes[index].process_generation;
    const duration request_delay = milliseconds{2} + draw_up_to(environment.store_delay_max);
    const duration response_delay = milliseconds{2} + draw_up_to(environment.store_delay_max);
    const bool response_lost = draw() < environment.store_response_loss;
    const duration call_timeout = seconds{1};
    auto responded = std::make_shared<bool>(false);
    const auto respond = [this, index, process_generation, responded](ownership::event event) {
      if (*responded || nodes[index].process_generation != process_generation) return;
      *responded = true;
      deliver(index, std::move(event));
    };
    at(now + call_timeout, [respond, failed] { respond(failed); });
    at(now + request_delay, [this, index, call, response_delay, response_lost, respond] {
      if (environment.store_down || environment.partitioned_from_store.contains(index)) return;
      auto result = call();
      if (response_lost) return;
      at(now + response_delay, [respond, result] { respond(result); });
    });
  }

  void act(std::size_t index, const ownership::wake_at& wake) {
    auto& agent = nodes[index];
    const auto generation = ++agent.timer_generation;
    const auto process_generation = agent.process_generation;
    at(agent.to_true(wake.when) + duration{1000}, [this, index, generation, process_generation] {
      if (nodes[index].process_generation != process_generation ||
          nodes[index].timer_generation != generation)
        return;
      deliver(index, ownership::timer_fired{});
    });
  }
  void act(std::size_t index, const ownership::record_in_force& change) {
    auto& version = nodes[index].records[change.object.name];
    if (change.object.version <= version) {
      on_violation(nodes[index].name + " reverts record " + change.object.name);
    }
    version = change.object.version;
    if (on_record) on_record(index, change);
  }
  void act(std::size_t index, const ownership::finish_range& request) {
    if (on_finish) on_finish(index, request);
  }
  void act(std::size_t index, const ownership::stopped& /*event*/) {
    nodes[index].stopped = true;
    log_event(nodes[index].name + " is ready to stop");
  }
  void act(std::size_t index, const ownership::log_event& event) {
    log_event(nodes[index].name + ": " + event.text);
  }

  std::priority_queue<scheduled> queue;
  std::uint64_t next_order = 0;
};

}  // namespace masticshunt::testing
