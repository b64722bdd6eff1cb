/// @file
/// Simulates a trace of requests with a pair of policies and fake upstreams in virtual time.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "decisions/requests/virtual_time/event_queue.h"
#include "decisions/requests/virtual_time/policies.h"
#include "decisions/requests/virtual_time/virtual_upstream.h"
#include "decisions/requests/virtual_time/workload.h"

namespace masticshunt::testing {

/// The results of one rank's requests that arrived after the warm-up.
struct rank_result {
  std::uint64_t offered = 0;
  std::uint64_t served = 0;  ///< Answered before the deadline.
  double offered_work = 0;   ///< Slot-seconds of the offered requests.
  double served_work = 0;    ///< Slot-seconds of the served requests.
  std::vector<duration> latencies;

  /// Returns the latency quantile `share` of the served requests.
  [[nodiscard]] duration percentile(double share) {
    if (latencies.empty()) return duration::max();
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size()));
    const auto at = latencies.begin() + std::min(index, std::ssize(latencies) - 1);
    std::ranges::nth_element(latencies, at);
    return *at;
  }
};

/// The results of a run.
struct run_result {
  std::array<rank_result, rank_count> ranks;
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t sent_to_lost_target = 0;
  std::vector<double> work_of_target;  ///< Slot-seconds served by each target.

  /// Returns the work served within the deadlines as a share of the capacity.
  [[nodiscard]] double goodput(const deployment& where, const scenario& run) const {
    const double seconds = std::chrono::duration<double>(run.length - run.warm_up).count();
    double work = 0;
    for (const rank_result& rank : ranks) work += rank.served_work;
    return work / (where.capacity() * seconds);
  }
  /// Returns the ratio of retries to first attempts.
  [[nodiscard]] double retry_share() const {
    return static_cast<double>(retries) /
           static_cast<double>(std::max<std::uint64_t>(first_attempts, 1));
  }
};

/// One run. Faults affect the first target; the keys of a lost target get no new owner for two
/// seconds.
class policy_run {
 public:
  policy_run(const deployment& where, const scenario& run, const trace& requests,
             const policy_set& policies, std::uint64_t seed)
      : where_(where), run_(run), trace_(requests), random_(seed) {
    for (std::uint32_t target = 0; target < where.targets; ++target) {
      const bool overstates_slots = run.what == fault::target_lying && target == faulty_target;
      upstreams_.emplace_back(overstates_slots ? where.slots / 2 : where.slots, where.connections);
      admissions_.push_back(policies.make_admission(where));
      retries_.push_back(policies.make_retries());
      events_.add(time_point{}, tick{target});
    }
    states_.resize(requests.requests.size());
    result_.work_of_target.resize(where.targets);
  }

  /// Runs to the end of the trace.
  run_result run() {
    std::uint32_t next = 0;
    const auto count = static_cast<std::uint32_t>(trace_.requests.size());
    while (next < count) {
      const time_point arrival = trace_.requests[next].arrival;
      if (events_.next_time() <= arrival) {
        now_ = events_.next_time();
        std::visit([this](const auto& event) { handle(event); }, events_.take());
      } else {
        now_ = arrival;
        arrive(next++);
      }
    }
    return std::move(result_);
  }

 private:
  static constexpr std::uint32_t faulty_target = 0;
  static constexpr duration fault_after_warm_up = std::chrono::seconds{1};
  static constexpr duration fault_length = std::chrono::seconds{4};
  static constexpr duration new_owner_after = std::chrono::seconds{2};
  static constexpr duration tick_every = std::chrono::milliseconds{10};

  struct tick {
    std::uint32_t target = 0;
  };
  struct done {
    requests::attempt_id attempt = 0;
    std::uint32_t target = 0;
  };
  struct retry {
    std::uint32_t request = 0;
  };
  using run_event = std::variant<tick, done, retry>;

  struct request_state {
    std::uint32_t attempts_made = 0;
    bool ended = false;
  };
  struct attempt_state {
    std::uint32_t request = 0;
    std::uint32_t target = 0;
  };

  void arrive(std::uint32_t request) {
    if (is_measured(request)) {
      const trace_request& traced = trace_.requests[request];
      ++result_.ranks[traced.rank].offered;
      result_.ranks[traced.rank].offered_work +=
          std::chrono::duration<double>(traced.service).count();
      ++result_.first_attempts;
    }
    retries_of(request).first_attempt();
    send(request);
  }

  void send(std::uint32_t request) {
    ++states_[request].attempts_made;
    const std::uint32_t target = owner_of(trace_.requests[request].key);
    if (is_lost(target)) {
      ++result_.sent_to_lost_target;
      return failed(request, requests::outcome::not_run, requests::refusal_reason::no_owner, {});
    }
    attempts_.push_back({request, target});
    requests::gate_actions actions;
    admissions_[target]->offer(descriptor_of(request), now_, actions);
    perform(target, actions);
  }

