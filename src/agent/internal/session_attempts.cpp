// Single attempts of a session's request: at the local upstream or at the owner's agent.
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include "agent/internal/session.h"
#include "agent/internal/session_request.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using caller::request_origin;
using requests::outcome;
using requests::refusal_reason;

namespace {

constexpr auto awaitable_result = asio::as_tuple(asio::use_awaitable);

std::string_view as_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string remaining_milliseconds(time_point deadline) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - boot_now()).count();
  return std::to_string(std::max<std::int64_t>(remaining, 1));
}

std::chrono::milliseconds in_milliseconds(duration span) {
  return std::chrono::ceil<std::chrono::milliseconds>(span);
}

void copy_end_to_end_fields(const http::fields& from, http::fields& to) {
  for (const auto& field : from) {
    const auto name = as_view(field.name_string());
    const bool reserved =
        name.size() > 12 && boost::beast::iequals(name.substr(0, 12), "masticshunt-");
    const bool skipped = reserved || caller::is_hop_by_hop(name) ||
                         field.name() == http::field::host || field.name() == http::field::expect;
    if (!skipped) to.insert(field.name_string(), field.value());
  }
}

}  // namespace

asio::awaitable<session::attempt_end> session::attempt(current_request& current,
                                                       caller_stream& stream) {
  attempt_end end;
  if (boot_now() >= current.descriptor.deadline) {
    end.retry_forbidden = true;
    end.refusal = {
        outcome::not_run, refusal_reason::deadline_passed, "the deadline passed", "", {}, {}};
    co_return end;
  }
  if (origin_ == request_origin::from_agent) co_return co_await attempt_locally(current, stream);
  const auto owner = tables_.route(current.request.service, current.request.hash);
  if (!owner) {
    end.refusal = {outcome::not_run,
                   refusal_reason::no_owner,
                   "nobody owns the key at the moment",
                   "",
                   std::chrono::seconds{1},
                   {}};
    co_return end;
  }
  current.tried_owner = owner->owner.id;
  current.tried_token = owner->token;
  current.descriptor.routed_fence = owner->token;
  if (owner->is_self) co_return co_await attempt_locally(current, stream);
  co_return co_await attempt_at_owner(current, stream, owner->owner);
}

asio::awaitable<session::attempt_end> session::attempt_locally(current_request& current,
                                                               caller_stream& stream) {
  local_verdict verdict =
      co_await tables_.admit(current.descriptor, current.service, socket_.get_executor());
  if (const auto* permit = std::get_if<local_permit>(&verdict)) {
    co_return co_await run_admitted(current, stream, *permit);
  }
  if (auto* recorded = std::get_if<requests::already_answered>(&verdict)) {
    co_return co_await replay(current, stream, std::move(*recorded));
  }
  const auto& refused = std::get<local_refusal>(verdict);
  attempt_end end;
  end.refusal = {refused.outcome,
                 refused.reason,
                 "the request was not sent to the upstream",
                 "",
                 in_milliseconds(refused.retry_after),
                 {}};
  end.retry_forbidden = refused.outcome != outcome::not_run;
  co_return end;
}

asio::awaitable<session::attempt_end> session::run_admitted(current_request& current,
                                                            caller_stream& stream,
                                                            const local_permit& permit) {
  exchange_plan plan = plan_for_upstream(current, stream, permit);
  plan.on_cancellable = [waiter = permit.waiter](std::function<void()> cancel) {
    waiter->cancel = std::move(cancel);
  };
  plan.may_complete_body = [this, &permit] { return tables_.still_owned(permit); };
  http_exchange exchange(worker_.pool, socket_.get_executor());
  exchange_end ended = co_await exchange.run(plan, stream);

  auto result = requests::attempt_result::error;
  auto execution = requests::execution_status::unknown;
  switch (ended.result) {
    case exchange_result::answered:
      result = requests::attempt_result::answered;
      execution = requests::execution_status::answered;
      break;
    case exchange_result::refused:
      result = requests::attempt_result::shed;
      execution = requests::execution_status::did_not_run;
      break;
    case exchange_result::not_connected:
      execution = requests::execution_status::did_not_run;
      break;
    case exchange_result::timed_out:
      result = requests::attempt_result::timed_out;
      break;
    case exchange_result::caller_disconnected:
      result = requests::attempt_result::cancelled;
      break;
    case exchange_result::broken:
    case exchange_result::truncated:
      break;
  }
  requests::already_answered recorded{static_cast<std::uint16_t>(ended.status), ended.content_type,
                                      std::move(ended.body), ended.body_kept};
  tables_.finish(permit, result, execution, std::move(recorded));
  if (ended.result == exchange_result::not_connected)
    tables_.upstream_refused_connection(permit.upstream);
  co_return classify(current, ended);
}

asio::awaitable<session::attempt_end> session::attempt_at_owner(
    current_request& current, caller_stream& stream, const ownership::agent_description& owner) {
  ++tables_.counts.forwarded;
  exchange_plan plan = plan_for_agent(current, stream, owner);
  http_exchange exchange(worker_.pool, socket_.get_executor());
  const exchange_end ended = co_await exchange.run(plan, stream);
  co_return classify(current, ended);
}

