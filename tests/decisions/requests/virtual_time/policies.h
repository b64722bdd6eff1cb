/// @file
/// The product's policies and naive ones, behind common interfaces for admission and retries.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "decisions/requests/virtual_time/workload.h"
#include "masticshunt/decisions/requests/gate.h"
#include "masticshunt/decisions/requests/retry.h"

namespace masticshunt::testing {

/// Admission control at one target.
class admission {
 public:
  virtual ~admission() = default;
  virtual void offer(const requests::request_descriptor& request, time_point now,
                     requests::gate_actions& actions) = 0;
  virtual void finished(requests::attempt_id attempt, requests::attempt_result result,
                        time_point now, requests::gate_actions& actions) = 0;
  virtual void tick(time_point now, requests::gate_actions& actions) = 0;
};

/// The retry policy of one ingress agent.
class retries {
 public:
  virtual ~retries() = default;
  virtual void first_attempt() = 0;
  virtual std::optional<duration> next_delay(const requests::request_descriptor& request,
                                             const requests::failed_attempt& last, double jitter,
                                             time_point now) = 0;
};

/// The product's gate.
class gate_admission : public admission {
 public:
  explicit gate_admission(requests::gate_settings settings) : gate_(std::move(settings)) {}
  void offer(const requests::request_descriptor& request, time_point now,
             requests::gate_actions& actions) override {
    gate_.offer(request, now, actions);
  }
  void finished(requests::attempt_id attempt, requests::attempt_result result, time_point now,
                requests::gate_actions& actions) override {
    gate_.finished(attempt, result, now, actions);
  }
  void tick(time_point now, requests::gate_actions& actions) override { gate_.tick(now, actions); }
  [[nodiscard]] const requests::gate& gate() const { return gate_; }

 private:
  requests::gate gate_;
};

/// First in, first out over all connections; no ranks, deadlines or bounds.
class naive_admission : public admission {
 public:
  explicit naive_admission(std::uint32_t connections) : connections_(connections) {}
  void offer(const requests::request_descriptor& request, time_point /*now*/,
             requests::gate_actions& actions) override {
    queue_.push_back(request.attempt);
    start(actions);
  }
  void finished(requests::attempt_id /*attempt*/, requests::attempt_result /*result*/,
                time_point /*now*/, requests::gate_actions& actions) override {
    --running_;
    start(actions);
  }
  void tick(time_point /*now*/, requests::gate_actions& /*actions*/) override {}

 private:
  void start(requests::gate_actions& actions) {
    for (; running_ < connections_ && !queue_.empty(); ++running_) {
      actions.emplace_back(requests::start_attempt{queue_.front()});
      queue_.pop_front();
    }
  }

  std::uint32_t connections_;
  std::uint32_t running_ = 0;
  std::deque<requests::attempt_id> queue_;
};

/// The product's retry policy.
class budgeted_retries : public retries {
 public:
  void first_attempt() override { policy_.first_attempt(); }
  std::optional<duration> next_delay(const requests::request_descriptor& request,
                                     const requests::failed_attempt& last, double jitter,
                                     time_point now) override {
    return policy_.next_delay(request, last, jitter, now);
  }

 private:
  requests::retry_policy policy_{{}};
};

/// Up to two retries after any failure, with a fixed delay.
class fixed_retries : public retries {
 public:
  void first_attempt() override {}
  std::optional<duration> next_delay(const requests::request_descriptor& /*request*/,
                                     const requests::failed_attempt& last, double /*jitter*/,
                                     time_point /*now*/) override {
    constexpr std::uint32_t attempts_max = 3;
    if (last.attempts_made >= attempts_max) return std::nullopt;
    return std::chrono::milliseconds{50};
  }
};

/// A named pair of policies.
struct policy_set {
  std::string name;
  std::function<std::unique_ptr<admission>(const deployment&)> make_admission;
  std::function<std::unique_ptr<retries>()> make_retries;
  bool cancels = false;  ///< Cancels attempts whose deadline has passed.
};

/// Returns the gate settings for one target of a deployment.
inline requests::gate_settings gate_settings_of(const deployment& where) {
  requests::gate_settings settings;
  settings.slots = where.slots;
  for (const rank_load& rank : where.ranks)
    settings.ranks.push_back({rank.name, rank.floor, 1, rank.target});
  return settings;
}

/// Returns the product's policies, with gate settings modified by `change`.
inline policy_set product_policies(
    std::string name = "masticshunt",
    std::function<void(requests::gate_settings&)> change = [](requests::gate_settings&) {}) {
  return {std::move(name),
          [change = std::move(change)](const deployment& where) -> std::unique_ptr<admission> {
            requests::gate_settings settings = gate_settings_of(where);
            change(settings);
            return std::make_unique<gate_admission>(settings);
          },
          []() -> std::unique_ptr<retries> { return std::make_unique<budgeted_retries>(); }, true};
}

/// Returns the naive policies.
inline policy_set naive_policies() {
  return {"naive",
          [](const deployment& where) -> std::unique_ptr<admission> {
            return std::make_unique<naive_admission>(where.connections);
          },
          []() -> std::unique_ptr<retries> { return std::make_unique<fixed_retries>(); }, false};
}

}  // namespace masticshunt::testing
