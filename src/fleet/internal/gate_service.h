/// @file
/// The gate (admission controller) of the local upstream.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet/internal/attempt.h"
#include "fleet/internal/http_client.h"
#include "fleet/internal/key_meter.h"
#include "masticshunt/decisions/claims/claim_holder.h"
#include "masticshunt/decisions/requests/admission_queue.h"
#include "masticshunt/decisions/requests/outage_tracker.h"
#include "masticshunt/decisions/requests/transfer_queue.h"
#include "masticshunt/support/event_log.h"
#include "masticshunt/support/metrics.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

/// Settings of a gate.
struct gate_settings {
  endpoint upstream;
  /// How long requests may be sent after draining starts.
  duration drain = std::chrono::seconds{2};
  double link_bytes_per_second = 125e6;  ///< Link bandwidth of this VM, each way.
  /// How long keys may be served after the zone's evacuation was learned: they move meanwhile.
  duration evacuation_handover{};
};

/// Counters of a gate.
struct gate_counts {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;              ///< Sent to the upstream without a complete answer.
  std::uint64_t sent_after_drain = 0;  ///< Violation: sent after the drain time.
  std::uint64_t refused_evacuated = 0;
  std::uint64_t refused_region = 0;
};

/// Admits requests to the local upstream in the order of their ranks, and only while the upstream
/// is present, accepts new requests, and holds the key of the request.
///
/// All requests to the upstream pass through the gate, so a request that it refuses has not run,
/// and the gate alone keeps the limit that the upstream names.
/// Life cycle: one instance per process. Thread safety: none.
class gate_service {
 public:
  gate_service(const boost::asio::any_io_executor& executor, gate_settings settings,
               support::event_log& log, support::metrics_registry& metrics);

  /// Sends `request` to the upstream once it is admitted, or refuses it.
  boost::asio::awaitable<attempt_outcome> serve(std::shared_ptr<attempt> request);

  /// Sets the incarnation, service and slots of the local upstream; no incarnation if it is absent.
  void update_upstream(std::optional<routing::upstream_incarnation> incarnation,
                       const std::string& service, std::uint32_t slots);
  /// Sets whether this agent has restarted and waits for the first heartbeat of its upstream.
  void set_awaits_heartbeat(bool awaits) { awaits_heartbeat_ = awaits; }
  /// Sets the start of draining, or nothing if the upstream is not draining.
  void set_draining_since(std::optional<time_point> when) { draining_since_ = when; }
  /// Sets the callback for an upstream that says in an answer that it leaves.
  void on_leaving(std::function<void(const routing::upstream_incarnation&)> action) {
    on_leaving_ = std::move(action);
  }
  /// Sets how long requests may be sent after draining starts.
  void set_drain(duration drain) { settings_.drain = drain; }
  /// Sets when this agent learned that its zone is evacuated, or nothing if it is not. The upstream
  /// may be cold when it gets requests again.
  void set_evacuated_since(std::optional<time_point> when);
  /// Sets the check whether a request may be handled in this agent's region.
  void on_region_check(std::function<bool(const attempt&)> allowed) {
    region_allowed_ = std::move(allowed);
  }
  /// Sets the requests a second that a cold upstream takes, if limited, and its health path.
  void set_slow_start(std::optional<double> rate, const std::string& health_path);
  /// A heartbeat of the upstream said for how long it stays cold.
  void heartbeat_said_cold(duration cold_for);
  /// From now on refuses new requests and those that have not started.
  void stop() { stopping_ = true; }
  /// Sets the claim holder; null if the service is not sharded by key.
  void set_holder(claims::claim_holder* holder) { holder_ = holder; }
  /// Sets the callback for a key that the upstream does not hold although it was granted.
  void on_missing_key(std::function<void(claims::shard_key)> action) {
    on_missing_key_ = std::move(action);
  }
  /// Runs the work that is due at `now`: closes idle connections and expires waiting requests.
  void tick(time_point now);

  /// Returns the load report for peers.
  [[nodiscard]] routing::load_report load() const;
  /// Returns the slots that requests can keep busy: under a limit fewer than the upstream has.
  [[nodiscard]] std::uint32_t usable_slots() const;
  /// Returns the load of subranges of the held keys.
  [[nodiscard]] std::vector<claims::key_load> key_loads(time_point now);
  /// Returns the share of retries among the running requests.
  [[nodiscard]] double retry_share() const;
  [[nodiscard]] duration service_time() const { return service_time_; }
  [[nodiscard]] std::size_t in_flight() const { return queue_.running() + queue_.waiting(); }
  [[nodiscard]] const gate_counts& counts() const { return counts_; }
  /// Returns the requests a second that the upstream said it takes, or nothing if it names no
  /// limit.
  [[nodiscard]] std::optional<double> request_limit() const { return queue_.limit(); }
  /// Returns true while the upstream counts as cold.
  [[nodiscard]] bool cold() const;
  /// Returns the number of requests refused because of that limit.
  [[nodiscard]] std::uint64_t refused_limited() const { return queue_.counts().refused_limited; }
  /// Returns the number of requests started after their deadline. A value above zero is a
  /// violation.
  [[nodiscard]] std::uint64_t started_late() const { return queue_.counts().started_late; }
  /// Returns the number of connections opened to the upstream.
  [[nodiscard]] std::uint64_t connections_opened() const { return pool_.connections_opened(); }
  /// Returns the connections to the upstream, for calls other than requests.
  [[nodiscard]] connection_pool& pool() { return pool_; }
  /// Returns the id of the current upstream; empty if there is none.
  [[nodiscard]] std::string upstream_id() const {
    return incarnation_ ? incarnation_->id : std::string{};
  }
  [[nodiscard]] const endpoint& upstream() const { return settings_.upstream; }
  /// Returns the number of consecutive failures to connect.
  [[nodiscard]] std::uint32_t connect_failures() const { return connect_failures_; }
  /// Returns when the upstream's address last refused a connection.
  [[nodiscard]] std::optional<time_point> connection_refused_at() const {
    return connection_refused_at_;
  }
  /// Resets the number of consecutive failures to connect.
  void reset_connect_failures() { connect_failures_ = 0; }

