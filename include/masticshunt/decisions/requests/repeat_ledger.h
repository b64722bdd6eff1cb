/// @file
/// Keeps a non-idempotent request from running twice.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// The request may be sent to the upstream; report its end with `ended`.
struct may_run {};
/// It ran before; this was its answer.
struct already_answered {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = false;  ///< False if the answer was too large to keep.
};
/// It must not run: the outcome to tell the caller, and why.
struct must_not_run {
  outcome what = outcome::may_have_run;
  refusal_reason reason = refusal_reason::repeat_unknown;
};
using repeat_verdict = std::variant<may_run, already_answered, must_not_run>;

/// What is known of an identity that was sent to the upstream.
enum class run_knowledge { did_not_run, answered, unknown };

/// Settings of the ledger.
struct ledger_settings {
  duration repeat_window = std::chrono::seconds{60};
  std::size_t capacity = 65'536;          ///< Identities remembered at the most.
  std::size_t answer_bytes_kept = 4'096;  ///< Larger answers are not kept.
};

/// Remembers which identities this owner has sent to its upstream.
///
/// A request without a declared first attempt, whose identity is unknown, gets `may_have_run`
/// while an earlier owner may have run it: until `repeat_window` after `owned_since`.
/// Thread safety: none; the shell holds the gate's lock.
class repeat_ledger {
 public:
  explicit repeat_ledger(ledger_settings settings);
  ~repeat_ledger();
  repeat_ledger(repeat_ledger&&) noexcept;
  repeat_ledger& operator=(repeat_ledger&&) noexcept;
  repeat_ledger(const repeat_ledger&) = delete;
  repeat_ledger& operator=(const repeat_ledger&) = delete;

  /// Asks whether a non-idempotent request may run. `owned_since` is when this agent began to own
  /// the key's range without a gap; pass `time_point::min()` if no earlier owner existed.
  repeat_verdict begin(const request_descriptor& request, time_point owned_since, time_point now);

  /// Reports how the request ended. `answer` is kept if `knowledge` is `answered`.
  void ended(const request_descriptor& request, run_knowledge knowledge, already_answered answer,
             time_point now);

  /// Returns how many identities are remembered.
  [[nodiscard]] std::size_t size() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::requests
