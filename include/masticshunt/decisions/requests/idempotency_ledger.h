/// @file
/// Keeps a non-idempotent request from running twice.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

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
using idempotency_verdict = std::variant<may_run, already_answered, must_not_run>;

/// What is known of an identity that was sent to the upstream.
enum class execution_status { did_not_run, answered, unknown };

/// Parts of the ledger that a test switches off to prove that its checks find the fault.
struct ledger_faults {
  bool discard_unknown = false;     ///< Forgets an identity whose end is unknown.
  bool evict_when_full = false;     ///< Evicts the oldest identity when full.
  bool ignore_history_gap = false;  ///< Runs repeats that an earlier owner may have run.
  bool ignore_stale_route = false;  ///< Trusts a first attempt routed to an earlier ownership.
};

/// Settings of the ledger.
struct ledger_settings {
  duration repeat_window = std::chrono::seconds{60};
  duration delivery_bound = std::chrono::seconds{5};  ///< How late a sent attempt may arrive.
  std::size_t capacity = 65'536;                      ///< Identities remembered at the most.
  std::size_t answer_bytes_kept = 4'096;              ///< Larger answers are not kept.
  std::size_t answer_bytes_total = 64UL << 20U;       ///< All kept answers together.
  ledger_faults faults;
};

/// This agent's ownership of the range that a request's key lies in.
struct ownership_view {
  /// Since when this owner, and those that handed over to it, know of every run without a gap;
  /// `min()` if there was no owner before.
  time_point owned_since = time_point::min();
  fence_token fence{};
};

/// One remembered identity in a hand-over to the next owner.
struct ledger_entry {
  std::string service;
  key_hash hash = 0;
  std::string idempotency_key;
  std::string caller;
  execution_status execution = execution_status::unknown;
  duration age{};  ///< Since the identity was last in use; clocks differ between machines.
  already_answered answer;
};

/// What an owner tells the next one in a planned move.
struct ledger_hand_over {
  std::vector<ledger_entry> entries;
  std::optional<duration> history_length;  ///< Age of its knowledge; empty if nobody owned before.
};

/// Counts of the ledger's verdicts and of its broken promises (which must stay zero).
struct ledger_counts {
  std::uint64_t runs = 0;
  std::uint64_t duplicates_answered = 0;
  std::uint64_t duplicates_refused = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t over_capacity = 0;  ///< Broken promise: more identities than the capacity.
  std::uint64_t evicted_early = 0;  ///< Broken promise: forgotten within the repeat window.
};

/// Remembers which identities this owner has sent to its upstream.
///
/// A request whose identity is unknown gets `may_have_run` while an earlier owner may have run it:
/// until `repeat_window` and `delivery_bound` after `owned_since`. A declared first attempt runs,
/// if the entry agent routed it by the present ownership (or did not say by which). An identity is
/// remembered as long after its last use. When the ledger is full, new identities are refused; none
/// is forgotten early.
///
/// Life cycle: one for each service that the agent owns ranges of. `begin` before the attempt is
/// sent to the upstream, `ended` once for every `may_run`.
/// Thread safety: none; the shell holds the gate's lock.
class idempotency_ledger {
 public:
  explicit idempotency_ledger(ledger_settings settings);
  ~idempotency_ledger();
  idempotency_ledger(idempotency_ledger&&) noexcept;
  idempotency_ledger& operator=(idempotency_ledger&&) noexcept;
  idempotency_ledger(const idempotency_ledger&) = delete;
  idempotency_ledger& operator=(const idempotency_ledger&) = delete;

  /// Asks whether a non-idempotent request may run. `owned_since` is when this agent began to own
  /// the key's range without a gap; pass `time_point::min()` if no earlier owner existed.
  idempotency_verdict begin(const request_descriptor& request, time_point owned_since,
                            time_point now);

  /// Asks whether a non-idempotent request may run under the ownership `owner`.
  idempotency_verdict begin(const request_descriptor& request, const ownership_view& owner,
                            time_point now);

  /// Reports how the request ended. `answer` is kept if `execution` is `answered`.
  void ended(const request_descriptor& request, execution_status execution, already_answered answer,
             time_point now);

  /// Returns what the next owner of a range needs in a planned move. Entries that still run are
  /// given as `unknown`; the shell finishes the range before it exports.
  [[nodiscard]] ledger_hand_over export_range(std::string_view service, const hash_range& range,
                                              time_point owned_since, time_point now) const;

  /// Takes over what an earlier owner knew. Returns the `owned_since` of the new ownership, or
  /// nothing, with no entry taken, if the entries do not fit: `owned_since` is `now` then.
  std::optional<time_point> import_range(const ledger_hand_over& given, time_point now);

  /// Forgets the entries of a range that now belongs to somebody else.
  void drop_range(std::string_view service, const hash_range& range);

  /// Returns how many identities are remembered.
  [[nodiscard]] std::size_t size() const;
  /// Returns the bytes of kept answers.
  [[nodiscard]] std::size_t answer_bytes() const;
  /// Returns the counts so far.
  [[nodiscard]] const ledger_counts& counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace masticshunt::requests