 private:
  struct waiter {
    explicit waiter(const boost::asio::any_io_executor& executor) : changed(executor) {}
    boost::asio::steady_timer changed;
    bool started = false;
    std::optional<duration> refused;  ///< Retry-after time of the refusal.
    bool cancelled = false;
  };

  boost::asio::awaitable<attempt_outcome> admit_and_send(std::shared_ptr<attempt> request,
                                                         std::optional<time_point>& began);
  boost::asio::awaitable<std::optional<attempt_outcome>> await_key(
      std::shared_ptr<attempt> request);
  boost::asio::awaitable<std::optional<attempt_outcome>> await_body(
      std::shared_ptr<attempt> request, requests::transfer_id id);
  void carry_out(const requests::transfer_actions& actions);
  boost::asio::awaitable<std::optional<attempt_outcome>> await_admission(
      std::shared_ptr<attempt> request, requests::admission_id id);
  boost::asio::awaitable<attempt_outcome> send(std::shared_ptr<attempt> request);
  attempt_outcome classify(const attempt& request, exchange_outcome exchange,
                           const routing::upstream_incarnation& incarnation);
  /// Takes note of what `incarnation` says of itself in an answer.
  void note_statements(const platform::answer_metadata& answer,
                       const routing::upstream_incarnation& incarnation);
  void note_limit(const platform::answer_metadata& answer);
  [[nodiscard]] std::optional<attempt_outcome> refusal_if_closed(const attempt& request,
                                                                 time_point now) const;
  /// Returns true if `request` can wait for its key, which is granted after the first heartbeat.
  [[nodiscard]] bool may_get_key_after_heartbeat(const attempt& request) const;
  void carry_out(const requests::admission_actions& actions);
  /// Starts or refuses what waits after the upstream turned cold or warm, and logs that.
  void slow_start_changed(bool cold_before);
  [[nodiscard]] bool probe_is_due(time_point now) const;
  /// Asks the upstream's health path whether it is cold.
  boost::asio::awaitable<void> probe_cold();
  /// Continues when the upstream's limit lets the next waiting request start.
  void await_limit();
  void update_service_time(duration run_time);
  /// Returns the state of the gate that explains a refusal of `request`, for the log events of the
  /// ingress agent and the gate.
  [[nodiscard]] std::string refusal_detail(const attempt& request, time_point arrived) const;
  void record(const attempt& request, const attempt_outcome& outcome, time_point arrived,
              std::optional<time_point> began);

  boost::asio::any_io_executor executor_;
  gate_settings settings_;
  support::event_log& log_;
  support::metrics_registry& metrics_;
  connection_pool pool_;
  requests::transfer_queue transfers_;
  std::map<requests::transfer_id, std::shared_ptr<waiter>> transfer_waiters_;
  requests::admission_queue queue_;
  std::uint32_t slots_ = 1;
  std::map<requests::admission_id, std::shared_ptr<waiter>> waiters_;
  requests::admission_id next_id_ = 1;

  std::optional<routing::upstream_incarnation> incarnation_;
  bool awaits_heartbeat_ = false;
  std::string service_;
  std::optional<time_point> draining_since_;
  std::optional<time_point> evacuated_since_;
  std::function<bool(const attempt&)> region_allowed_;
  std::string health_path_;
  bool probing_ = false;
  time_point next_probe_{};
  double slowdown_ = 1;  ///< In the upstream's last answer.
  time_point slowdown_at_{};
  bool stopping_ = false;
  claims::claim_holder* holder_ = nullptr;
  key_meter meter_;
  /// Keyed by the first key of a range.
  requests::outage_tracker range_outages_{{.wait = std::chrono::milliseconds{150}}};
  std::function<void(claims::shard_key)> on_missing_key_;
  std::function<void(const routing::upstream_incarnation&)> on_leaving_;
  duration service_time_{};
  std::uint32_t connect_failures_ = 0;
  std::optional<time_point> connection_refused_at_;
  std::uint32_t retries_running_ = 0;
  gate_counts counts_;
  boost::asio::steady_timer limit_timer_;
  std::optional<routing::upstream_incarnation> last_incarnation_;  ///< Also while it is absent.
};

}  // namespace masticshunt::fleet
