/// @file
/// Calls that grant keys to the local upstream and ask for their release.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "fleet/internal/gate_service.h"
#include "fleet/internal/http_client.h"
#include "masticshunt/decisions/claims/claim_holder.h"
#include "masticshunt/support/event_log.h"
#include "platform/calls.h"

namespace masticshunt::fleet {

/// Sends the calls of the claim holder to the local upstream over the gate's connections.
///
/// Life cycle: outlives its calls. Thread safety: none.
class key_calls {
 public:
  key_calls(gate_service& gate, const claims::claim_timing& timing, support::event_log& log)
      : gate_(gate), timing_(timing), log_(log) {}

  /// Grants keys. Returns what is known of the outcome.
  boost::asio::awaitable<claims::grant_result> grant(claims::grant_keys request);
  /// Asks for the release of keys. Returns the upstream's hand-over, which may be empty; nothing if
  /// the upstream did not answer.
  boost::asio::awaitable<std::optional<std::string>> release(claims::release_keys request);

 private:
  /// Returns the request that calls the incarnation `to` of the upstream; any other one refuses it.
  [[nodiscard]] exchange_request request_to(const routing::upstream_incarnation& to,
                                            const platform::call& call, duration timeout) const;
  boost::asio::awaitable<exchange_outcome> run(exchange_request request);

  gate_service& gate_;
  const claims::claim_timing& timing_;
  support::event_log& log_;
};

}  // namespace masticshunt::fleet
