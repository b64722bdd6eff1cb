/// @file
/// Matches answers to requests by identity and attempt.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Names one request of an entry agent. Never used twice within one life of the agent.
using request_number = std::uint64_t;

/// What to do with an answer that arrived.
enum class answer_verdict {
  deliver,    ///< The first answer to its request: pass it on.
  duplicate,  ///< Another attempt, or this one, was answered before: drop it.
  late,       ///< The request has ended without an answer: drop it.
  unexpected  ///< No such attempt was sent: drop it.
};

/// Counts of the verdicts.
struct answer_counts {
  std::uint64_t delivered = 0;
  std::uint64_t duplicate = 0;
  std::uint64_t late = 0;
  std::uint64_t unexpected = 0;
};

/// Knows which attempts of which requests may still be answered.
///
/// A request may have several attempts under way (retries, hedges); exactly one answer is
/// delivered. Ended requests are remembered for a while only to tell late answers from unexpected
/// ones; an answer that nobody remembers is never delivered.
///
/// Life cycle: `sent` for every attempt; `arrived` for every answer; `ended` when the caller got
/// its outcome without an answer. Thread safety: none; the shell holds the lock of the entry.
class answer_match {
 public:
  /// Remembers at most `ended_max` ended requests.
  explicit answer_match(std::size_t ended_max = 1'024) : ended_max_(ended_max) {}

  /// Reports that attempt `attempt` of `request` was sent.
  void sent(request_number request, std::uint32_t attempt);
  /// Returns what to do with the answer to attempt `attempt` of `request`.
  answer_verdict arrived(request_number request, std::uint32_t attempt);
  /// Reports that the request ended without an answer.
  void ended(request_number request);

  /// Returns the requests that may still be answered.
  [[nodiscard]] std::size_t open() const { return requests_.size() - ended_.size(); }
  /// Returns the requests remembered.
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  /// Returns the counts so far.
  [[nodiscard]] const answer_counts& counts() const { return counts_; }

 private:
  enum class progress { open, answered, unanswered };
  struct request_state {
    progress state = progress::open;
    std::uint32_t last_attempt = 0;
  };

  void end(request_number number, request_state& request, progress state);

  std::size_t ended_max_;
  std::map<request_number, request_state> requests_;
  std::deque<request_number> ended_;  ///< Oldest first.
  answer_counts counts_;
};

}  // namespace masticshunt::requests
