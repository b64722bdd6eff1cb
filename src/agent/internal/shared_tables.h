/// @file
/// State shared by all workers of an agent: the ownership core, the service catalog and the gate.
///
/// Lock order: core, catalog, gate. A thread that holds one of these locks takes only later ones,
/// and does not wait, perform I/O or call handlers while holding any.
#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "agent/internal/service_catalog.h"
#include "masticshunt/decisions/ownership/agent_core.h"
#include "masticshunt/decisions/requests/gate.h"
#include "masticshunt/decisions/requests/idempotency_ledger.h"
#include "masticshunt/decisions/requests/outlier_detector.h"
#include "masticshunt/decisions/requests/retry.h"
#include "masticshunt/support/metrics.h"

namespace masticshunt::agent {

/// A local attempt that waits at the gate or runs. Shared by its session and the gate.
struct gate_waiter {
  explicit gate_waiter(boost::asio::any_io_executor on) : executor(std::move(on)), wake(executor) {}

  boost::asio::any_io_executor executor;  ///< The session's; members are accessed only on it.
  boost::asio::steady_timer wake;         ///< Cancelled to wake the session.
  std::optional<requests::gate_action> verdict;
  std::function<void()> cancel;  ///< Cancels the exchange with the upstream.
};

/// Permission to send one attempt to the local upstream.
struct local_permit {
  requests::request_descriptor request;
  ownership::admission_ticket ticket;
  ownership::upstream_description upstream;
  /// The deadline of the request, or the end of the lease if that is earlier and the upstream does
  /// not check fencing tokens.
  time_point deadline;
  std::shared_ptr<gate_waiter> waiter;
  bool counts_for_health = false;  ///< The result is reported to the outlier detector.
  time_point granted_at;
};

/// The refusal of a local attempt.
struct local_refusal {
  requests::outcome outcome = requests::outcome::not_run;
  requests::refusal_reason reason = requests::refusal_reason::none;
  duration retry_after{};
};

using local_verdict = std::variant<local_permit, local_refusal, requests::already_answered>;

/// Counters of the request path, for metrics and the state dump.
struct request_counts {
  std::atomic<std::uint64_t> served{0};
  std::atomic<std::uint64_t> not_run{0};
  std::atomic<std::uint64_t> may_have_run{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> forwarded{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> redirects{0};  ///< Attempts after waiting for the key's owner.
};

/// The state that all workers of an agent share.
///
/// Thread safety: all members may be called from any thread, under the lock order above.
class shared_tables {
 public:
  /// Posts an event to the ownership core. May be called from any thread; the event is handled on
  /// the core's thread.
  using event_sink = std::function<void(ownership::event)>;

  shared_tables(ownership::core_settings core, requests::retry_settings retry, event_sink sink);

  /// Passes one event to the core and returns the actions to carry out. Core thread only.
  ownership::actions handle(const ownership::event& event, time_point now);

  /// Returns the owner of `hash` in this agent's local view, or nothing if unknown.
  [[nodiscard]] std::optional<ownership::route_answer> route(std::string_view service,
                                                             key_hash hash) const;

  /// Requests permission to send an attempt to the local upstream; waits at the gate if necessary.
  boost::asio::awaitable<local_verdict> admit(requests::request_descriptor request,
                                              std::shared_ptr<const service_view> service,
                                              boost::asio::any_io_executor executor);

  /// Reports the end of a permitted attempt. Must be called exactly once for every permit.
  void finish(const local_permit& permit, requests::attempt_result result,
              requests::execution_status execution, requests::already_answered response);

  /// Returns true if this agent still owns the key under the fencing token of `permit`.
  [[nodiscard]] bool still_owned(const local_permit& permit);

  /// Applies a configuration record to the catalog and the gate.
  void record_in_force(const ownership::store_object& object);
  /// Returns true if a local upstream is set; failed requests and refused connections unset it.
  [[nodiscard]] bool has_upstream() const;
  /// Sets the local upstream and configures the gate for it.
  void upstream_announced(const ownership::upstream_description& upstream);
  /// Reports that the upstream refused a connection. Unsets the upstream and notifies the core
  /// once.
  void upstream_refused_connection(const ownership::upstream_description& upstream);
  /// Returns false while the outlier detector has ejected the upstream because of failed requests,
  /// regardless of its announcements.
  [[nodiscard]] bool upstream_healthy(time_point now) const;
  /// Drains `range`, where the core admits no new attempts: reports `range_idle` once none runs
  /// there.
  void finish_range(const hash_range& range);
  /// Runs the work of the gate and the outlier detector that is due at `now`.
  void tick(time_point now);

  /// Returns the view of `service`, or null.
  [[nodiscard]] std::shared_ptr<const service_view> service(std::string_view name) const {
    return catalog_.find(name);
  }
  /// Returns the newest configuration revision in force at this agent.
  [[nodiscard]] std::uint64_t config_revision() const { return catalog_.revision(); }
  /// Returns true while the core accepts callers' requests.
  [[nodiscard]] bool accepts_callers() const;

  /// Counts the first attempt of a request at the ingress agent, which feeds the retry budget.
  void first_attempt();
  /// Returns the delay before the next attempt, or nothing if the request may not be retried.
  std::optional<duration> retry_delay(const requests::request_descriptor& request,
                                      const requests::failed_attempt& last, double jitter,
                                      time_point now);

  /// Returns the state as JSON text.
  [[nodiscard]] std::string dump(time_point now) const;
  /// Returns the number of running attempts.
  [[nodiscard]] std::size_t running() const;

  request_counts counts;
  /// From the request header read to the complete response forwarded.
  support::latency_metric served_latency;

 private:
  struct gate_side;

  void perform(const requests::gate_actions& actions);
  bool enter_range(const requests::request_descriptor& request,
                   const ownership::admission_ticket& ticket,
                   std::optional<ownership::admission_ticket>& renewed);
  void check_upstream_health(time_point now);
  void leave_range(const hash_range& range);
  void release_slot(const requests::request_descriptor& request);
  void abandon_attempt(const requests::request_descriptor& request);
  requests::gate_settings gate_settings_of(const ownership::upstream_description& upstream) const;
  local_permit make_permit(const requests::request_descriptor& request,
                           const ownership::admission_ticket& ticket, const service_view& service,
                           std::shared_ptr<gate_waiter> waiter);

  event_sink sink_;

  mutable std::mutex core_lock_;
  ownership::agent_core core_;

  service_catalog catalog_;

  mutable std::mutex gate_lock_;
  std::optional<ownership::upstream_description> upstream_;
  requests::gate gate_;
  requests::idempotency_ledger ledger_;
  requests::outlier_detector health_;  ///< Tracks the local upstream only.
  std::unordered_map<requests::attempt_id, std::shared_ptr<gate_waiter>> waiters_;
  std::vector<std::pair<hash_range, std::size_t>> running_ranges_;
  std::vector<hash_range> draining_ranges_;

  std::mutex retry_lock_;
  requests::retry_policy retry_;

  std::atomic<requests::attempt_id> next_attempt_{1};
};

}  // namespace masticshunt::agent
