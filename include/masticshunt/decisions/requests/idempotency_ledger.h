/// @file
/// Detects duplicate requests by idempotency key, so that a non-idempotent request runs once.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// The request may be sent to the upstream; its end must be reported with `ended`.
struct may_run {};
/// The request already ran; this was its answer.
struct already_answered {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = false;  ///< False if the answer was too large to keep.
};
/// The request must not run: the outcome to report to the caller, and the reason.
struct must_not_run {
  requests::outcome outcome = requests::outcome::may_have_run;
  refusal_reason reason = refusal_reason::repeat_unknown;
};
using idempotency_verdict = std::variant<may_run, already_answered, must_not_run>;

/// The known result of a request that was sent to the upstream.
enum class execution_status { did_not_run, answered, unknown };

/// Fault injection: rules that a test switches off to prove that its checks detect it.
struct ledger_faults {
  bool discard_unknown = false;     ///< Discards a key whose outcome is unknown.
  bool evict_when_full = false;     ///< Evicts the oldest key when full.
  bool ignore_history_gap = false;  ///< Runs duplicates that an earlier owner may have run.
  bool ignore_stale_route = false;  ///< Trusts a first attempt that was routed to an earlier owner.
};

/// Settings of the ledger.
struct ledger_settings {
  duration repeat_window = std::chrono::seconds{60};
  duration delivery_bound = std::chrono::seconds{5};  ///< Maximum delay of a sent attempt.
  std::size_t capacity = 65'536;                      ///< Maximum number of idempotency keys.
  std::size_t answer_bytes_kept = 4'096;              ///< Larger answers are not kept.
  std::size_t answer_bytes_total = 64UL << 20U;       ///< Limit for all kept answers together.
  ledger_faults faults;
};

/// This agent's ownership of the range that a request's key lies in.
struct ownership_view {
  /// Since when this owner and the owners that handed over to it have recorded every execution
  /// without a gap; `min()` if there was no owner before.
  time_point owned_since = time_point::min();
  fence_token fence{};
};

/// One idempotency key in a hand-over to the next owner.
struct ledger_entry {
  std::string service;
  key_hash hash = 0;
  std::string idempotency_key;
  std::string caller;
  execution_status execution = execution_status::unknown;
  duration age{};  ///< Time since the last use: a duration, since clocks differ between machines.
  already_answered answer;
};

/// The ledger entries that an owner transfers to the next owner in a planned move.
struct ledger_hand_over {
  std::vector<ledger_entry> entries;
  /// Age of the recorded history; empty if there was no owner before.
  std::optional<duration> history_length;
};

/// Counters of a ledger. The last two count invariant violations and must stay zero.
struct ledger_counts {
  std::uint64_t runs = 0;
  std::uint64_t duplicates_answered = 0;
  std::uint64_t duplicates_refused = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t over_capacity = 0;  ///< More keys than the capacity.
  std::uint64_t evicted_early = 0;  ///< A key was evicted before the end of its retention.
};

/// Records the idempotency keys of the requests that this owner has sent to its upstream.
///
/// A request with an unknown key is refused as `may_have_run` while an earlier owner may have run
/// it, that is, until `repeat_window` plus `delivery_bound` after `owned_since`. A declared first
/// attempt runs, provided that the ingress agent routed it by the current ownership (or did not
/// state the fencing token that it routed by). A key is kept for `repeat_window` plus
/// `delivery_bound` after its last use. When the ledger is full, requests with new keys are
/// refused; no key is evicted early.
///
/// Usage: one ledger for each service that the agent owns ranges of. Call `begin` before an
/// attempt is sent to the upstream, and `ended` once for every `may_run`.
/// Thread safety: none; the calling agent holds the gate's lock.
class idempotency_ledger {
 public:
  explicit idempotency_ledger(ledger_settings settings);
  ~idempotency_ledger();
  idempotency_ledger(idempotency_ledger&&) noexcept;
  idempotency_ledger& operator=(idempotency_ledger&&) noexcept;
  idempotency_ledger(const idempotency_ledger&) = delete;
  idempotency_ledger& operator=(const idempotency_ledger&) = delete;

  /// Decides whether a non-idempotent request may run. `owned_since` is the time since when this
  /// agent has owned the key's range without a gap; `time_point::min()` if there was no earlier
  /// owner.
  idempotency_verdict begin(const request_descriptor& request, time_point owned_since,
                            time_point now);

  /// Decides whether a non-idempotent request may run under the ownership `owner`.
  idempotency_verdict begin(const request_descriptor& request, const ownership_view& owner,
                            time_point now);

  /// Reports how the request ended. `answer` is kept if `execution` is `answered`.
  void ended(const request_descriptor& request, execution_status execution, already_answered answer,
             time_point now);

  /// Returns the entries that the next owner of a range needs in a planned move. Requests that
  /// still run are exported as `unknown`; the calling agent finishes the range before it exports.
  [[nodiscard]] ledger_hand_over export_range(std::string_view service, const hash_range& range,
                                              time_point owned_since, time_point now) const;

  /// Imports the entries of an earlier owner. Returns the `owned_since` of the new ownership. If
  /// the entries do not fit, imports none and returns nothing; `owned_since` is `now` in that
  /// case.
  std::optional<time_point> import_range(const ledger_hand_over& given, time_point now);

  /// Removes the entries of a range that another agent owns now, except those of requests that
  /// still run.
  void drop_range(std::string_view service, const hash_range& range);

  /// Returns the number of idempotency keys.
  [[nodiscard]] std::size_t size() const;
  /// Returns the total size of the kept answers in bytes.
  [[nodiscard]] std::size_t answer_bytes() const;
  [[nodiscard]] const ledger_counts& counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::requests
