/// @file
/// What all workers of an agent share: the ownership core, the services, and the gate.
///
/// Lock order: core, then catalog, then gate. A thread that holds one of them takes only later
/// ones, holds none of them while it waits or does I/O, and calls no handler under them.
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

/// One local attempt while it waits at the gate or runs. Shared by its session and the gate.
struct gate_waiter {
  explicit gate_waiter(boost::asio::any_io_executor on) : executor(std::move(on)), wake(executor) {}

  boost::asio::any_io_executor executor;  ///< The session's; all members are used on it only.
  boost::asio::steady_timer wake;         ///< Cancelled to wake the session.
  std::optional<requests::gate_action> verdict;
  std::function<void()> cancel;  ///< Ends the exchange with the upstream.
};

/// Leave to send one attempt to the upstream beside this agent.
struct local_permit {
  requests::request_descriptor request;
  ownership::admission_ticket ticket;
  ownership::upstream_description upstream;
  time_point deadline;  ///< The request's, cut to the lease's end for an upstream without fences.
  std::shared_ptr<gate_waiter> waiter;
  bool counts_for_health = false;  ///< A late answer speaks against the upstream's health.
  time_point granted_at;
};

/// A local attempt that may not be sent.
struct local_refusal {
  requests::outcome what = requests::outcome::not_run;
  requests::refusal_reason reason = requests::refusal_reason::none;
  duration retry_after{};
};

using local_verdict = std::variant<local_permit, local_refusal, requests::already_answered>;

/// Counts of the request path, for metrics and the dump.
struct request_counts {
  std::atomic<std::uint64_t> served{0};
  std::atomic<std::uint64_t> not_run{0};
  std::atomic<std::uint64_t> may_have_run{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> forwarded{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> redirects{0};  ///< Attempts after a wait for the key's owner.
};

/// The tables that all workers share.
///
/// Thread safety: all members may be called from any thread, under the lock order above.
class shared_tables {
 public:
  /// Carries out an event at the core; called on any thread, runs it on the core's own thread.
  using event_sink = std::function<void(ownership::event)>;

  shared_tables(ownership::core_settings core, requests::retry_settings retry, event_sink sink);

  /// Feeds one event to the core and returns what is to be done. Core thread only.
  ownership::actions handle(const ownership::event& what, time_point now);

  /// Returns the owner of `hash` as far as this agent knows.
  [[nodiscard]] std::optional<ownership::route_answer> route(std::string_view service,
                                                             key_hash hash) const;

  /// Asks for leave to send an attempt to the upstream beside this agent; waits at the gate.
  boost::asio::awaitable<local_verdict> admit(requests::request_descriptor request,
                                              std::shared_ptr<const service_view> service,
                                              boost::asio::any_io_executor executor);

  /// Reports the end of a permitted attempt. Called exactly once for every permit.
  void finish(const local_permit& permit, requests::attempt_result result,
              requests::execution_status execution, requests::already_answered answer);

  /// Returns true while `permit`'s lease still stands.
  [[nodiscard]] bool still_owned(const local_permit& permit);

  /// Takes a record into force, for the catalog and the gate.
  void record_in_force(const ownership::store_object& object);
  /// Returns true if an upstream stands behind the gate.
  [[nodiscard]] bool has_upstream() const;
  /// Sets the upstream that the gate stands before.
  void upstream_announced(const ownership::upstream_description& upstream);
  /// Reports that the upstream refuses connections; tells the core once.
  void upstream_refused_connection(const ownership::upstream_description& upstream);
  /// Returns false while the upstream is set aside for what its requests came to, whatever it
  /// announces.
  [[nodiscard]] bool upstream_healthy(time_point now) const;
  /// Nothing new starts on `range`; reports `range_idle` once nothing runs there.
  void finish_range(const hash_range& range);
  /// Lets time act at the gate.
  void tick(time_point now);

  /// Returns the view of `service`, or null.
  [[nodiscard]] std::shared_ptr<const service_view> service(std::string_view name) const {
    return catalog_.find(name);
  }
  /// Returns the newest revision of the configuration in force here.
  [[nodiscard]] std::uint64_t config_revision() const { return catalog_.revision(); }
  /// Returns true while the core takes callers' requests.
  [[nodiscard]] bool accepts_callers() const;

  /// Counts a first attempt of the entry.
  void first_attempt();
  /// Returns the delay before another attempt, or nothing.
  std::optional<duration> retry_delay(const requests::request_descriptor& request,
                                      const requests::failed_attempt& last, double jitter,
                                      time_point now);

  /// Returns the state as a JSON text.
  [[nodiscard]] std::string dump(time_point now) const;
  /// Returns the attempts running at the gate.
  [[nodiscard]] std::size_t running() const;

  request_counts counts;
  support::latency_metric served_latency;  ///< From the header read to the whole answer passed on.

 private:
  struct gate_side;

  void perform(const requests::gate_actions& steps);
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
  requests::outlier_detector health_;  ///< Of the one upstream beside this agent.
  std::unordered_map<requests::attempt_id, std::shared_ptr<gate_waiter>> waiters_;
  std::vector<std::pair<hash_range, std::size_t>> running_ranges_;
  std::vector<hash_range> finishing_;

  std::mutex retry_lock_;
  requests::retry_policy retry_;

  std::atomic<requests::attempt_id> next_attempt_{1};
};

}  // namespace masticshunt::agent
