/// @file
/// Answers to the heartbeats of an upstream that takes its keys with them.
#pragma once

#include <memory>

#include "fleet/internal/http_server.h"
#include "masticshunt/decisions/claims/claim_holder.h"

namespace masticshunt::fleet {

/// Keeps the answer to the last heartbeat back while the claim holder has nothing to grant, renew
/// or release, so that a change of owners need not wait for the next heartbeat.
/// Life cycle: call `tick` after each event that may change the holder's keys. Thread safety: none.
class heartbeat_responder {
 public:
  /// Passes the reported keys to the holder, and answers `request` now or in a later `tick`.
  /// `at_once`: the answer does not wait.
  void received(claims::claim_holder& holder, std::shared_ptr<server_request> request,
                const claims::reported_keys& keys, bool at_once, time_point now);
  /// Answers the waiting heartbeat if it is due.
  void tick(claims::claim_holder& holder, time_point now);
  /// Answers a heartbeat such that the upstream's keys stay as they are.
  static void answer_without_keys(server_request& request);

 private:
  void answer(claims::claim_holder& holder, time_point now);

  std::shared_ptr<server_request> waiting_;  ///< Null if every heartbeat was answered.
};

}  // namespace masticshunt::fleet
