/// @file
/// A request as the decisions see it, and the outcomes it can have.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::requests {

/// Names one attempt of one request within an agent.
using attempt_id = std::uint64_t;

/// What became of a request. Every answer to a caller carries one.
enum class outcome {
  served,        ///< The upstream's whole answer was passed on.
  not_run,       ///< Proved: the request did not run and will not.
  may_have_run,  ///< It may have run; it must not be repeated blindly.
  failed         ///< It ran and ended in an error.
};

/// Returns "served", "not-run", "may-have-run" or "failed".
std::string_view to_string(outcome what);

/// Why a request was refused without being run.
enum class refusal_reason {
  none,
  no_owner,           ///< Nobody owns the key at the moment.
  not_owner,          ///< Another agent owns the key; see the owner hint.
  overloaded,         ///< The rank's queue is full or too slow.
  deadline_passed,    ///< The deadline passed before the request could start.
  draining,           ///< The agent takes no new work.
  upstream_shed,      ///< The upstream refused before running.
  fenced,             ///< The upstream has seen a newer owner.
  repeat_unknown,     ///< A repeat whose first attempt an earlier owner may have run.
  already_running,    ///< The same identity is running now.
  bad_request,        ///< The request breaks a rule of the interface.
  unknown_service,    ///< No record names the service.
  schema_unsupported  ///< The service's record has a schema that this agent cannot read.
};

/// Returns the machine-readable name of `reason`, for example "not_owner".
std::string_view to_string(refusal_reason reason);

/// How an attempt ended at the upstream.
enum class attempt_result { answered, shed, error, timed_out, cancelled };

/// A request as admission, the repeat ledger and retries see it.
struct request_descriptor {
  attempt_id attempt = 0;
  std::string service;
  key_hash hash = 0;
  std::string caller;      ///< Who sends; the unit of fairness within a rank.
  std::uint32_t rank = 0;  ///< Index by order of urgency; 0 is served first.
  bool idempotent = true;
  std::string idempotency_key;  ///< Idempotency-Key; empty if the caller gave none.
  std::optional<std::uint32_t> declared_attempt;  ///< 1 if the caller says it never sent it before.
  time_point deadline;
  std::uint64_t body_bytes = 0;  ///< Zero if unknown.
  /// The owner's fence that the entry agent routed by; empty if it did not say.
  std::optional<fence_token> routed_fence;
};

/// Returns the outcome that a refusal before the upstream may state truthfully.
///
/// A non-idempotent request that is not declared to be a first attempt may be a repeat of an
/// attempt that ran, or still runs, elsewhere: its refusal says `may_have_run`.
outcome refusal_outcome(const request_descriptor& request);

}  // namespace masticshunt::requests
