/// @file
/// Which answers to its heartbeats an upstream has read.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "masticshunt/base/time.h"

namespace masticshunt::claims {

/// Identifies a connection over which heartbeats arrive. Connections are never given the same one.
using connection_id = std::uint64_t;
/// Numbers the answers to heartbeats, from 1 on, in the order in which they were sent.
using answer_number = std::uint64_t;

/// Tells which answers an upstream has read, and which it may still read.
///
/// An upstream sends the next heartbeat over a connection only after it has read the answer to the
/// previous one there, so a heartbeat shows that the earlier answers over its connection were read.
/// Other answers may still be read until `answer_limit` after the arrival of their heartbeat: an
/// upstream ignores later ones.
/// Thread safety: none.
class answer_history {
 public:
  /// An earlier process may have sent an answer until `now`; it counts as number 0.
  answer_history(duration answer_limit, time_point now);

  /// Records the answer to the heartbeat that arrived over `connection` at `arrived`. Returns its
  /// number.
  answer_number sent(connection_id connection, time_point arrived);
  /// A heartbeat arrived. Returns the last answer that the upstream had read when it sent the
  /// heartbeat; zero if none is known.
  answer_number heartbeat_received(connection_id connection, time_point now);
  /// Returns true if the upstream can no longer read any unread answer up to `number`.
  [[nodiscard]] bool settled(answer_number number) const;
  /// Returns the number of the last answer; zero before the first.
  [[nodiscard]] answer_number last() const { return last_; }

 private:
  struct unread_answer {
    answer_number number = 0;
    connection_id connection = 0;
    time_point readable_until;
  };

  duration answer_limit_;
  answer_number last_ = 0;
  std::vector<unread_answer> unread_;
  std::map<connection_id, answer_number> last_of_connection_;  ///< A few connections at most.
};

}  // namespace masticshunt::claims
