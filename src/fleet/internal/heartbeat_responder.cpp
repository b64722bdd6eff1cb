#include "fleet/internal/heartbeat_responder.h"

#include <utility>

#include "platform/documents.h"

namespace masticshunt::fleet {

namespace {

void respond(server_request& request, const std::optional<claims::heartbeat_answer>& answer) {
  request.respond({.headers = "Content-Type: application/json\r\n",
                   .text = platform::encode_heartbeat_answer(answer)});
}

}  // namespace

void heartbeat_responder::received(claims::claim_holder& holder,
                                   std::shared_ptr<server_request> request,
                                   const claims::reported_keys& keys, bool at_once,
                                   time_point now) {
  if (waiting_) answer(holder, now);
  holder.heartbeat_received(keys, request->connection, now);
  waiting_ = std::move(request);
  if (at_once) answer(holder, now);
}

void heartbeat_responder::tick(claims::claim_holder& holder, time_point now) {
  if (!waiting_) return;
  if (waiting_->cancel.requested()) {
    waiting_.reset();
    return;
  }
  if (holder.heartbeat_answer_due(waiting_->arrived, now)) answer(holder, now);
}

void heartbeat_responder::answer(claims::claim_holder& holder, time_point now) {
  const auto request = std::exchange(waiting_, nullptr);
  respond(*request, holder.answer_heartbeat(request->connection, request->arrived, now));
}

void heartbeat_responder::answer_without_keys(server_request& request) {
  respond(request, std::nullopt);
}

}  // namespace masticshunt::fleet
