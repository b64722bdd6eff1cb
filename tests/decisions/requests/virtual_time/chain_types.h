/// @file
/// Settings, faults and findings of the randomised simulation of the request chain.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/gate.h"
#include "masticshunt/decisions/requests/idempotency_ledger.h"
#include "masticshunt/decisions/requests/retry.h"

namespace masticshunt::testing {

/// Injected faults, each of which breaks an invariant.
struct chain_faults {
  requests::ledger_faults ledger;
  requests::gate_faults gate;
  bool claim_not_run = false;   ///< Every refusal reports "not run".
  bool retry_unproven = false;  ///< The ingress ignores that a lost forward may have run.
  /// The next owner gets no entries but assumes that the history is complete.
  bool hide_hand_over = false;
  bool deliver_any_answer = false;  ///< The ingress delivers late answers to another open request.
  bool start_after_loss = false;    ///< Waiting attempts start after the range moved away.
};

/// Settings of a run.
struct chain_settings {
  std::uint64_t seed = 1;
  std::uint64_t calls = 50'000;  ///< Logical requests; each has up to five attempts.
  std::uint32_t agents = 4;
  std::uint32_t ranges = 8;
  duration between_calls = std::chrono::microseconds{800};
  duration repeat_window = std::chrono::seconds{4};
  duration delivery_bound = std::chrono::milliseconds{2'500};
  duration between_moves = std::chrono::milliseconds{200};
  double link_break_share = 0.02;  ///< Share of the forwards; the sent data arrives late.
  double unplanned_share = 0.1;    ///< Share of the moves.
  duration between_freezes = std::chrono::seconds{10};
  std::size_t ledger_capacity = 65'536;
  chain_faults faults;
};

/// The findings of a run. The first eight count invariant violations and must be zero.
struct chain_findings {
  std::uint64_t double_runs = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t foreign_answers = 0;
  std::uint64_t floors_broken = 0;
  std::uint64_t queue_bounds_broken = 0;
  std::uint64_t late_starts = 0;
  std::uint64_t key_bounds_broken = 0;
  std::uint64_t ledger_bounds_broken = 0;
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t forwards = 0;
  std::uint64_t retries = 0;
  std::uint64_t runs = 0;
  std::uint64_t served = 0;
  std::uint64_t reported_not_run = 0;
  std::uint64_t reported_may_have_run = 0;
  std::uint64_t late_answers_dropped = 0;
  std::uint64_t answered_from_ledger = 0;
  std::uint64_t planned_moves = 0;
  std::uint64_t unplanned_moves = 0;
  std::uint64_t freezes = 0;
  std::size_t ledger_size_max = 0;
};

/// A logical request of a caller: retried with the same idempotency key until it is served.
struct chain_call {
  bool idempotent = false;
  bool declares_attempts = false;  ///< The caller declares its attempt numbers.
  std::uint32_t caller = 0;
  key_hash key = 0;
  time_point first_sent{};
  std::uint32_t attempts = 0;
  std::uint32_t not_run_reported = 0;  ///< The highest attempt that was reported as "not run".
  std::uint32_t runs = 0;
  std::uint32_t first_attempt_run = 0;  ///< The lowest attempt that was executed.
  bool satisfied = false;
};

/// One attempt of a call at an ingress agent.
struct chain_attempt {
  std::uint32_t call = 0;
  std::uint32_t number = 0;
  std::uint32_t ingress = 0;
  duration allowed{};
  time_point deadline = time_point::max();  ///< On the ingress agent's clock; set on arrival.
  std::uint32_t forwards = 0;
  bool may_have_run = false;      ///< One of its forwards may have run.
  bool open = true;               ///< The ingress has not reported an outcome.
  bool outcome_received = false;  ///< The caller received an outcome or timed out.
};

/// One forward of an attempt from its ingress agent to an owner.
struct chain_forward {
  std::uint32_t attempt = 0;
  std::uint32_t number = 0;
  std::uint32_t owner = 0;
  fence_token fence{};
  time_point deadline{};  ///< On the owner's clock; set on arrival.
};

/// An owner's reply to a forward.
struct chain_reply {
  std::uint32_t forward = 0;
  requests::outcome outcome = requests::outcome::not_run;
  requests::refusal_reason reason = requests::refusal_reason::none;
  duration retry_after{};
  std::uint32_t body = 0;  ///< The call that the answer belongs to.
};

}  // namespace masticshunt::testing
