/// @file
/// Matches answers to requests by request number and attempt.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::requests {

/// Identifies one request of an ingress agent. Never reused within one incarnation of the agent.
using request_number = std::uint64_t;

/// What to do with an answer that arrived.
enum class answer_verdict {
  deliver,    ///< The first answer to its request: forward it.
  duplicate,  ///< This or another attempt was already answered: drop it.
  late,       ///< The request already ended without an answer: drop it.
  unexpected  ///< No such attempt was sent: drop it.
};

/// Counts of the verdicts.
struct answer_counts {
  std::uint64_t delivered = 0;
  std::uint64_t duplicate = 0;
  std::uint64_t late = 0;
  std::uint64_t unexpected = 0;
};

/// Tracks which attempts of which requests may still be answered.
///
/// A request may have several attempts in flight (retries, hedges); exactly one answer is
/// delivered. The latest ended requests are kept only to distinguish duplicate, late and
/// unexpected answers; an answer to a request that is no longer kept is never delivered.
///
/// Usage: call `sent` for every attempt, `arrived` for every answer, and `ended` when the caller
/// received an outcome without an answer. Thread safety: none; the calling agent holds the lock of
/// its ingress.
class answer_match {
 public:
  /// Keeps at most `ended_max` ended requests.
  explicit answer_match(std::size_t ended_max = 1'024) : ended_max_(ended_max) {}

  /// Reports that attempt `attempt` of `request` was sent.
  void sent(request_number request, std::uint32_t attempt);
  /// Classifies the answer to attempt `attempt` of `request`.
  answer_verdict arrived(request_number request, std::uint32_t attempt);
  /// Reports that the request ended without an answer.
  void ended(request_number request);

  /// Returns the number of requests that may still be answered.
  [[nodiscard]] std::size_t open() const { return requests_.size() - ended_.size(); }
  /// Returns the number of requests kept, open or ended.
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
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
