/// @file
/// An attempt to run a request at the local upstream or at a peer, its outcome, and the headers
/// that agents exchange about it.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/internal/body_pipe.h"
#include "fleet/internal/cancellation.h"
#include "fleet/internal/http_server.h"
#include "masticshunt/decisions/claims/claim_map.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::fleet {

/// A request on its way to an upstream.
struct attempt {
  std::string id;
  std::string method;
  std::string host;
  std::string target;
  std::string headers;                  ///< Header lines of the caller that are forwarded.
  std::shared_ptr<body_pipe> body;      ///< Null if the request has no body.
  std::function<void()> send_continue;  ///< Set while the sender waits for 100 Continue.
  std::string service;
  std::string caller_service;  ///< Service of the VM on which the caller runs.
  std::uint32_t rank = 0;
  bool idempotent = false;
  bool retry = false;  ///< An earlier attempt reached an upstream.
  std::optional<claims::shard_key> key;
  duration latency_target{};  ///< Latency up to which an answer has its full value.
  time_point target_time;     ///< Arrival plus target, less the time of earlier attempts.
  time_point deadline;
  std::uint64_t state_version = 0;           ///< Version of the ingress agent's desired state.
  std::uint64_t map_revision = 0;            ///< Revision of the ingress agent's claim map.
  std::uint64_t evacuations_changed_at = 0;  ///< Of the evacuated zones that its agent knows.
  /// Requests a second that the upstream takes as far as the ingress agent was told, if limited.
  std::optional<double> request_limit;
  requests::budget_share answer_share;  ///< In which the answer's body is counted.
  cancellation* cancel = nullptr;       ///< Not null while the request is served.
};

/// The result of an attempt.
enum class attempt_result {
  answered,      ///< The upstream answered.
  not_run,       ///< The request did not run and will not run.
  may_have_run,  ///< Unknown outcome, or the request ran and its answer is lost.
  unreachable,   ///< Nothing was sent.
  cancelled      ///< The caller disconnected.
};

/// The reason why an attempt was not run.
enum class refusal {
  none,
  overloaded,     ///< The request would wait too long at the gate.
  leaving,        ///< The upstream or its agent accepts no new requests.
  no_upstream,    ///< The agent has no available upstream of the service; with a time to come
                  ///< back: it has restarted and waits for the upstream's heartbeat.
  not_owner,      ///< Another agent owns the key.
  owner_pending,  ///< The key has no reachable owner, or is being granted or moved.
  shed,           ///< The upstream refused the request without running it.
  evacuated,      ///< Operators have ordered the upstream's zone to be evacuated.
  region          ///< The request may not be handled in the region.
};
std::string_view to_string(refusal why);
refusal refusal_from(std::string_view name);
std::string_view to_string(attempt_result result);

/// The owner of a key according to the agent that refused a request.
struct owner_hint {
  claims::claim claim;
  std::uint64_t revision = 0;
};

/// The outcome of an attempt.
struct attempt_outcome {
  attempt_result result = attempt_result::unreachable;
  refusal why = refusal::none;
  bool reached_upstream = false;  ///< The upstream received the request; a retry costs budget.
  std::chrono::milliseconds retry_after{0};
  unsigned status = 0;
  std::string headers;  ///< Header lines of the answer.
  std::shared_ptr<body_pipe> body;
  std::optional<routing::load_report> load;
  duration ran_for{};  ///< From sending to the upstream until its answer; zero without one.
  std::optional<owner_hint> owner;
  std::string detail;  ///< Explanation for the log.
};

/// Returns the outcome of a request that was not run.
attempt_outcome refused(refusal why, std::chrono::milliseconds retry_after = {},
                        std::string detail = {});

/// Returns the health of the upstream that follows from an attempt.
routing::attempt_health health_of(const attempt_outcome& outcome);

/// Returns the body of `request`, or null if its head has neither length nor transfer coding.
std::shared_ptr<body_pipe> body_of(const server_request& request);

/// Returns the header lines of `from` that are forwarded to an upstream.
std::string headers_for_upstream(const fields& from);
/// Returns the header lines of `from` that are forwarded to a caller.
std::string headers_for_caller(const fields& from);

/// @name Header lines between agents.
/// @{
std::string forwarding_header(const attempt& request, time_point now);
/// Reads the forwarding header of a request that arrived at `now` into `request`. Returns false if
/// it is missing or malformed.
bool read_forwarding_header(const fields& from, time_point now, attempt& request);
std::string load_header(const routing::load_report& load);
std::string refusal_header(const attempt_outcome& outcome);
std::string state_version_header(std::uint64_t state_version, std::uint64_t evacuations_changed_at);
/// The agent's own headers in the answer of a peer.
struct peer_answer_headers {
  std::optional<routing::load_report> load;
  /// Set if the peer refused the request or lost its answer.
  std::optional<attempt_outcome> refused;
  std::uint64_t state_version = 0;
  std::uint64_t evacuations_changed_at = 0;
};
peer_answer_headers read_peer_answer_headers(const fields& from);
/// @}

}  // namespace masticshunt::fleet
