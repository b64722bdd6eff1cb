/// @file
/// One attempt to have a request run by an upstream, here or at a peer, and what became of it.
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

/// A request as it goes to an upstream.
struct attempt {
  std::string id;
  std::string method;
  std::string target;
  std::string headers;                  ///< The caller's header lines that are passed on.
  std::shared_ptr<body_pipe> body;      ///< Null: no body.
  std::function<void()> send_continue;  ///< Set while the sender holds a large body back.
  std::string service;
  std::string caller_service;  ///< Of the VM where the request began.
  std::uint32_t rank = 0;
  bool idempotent = false;
  bool retry = false;  ///< An upstream has seen this request before.
  std::optional<claims::shard_key> key;
  duration latency_target{};  ///< Latency within which an answer has its full worth.
  time_point target_time;     ///< The end of that latency, from the request's arrival.
  time_point deadline;
  std::uint64_t state_version = 0;  ///< The desired state that the entry routed by.
  std::uint64_t map_revision = 0;   ///< The claim map that the entry routed by.
  cancellation* left = nullptr;     ///< Never null in use.
};

/// What became of an attempt.
enum class attempt_result {
  answered,      ///< The upstream's own answer.
  not_run,       ///< It did not run and will not.
  may_have_run,  ///< Whether it ran is not known, or it ran and its answer is lost.
  unreachable,   ///< Nothing was sent.
  cancelled      ///< The caller has left.
};

/// Why an attempt was not run.
enum class refusal {
  none,
  overloaded,     ///< The gate's queue would take too long.
  leaving,        ///< The upstream or its agent takes nothing new.
  no_upstream,    ///< No upstream of the service is there.
  not_owner,      ///< Another agent owns the key.
  owner_pending,  ///< The key is being granted or moved.
  shed            ///< The upstream refused it.
};
std::string_view to_string(refusal why);
refusal refusal_from(std::string_view name);
std::string_view to_string(attempt_result result);

/// The owner that a refusing agent names.
struct owner_hint {
  claims::claim claim;
  std::uint64_t revision = 0;
};

/// The end of an attempt.
struct attempt_outcome {
  attempt_result result = attempt_result::unreachable;
  refusal why = refusal::none;
  bool reached_upstream = false;  ///< The upstream saw the request; a repeat costs budget.
  std::chrono::milliseconds retry_after{0};
  unsigned status = 0;
  std::string headers;  ///< Header lines of the answer.
  std::shared_ptr<body_pipe> body;
  std::optional<routing::load_report> load;
  duration ran_for{};  ///< From sending it to the upstream to the answer; zero if there is none.
  std::optional<owner_hint> owner;
  std::string detail;  ///< For the log.
};

/// Returns an outcome for a request that was not run.
attempt_outcome refused(refusal why, std::chrono::milliseconds retry_after = {},
                        std::string detail = {});

/// Returns what an attempt that reached a gate says of its upstream.
routing::attempt_health health_of(const attempt_outcome& outcome);

/// Returns the body of `request`, or null if its head announces none.
std::shared_ptr<body_pipe> body_of(const server_request& request);

/// Returns the header lines of `from` that are passed on to an upstream.
std::string headers_for_upstream(const fields& from);
/// Returns the header lines of `from` that are passed on to a caller.
std::string headers_for_caller(const fields& from);

/// @name The lines that agents add towards each other.
/// @{
std::string forwarding_header(const attempt& request, time_point now);
/// Reads the hop line of a request that arrived at `now` into `request`. Returns false if there is
/// no sound line.
bool read_forwarding_header(const fields& from, time_point now, attempt& request);
std::string load_header(const routing::load_report& load);
std::string refusal_header(const attempt_outcome& outcome);
std::string state_version_header(std::uint64_t state_version);
/// What a peer's answer states besides the upstream's own.
struct peer_answer_headers {
  std::optional<routing::load_report> load;
  std::optional<attempt_outcome> refused;  ///< Set if the peer's gate refused or lost it.
  std::uint64_t state_version = 0;
};
peer_answer_headers read_peer_answer_headers(const fields& from);
/// @}

}  // namespace masticshunt::fleet