session::attempt_end session::classify(const current_request& current, const exchange_end& ended) {
  attempt_end end;
  switch (ended.result) {
    case exchange_result::answered:
      end.response_forwarded = true;
      count(ended.outcome);
      break;
    case exchange_result::refused:
      end.refusal = {ended.outcome,     ended.reason, "the owner refused the request", "",
                     ended.retry_after, ended.owner};
      end.retry_forbidden = ended.outcome != outcome::not_run && !current.request.idempotent;
      break;
    case exchange_result::not_connected:
      end.refusal = {outcome::not_run,
                     refusal_reason::no_owner,
                     "the owner takes no connections",
                     "",
                     std::chrono::seconds{1},
                     {}};
      break;
    case exchange_result::timed_out:
      end.refusal = {outcome::may_have_run,
                     refusal_reason::deadline_passed,
                     "the deadline passed after the request was sent",
                     "",
                     {},
                     {}};
      end.retry_forbidden = true;
      break;
    case exchange_result::broken:
      end.refusal = {outcome::may_have_run,
                     refusal_reason::none,
                     "the connection broke after the request was sent",
                     "",
                     {},
                     {}};
      end.retry_forbidden = !current.request.idempotent;
      break;
    case exchange_result::truncated:
    case exchange_result::caller_disconnected:
      end.connection_lost = true;
      count(outcome::may_have_run);
      break;
  }
  return end;
}

asio::awaitable<session::attempt_end> session::replay(current_request& current,
                                                      caller_stream& stream,
                                                      requests::already_answered recorded) {
  attempt_end end;
  if (!recorded.body_kept) {
    end.retry_forbidden = true;
    end.refusal = {outcome::may_have_run,
                   refusal_reason::repeat_unknown,
                   "it ran and was answered with status " + std::to_string(recorded.status) +
                       "; the answer was too large to keep",
                   "look up its result at the upstream",
                   {},
                   {}};
    co_return end;
  }
  http::response<http::string_body> response{static_cast<http::status>(recorded.status), 11};
  if (!recorded.content_type.empty())
    response.set(http::field::content_type, recorded.content_type);
  response.set("Masticshunt-Outcome", "served");
  response.set("Masticshunt-Replayed", "1");
  response.set("X-Request-Id", current.request_id);
  response.body() = std::move(recorded.body);
  response.keep_alive(stream.parser.get().keep_alive() && stream.parser.is_done());
  response.prepare_payload();
  auto [error, written] = co_await http::async_write(socket_, response, awaitable_result);
  end.response_forwarded = !error;
  end.connection_lost = static_cast<bool>(error);
  count(outcome::served);
  co_return end;
}

exchange_plan session::plan_for_upstream(const current_request& current,
                                         const caller_stream& stream,
                                         const local_permit& permit) const {
  exchange_plan plan;
  plan.target = permit.upstream.address;
  plan.deadline = stream.body_complete ? permit.deadline : permit.request.deadline;
  plan.from_upstream = true;
  plan.idempotent = current.request.idempotent;
  plan.response_bytes_kept = current.request.idempotent ? 0 : settings_.response_bytes_kept;
  auto& request = plan.request;
  const auto& received = stream.parser.get();
  request.method_string(received.method_string());
  request.target(current.request.upstream_target);
  request.version(11);
  copy_end_to_end_fields(received, request);
  request.set(http::field::host, permit.upstream.address);
  request.set("Masticshunt-Fence", to_string(permit.ticket.token));
  request.set("Masticshunt-Deadline-Ms", remaining_milliseconds(plan.deadline));
  request.set("Masticshunt-Caller", current.descriptor.caller);
  if (!current.rank_name.empty()) request.set("Masticshunt-Rank", current.rank_name);
  request.set("X-Request-Id", current.request_id);
  if (current.request.chunked) request.chunked(true);
  return plan;
}

exchange_plan session::plan_for_agent(const current_request& current, const caller_stream& stream,
                                      const ownership::agent_description& owner) const {
  exchange_plan plan;
  plan.target = owner.forward;
  plan.deadline = current.descriptor.deadline;
  plan.from_upstream = false;
  plan.idempotent = current.request.idempotent;
  auto& request = plan.request;
  const auto& received = stream.parser.get();
  request.method_string(received.method_string());
  request.target(received.target());
  request.version(11);
  copy_end_to_end_fields(received, request);
  request.set(http::field::host, owner.forward);
  request.set("Masticshunt-Forwarded", "1");
  request.set("Masticshunt-Routed-Fence", to_string(current.tried_token));
  request.set("Masticshunt-Attempt-Number", std::to_string(current.attempts));
  request.set("Masticshunt-Deadline-Ms", remaining_milliseconds(current.descriptor.deadline));
  request.set("Masticshunt-Caller", current.descriptor.caller);
  if (!current.rank_name.empty()) request.set("Masticshunt-Rank", current.rank_name);
  if (current.request.declared_attempt) {
    request.set("Masticshunt-Attempt", std::to_string(*current.request.declared_attempt));
  }
  request.set("X-Request-Id", current.request_id);
  if (current.request.chunked) request.chunked(true);
  return plan;
}

}  // namespace masticshunt::agent
