/// @file
/// Where callers' requests come in: routes them, finds the upstream, and answers truthfully.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
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
#include "masticshunt/decisions/routing/route_profile.h"
#include "masticshunt/support/event_log.h"
#include "masticshunt/support/metrics.h"

namespace masticshunt::fleet {

/// Serves callers on this VM and the upstream beside this agent.
///
/// Each request is sent on until an upstream answered it, or until nothing more may truthfully be
/// done for it; then it is answered at once. A refusal with 503 says that it has not run.
/// Thread safety: none.
class ingress {
 public:
  ingress(const boost::asio::any_io_executor& executor, const fleet_settings& settings,
          fleet_view& known, gate_service& gate, peer_service& peers, claims_driver& claims,
          support::event_log& log, support::metrics_registry& metrics);

  /// Answers a caller's request.
  void handle(std::shared_ptr<server_request> request);

 private:
  struct job;
  /// What to do after an attempt.
  enum class next_step { answer, again, refuse, fail };

  boost::asio::awaitable<void> serve(std::shared_ptr<server_request> request);
  boost::asio::awaitable<void> run(job& now);
  boost::asio::awaitable<attempt_outcome> run_attempt(job& now, const std::string& agent);
  boost::asio::awaitable<bool> await_owner(job& now);
  [[nodiscard]] std::optional<std::string> choose(job& now);
  void report_owner_availability(const job& now, const attempt_outcome& outcome);
  static void append_trail(job& now, const attempt_outcome& outcome);
  next_step classify(job& now, const std::string& agent, const attempt_outcome& outcome);
  [[nodiscard]] bool may_retry(job& now);
  void answer(job& now, attempt_outcome outcome);
  void answer_refused(job& now, refusal why, std::chrono::milliseconds retry_after);
  void answer_failed(job& now, const std::string& why);
  void record(const job& now, std::string_view outcome, unsigned status, std::string_view why);

  boost::asio::any_io_executor executor_;
  const fleet_settings& settings_;
  fleet_view& view_;
  gate_service& gate_;
  peer_service& peers_;
  claims_driver& claims_;
  support::event_log& log_;
  support::metrics_registry& metrics_;
  requests::retry_budget budget_;
  requests::outage_tracker owner_outages_{{}};              ///< By service and agent.
  std::map<std::string, routing::route_profile> profiles_;  ///< By route.
  std::mt19937_64 random_;
};

}  // namespace masticshunt::fleet