  void perform(std::uint32_t target, requests::gate_actions& actions) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const requests::gate_action action = actions[i];
      if (const auto* start = std::get_if<requests::start_attempt>(&action)) {
        submit(target, start->attempt, actions);
      } else if (const auto* refusal = std::get_if<requests::refuse_attempt>(&action)) {
        failed(attempts_[refusal->attempt - 1].request, requests::outcome::not_run, refusal->reason,
               refusal->retry_after);
      } else if (const auto* cancel = std::get_if<requests::cancel_attempt>(&action)) {
        upstreams_[target].cancel(cancel->attempt);
        states_[attempts_[cancel->attempt - 1].request].ended = true;
        admissions_[target]->finished(cancel->attempt, requests::attempt_result::timed_out, now_,
                                      actions);
      }
    }
    start_at_upstream(target);
  }

  void submit(std::uint32_t target, requests::attempt_id attempt, requests::gate_actions& actions) {
    const std::uint32_t request = attempts_[attempt - 1].request;
    if (upstreams_[target].submit(attempt, trace_.requests[request].service)) return;
    failed(request, requests::outcome::not_run, requests::refusal_reason::upstream_shed, {});
    admissions_[target]->finished(attempt, requests::attempt_result::shed, now_, actions);
  }

  void start_at_upstream(std::uint32_t target) {
    while (const auto started = upstreams_[target].start_next(now_)) {
      if (started->done_at != time_point::max())
        events_.add(started->done_at, done{started->attempt, target});
    }
  }

  void handle(const tick& event) {
    requests::gate_actions actions;
    admissions_[event.target]->tick(now_, actions);
    perform(event.target, actions);
    events_.add(now_ + tick_every, event);
  }

  void handle(const done& event) {
    if (is_frozen(event.target)) return events_.add(fault_start() + fault_length, event);
    if (!upstreams_[event.target].finish(event.attempt)) return;
    served(attempts_[event.attempt - 1].request, event.target);
    requests::gate_actions actions;
    admissions_[event.target]->finished(event.attempt, requests::attempt_result::answered, now_,
                                        actions);
    perform(event.target, actions);
  }

  void handle(const retry& event) {
    if (is_measured(event.request)) ++result_.retries;
    send(event.request);
  }

  void served(std::uint32_t request, std::uint32_t target) {
    const trace_request& traced = trace_.requests[request];
    if (states_[request].ended) return;
    states_[request].ended = true;
    if (!is_measured(request) || now_ > deadline_of(request) || is_lost(target)) return;
    rank_result& rank = result_.ranks[traced.rank];
    const double work = std::chrono::duration<double>(traced.service).count();
    ++rank.served;
    rank.served_work += work;
    result_.work_of_target[target] += work;
    if (traced.key != excluded_key) rank.latencies.push_back(now_ - traced.arrival);
  }

  void failed(std::uint32_t request, requests::outcome outcome, requests::refusal_reason reason,
              duration retry_after) {
    request_state& state = states_[request];
    const auto delay = retries_of(request).next_delay(
        descriptor_of(request), {state.attempts_made, outcome, reason, retry_after}, random_.unit(),
        now_);
    if (delay) {
      events_.add(now_ + *delay, retry{request});
    } else {
      state.ended = true;
    }
  }

  [[nodiscard]] requests::request_descriptor descriptor_of(std::uint32_t request) const {
    const trace_request& traced = trace_.requests[request];
    requests::request_descriptor descriptor;
    descriptor.attempt = attempts_.size();
    descriptor.hash = traced.key;
    descriptor.caller = std::to_string(traced.caller);
    descriptor.rank = traced.rank;
    descriptor.deadline = deadline_of(request);
    return descriptor;
  }

  [[nodiscard]] time_point deadline_of(std::uint32_t request) const {
    const trace_request& traced = trace_.requests[request];
    return traced.arrival + where_.ranks[traced.rank].deadline;
  }
  [[nodiscard]] bool is_measured(std::uint32_t request) const {
    return trace_.requests[request].arrival >= time_point{run_.warm_up};
  }
  [[nodiscard]] retries& retries_of(std::uint32_t request) const {
    return *retries_[trace_.requests[request].caller % where_.targets];
  }
  [[nodiscard]] time_point fault_start() const {
    return time_point{run_.warm_up + fault_after_warm_up};
  }
  [[nodiscard]] bool is_lost(std::uint32_t target) const {
    return run_.what == fault::target_lost && target == faulty_target && now_ >= fault_start();
  }
  [[nodiscard]] bool is_frozen(std::uint32_t target) const {
    return run_.what == fault::target_frozen && target == faulty_target && now_ >= fault_start() &&
           now_ < fault_start() + fault_length;
  }
  [[nodiscard]] std::uint32_t owner_of(std::uint32_t key) const {
    const std::uint32_t owner = trace_.owner_of_key[key];
    if (!is_lost(owner) || now_ < fault_start() + new_owner_after) return owner;
    return 1 + key % (where_.targets - 1);
  }

  /// The key that stalls in some runs; it is excluded from the latencies of all runs.
  static constexpr std::uint32_t excluded_key = 3;

  const deployment& where_;
  const scenario& run_;
  const trace& trace_;
  draws random_;
  time_point now_{};
  event_queue<run_event> events_;
  std::vector<virtual_upstream> upstreams_;
  std::vector<std::unique_ptr<admission>> admissions_;
  std::vector<std::unique_ptr<retries>> retries_;
  std::vector<request_state> states_;
  std::vector<attempt_state> attempts_;
  run_result result_;
};

}  // namespace masticshunt::testing
