/// @file
/// The gate beside an upstream: the only way to it.
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

namespace masticshunt::fleet {

/// What the gate needs to know of its upstream's place.
struct gate_settings {
  endpoint upstream;
  duration drain = std::chrono::seconds{2};  ///< After the word that it leaves.
  double link_bytes_per_second = 125e6;      ///< Of this VM, each way.
};

/// Counts of a gate.
struct gate_counts {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;              ///< Sent, and no whole answer came.
  std::uint64_t sent_after_drain = 0;  ///< Broken promise: sent after the drain time.
};

/// Admits requests to the upstream beside this agent, in the order of their ranks, and only while
/// the upstream is there, stays, and holds the request's key.
///
/// As nothing else reaches the upstream, what this class refuses has truthfully not run.
/// Life cycle: one for the process. Thread safety: none.
class gate_service {
 public:
  gate_service(const boost::asio::any_io_executor& executor, gate_settings settings,
               support::event_log& log, support::metrics_registry& metrics);

  /// Has `what` run by the upstream, or refuses it.
  boost::asio::awaitable<attempt_outcome> serve(std::shared_ptr<attempt> what);

  /// The upstream beside this agent is there with `incarnation` and `slots`, or is not (nothing).
  void update_upstream(std::optional<routing::upstream_incarnation> incarnation,
                       const std::string& service, std::uint32_t slots);
  /// The upstream said at `when` that it leaves, or turned out to stay (nothing).
  void set_draining_since(std::optional<time_point> when) { draining_since_ = when; }
  /// This agent takes nothing new for its upstream.
  void stop() { stopping_ = true; }
  /// Sets the owner's side of claims; null if the service is not divided by key.
  void set_holder(claims::claim_holder* holder) { holder_ = holder; }
  /// Sets who is told that the upstream lacks a key that it should hold.
  void on_missing_key(std::function<void(claims::shard_key)> action) {
    on_missing_key_ = std::move(action);
  }
  /// Lets time act on what waits.
  void tick(time_point now);

  /// Returns the load as peers are told of it.
  [[nodiscard]] routing::load_report load() const;
  /// Returns the loads by stretch of keys.
  [[nodiscard]] std::vector<claims::key_load> key_loads(time_point now);
  /// Returns the share of the requests running now that their upstream sees again.
  [[nodiscard]] double retry_share() const;
  [[nodiscard]] duration service_time() const { return service_time_; }
  [[nodiscard]] std::size_t in_flight() const { return queue_.running() + queue_.waiting(); }
  [[nodiscard]] const gate_counts& counts() const { return counts_; }
  /// Returns how many requests were started after their deadline: none, or a promise is broken.
  [[nodiscard]] std::uint64_t started_late() const { return queue_.counts().started_late; }
  /// Returns how many connections to the upstream were opened.
  [[nodiscard]] std::uint64_t connections_opened() const { return pool_.connections_opened(); }
  /// Returns the connections to the upstream, for calls besides requests.
  [[nodiscard]] connection_pool& pool() { return pool_; }
  /// Returns the id of the upstream's present life; empty if there is none.
  [[nodiscard]] std::string upstream_id() const {
    return incarnation_ ? incarnation_->id : std::string{};
  }
  [[nodiscard]] const endpoint& upstream() const { return settings_.upstream; }
  /// Returns how many connections in a row could not be opened.
  [[nodiscard]] std::uint32_t connect_failures() const { return connect_failures_; }
  /// Forgets connections that could not be opened.
  void reset_connect_failures() { connect_failures_ = 0; }

 private:
  struct waiter {
    explicit waiter(const boost::asio::any_io_executor& executor) : changed(executor) {}
    boost::asio::steady_timer changed;
    bool started = false;
    std::optional<duration> refused;  ///< When to come back.
    bool left = false;
  };

  boost::asio::awaitable<attempt_outcome> admit_and_send(std::shared_ptr<attempt> what,
                                                         std::optional<time_point>& began);
  boost::asio::awaitable<std::optional<attempt_outcome>> await_key(std::shared_ptr<attempt> what);
  boost::asio::awaitable<std::optional<attempt_outcome>> await_body(std::shared_ptr<attempt> what,
                                                                    requests::transfer_id number);
  void carry_out(const requests::transfer_actions& actions);
  boost::asio::awaitable<std::optional<attempt_outcome>> await_admission(
      std::shared_ptr<attempt> what, requests::admission_id number);
  boost::asio::awaitable<attempt_outcome> send(std::shared_ptr<attempt> what);
  attempt_outcome classify(const attempt& what, exchange_outcome end);
  [[nodiscard]] std::optional<attempt_outcome> closed_for(const attempt& what,
                                                          time_point now) const;
  void carry_out(const requests::admission_actions& actions);
  void update_service_time(duration took);
  /// Returns what decided that `what` was refused, for the lines of the entry and the gate.
  [[nodiscard]] std::string refusal_detail(const attempt& what, time_point arrived) const;
  void record(const attempt& what, const attempt_outcome& outcome, time_point arrived,
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
  requests::admission_id next_number_ = 1;

  std::optional<routing::upstream_incarnation> incarnation_;
  std::string service_;
  std::optional<time_point> draining_since_;
  bool stopping_ = false;
  claims::claim_holder* holder_ = nullptr;
  key_meter meter_;
  requests::outage_tracker range_outages_{
      {.wait = std::chrono::milliseconds{150}}};  ///< By first key.
  std::function<void(claims::shard_key)> on_missing_key_;
  duration service_time_{};
  std::uint32_t connect_failures_ = 0;
  std::uint32_t retries_running_ = 0;
  gate_counts counts_;
};

}  // namespace masticshunt::fleet
