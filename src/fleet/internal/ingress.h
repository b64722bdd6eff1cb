/// @file
/// The ingress of callers' requests: routes a request, chooses an upstream, retries, and answers.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet/internal/attempt.h"
#include "fleet/internal/claims_driver.h"
#include "fleet/internal/fleet_view.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/peer_service.h"
#include "masticshunt/decisions/requests/outage_tracker.h"
#include "masticshunt/decisions/requests/retry_budget.h"
#include "masticshunt/decisions/requests/shutdown_plan.h"
#include "masticshunt/decisions/routing/route_profile.h"
#include "masticshunt/support/event_log.h"
#include "masticshunt/support/metrics.h"

namespace masticshunt::fleet {

/// Serves the callers on this VM and the local upstream.
///
/// Forwards each request until an upstream answers it or until no further attempt is allowed; then
/// answers it at once. A refusal with status 503 guarantees that the request has not run.
/// Thread safety: none.
class ingress {
 public:
  ingress(const boost::asio::any_io_executor& executor, const fleet_settings& settings,
          fleet_view& view, gate_service& gate, peer_service& peers, claims_driver& claims,
          support::event_log& log, support::metrics_registry& metrics);

  /// Answers a caller's request.
  void handle(std::shared_ptr<server_request> request);
  /// Refuses a request for whose body there is no memory.
  void refuse_for_memory(const std::shared_ptr<server_request>& request);
  /// From now on refuses requests that `plan` does not take.
  void begin_shutdown(const requests::shutdown_plan& plan) { shutdown_ = plan; }
  /// Changes the bound of retries, for all agents together.
  void set_retry_bound(double ratio, double slack) { budget_.set_bound(ratio, slack); }

 private:
  struct request_state;
  /// The step after an attempt.
  enum class next_step { answer, retry, refuse, fail };

  boost::asio::awaitable<void> serve(std::shared_ptr<server_request> request);
  boost::asio::awaitable<void> run(request_state& state);
  boost::asio::awaitable<attempt_outcome> run_attempt(request_state& state,
                                                      const std::string& agent);
  boost::asio::awaitable<bool> await_owner(request_state& state);
  [[nodiscard]] std::optional<std::string> choose(request_state& state);
  /// Returns false if the owner `agent` can't be reached, has left or is evacuated.
  [[nodiscard]] bool owner_takes_requests(const std::string& agent, time_point now) const;
  void report_owner_availability(const request_state& state, const attempt_outcome& outcome);
  static void append_trail(request_state& state, const attempt_outcome& outcome);
  next_step classify(request_state& state, const std::string& agent,
                     const attempt_outcome& outcome);
  [[nodiscard]] bool may_retry(request_state& state);
  void answer(request_state& state, attempt_outcome outcome);
  void answer_refused(request_state& state, refusal why, std::chrono::milliseconds retry_after);
  void answer_failed(request_state& state, const std::string& why);
  void record(const request_state& state, std::string_view outcome, unsigned status,
              std::string_view why);

  boost::asio::any_io_executor executor_;
  const fleet_settings& settings_;
  fleet_view& view_;
  gate_service& gate_;
  peer_service& peers_;
  claims_driver& claims_;
  support::event_log& log_;
  support::metrics_registry& metrics_;
  requests::retry_budget budget_;
  requests::outage_tracker owner_outages_{{}};              ///< Keyed by service and agent.
  std::map<std::string, routing::route_profile> profiles_;  ///< Keyed by route.
  std::optional<requests::shutdown_plan> shutdown_;
  std::mt19937_64 random_;
};

}  // namespace masticshunt::fleet
