// One attempt of a session's request: here, or at the owner's agent, and what became of it.
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

std::string milliseconds_left(time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - boot_now()).count();
  return std::to_string(std::max<std::int64_t>(left, 1));
}

std::chrono::milliseconds in_milliseconds(duration span) {
  return std::chrono::ceil<std::chrono::milliseconds>(span);
}

void copy_end_to_end_fields(const http::fields& from, http::fields& to) {
  for (const auto& field : from) {
    const auto name = as_view(field.name_string());
    const bool ours = name.size() > 12 && boost::beast::iequals(name.substr(0, 12), "masticshunt-");
    const bool skipped = ours || caller::is_hop_by_hop(name) || field.name() == http::field::host ||
                         field.name() == http::field::expect;
    if (!skipped) to.insert(field.name_string(), field.value());
  }
}

}  // namespace

asio::awaitable<session::attempt_end> session::attempt(current_request& current,
                                                       caller_stream& side) {
  attempt_end end;
  if (boot_now() >= current.descriptor.deadline) {
    end.retry_forbidden = true;
    end.why = {
        outcome::not_run, refusal_reason::deadline_passed, "the deadline passed", "", {}, {}};
    co_return end;
  }
  if (from_ == request_origin::from_agent) co_return co_await attempt_locally(current, side);
  const auto owner = tables_.route(current.request.service, current.request.hash);
  if (!owner) {
    end.why = {outcome::not_run,
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
  if (owner->is_self) co_return co_await attempt_locally(current, side);
  co_return co_await attempt_at_owner(current, side, owner->owner);
}

asio::awaitable<session::attempt_end> session::attempt_locally(current_request& current,
                                                               caller_stream& side) {
  local_verdict verdict =
      co_await tables_.admit(current.descriptor, current.service, socket_.get_executor());
  if (const auto* permit = std::get_if<local_permit>(&verdict)) {
    co_return co_await run_admitted(current, side, *permit);
  }
  if (auto* kept = std::get_if<requests::already_answered>(&verdict)) {
    co_return co_await replay(current, side, std::move(*kept));
  }
  const auto& refused = std::get<local_refusal>(verdict);
  attempt_end end;
  end.why = {refused.what,
             refused.reason,
             "the request was not sent to the upstream",
             "",
             in_milliseconds(refused.retry_after),
             {}};
  end.retry_forbidden = refused.what != outcome::not_run;
  co_return end;
}

asio::awaitable<session::attempt_end> session::run_admitted(current_request& current,
                                                            caller_stream& side,
                                                            const local_permit& permit) {
  exchange_plan plan = plan_for_upstream(current, side, permit);
  plan.on_cancellable = [waiter = permit.waiter](std::function<void()> cancel) {
    waiter->cancel = std::move(cancel);
  };
  plan.may_complete_body = [this, &permit] { return tables_.still_owned(permit); };
  http_exchange exchange(worker_.pool, socket_.get_executor());
  exchange_end ended = co_await exchange.run(plan, side);

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
  requests::already_answered kept{static_cast<std::uint16_t>(ended.status), ended.content_type,
                                  std::move(ended.body), ended.body_kept};
  tables_.finish(permit, result, execution, std::move(kept));
  if (ended.result == exchange_result::not_connected)
    tables_.upstream_refused_connection(permit.upstream);
  co_return classify(current, ended);
}

asio::awaitable<session::attempt_end> session::attempt_at_owner(
    current_request& current, caller_stream& side, const ownership::agent_description& owner) {
  ++tables_.counts.forwarded;
  exchange_plan plan = plan_for_agent(current, side, owner);
  http_exchange exchange(worker_.pool, socket_.get_executor());
  const exchange_end ended = co_await exchange.run(plan, side);
  co_return classify(current, ended);
}

session::attempt_end session::classify(const current_request& current, const exchange_end& ended) {
  attempt_end end;
  switch (ended.result) {
    case exchange_result::answered:
      end.response_forwarded = true;
      count(ended.what);
      break;
    case exchange_result::refused:
      end.why = {ended.what, ended.reason,      "the owner refused the request",
                 "",         ended.retry_after, ended.owner};
      end.retry_forbidden = ended.what != outcome::not_run && !current.request.idempotent;
      break;
    case exchange_result::not_connected:
      end.why = {outcome::not_run,
                 refusal_reason::no_owner,
                 "the owner takes no connections",
                 "",
                 std::chrono::seconds{1},
                 {}};
      break;
    case exchange_result::timed_out:
      end.why = {outcome::may_have_run,
                 refusal_reason::deadline_passed,
                 "the deadline passed after the request was sent",
                 "",
                 {},
                 {}};
      end.retry_forbidden = true;
      break;
    case exchange_result::broken:
      end.why = {outcome::may_have_run,
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

asio::awaitable<session::attempt_end> session::replay(current_request& current, caller_stream& side,
                                                      requests::already_answered kept) {
  attempt_end end;
  if (!kept.body_kept) {
    end.retry_forbidden = true;
    end.why = {outcome::may_have_run,
               refusal_reason::repeat_unknown,
               "it ran and was answered with status " + std::to_string(kept.status) +
                   "; the answer was too large to keep",
               "look up its result at the upstream",
               {},
               {}};
    co_return end;
  }
  http::response<http::string_body> answer{static_cast<http::status>(kept.status), 11};
  if (!kept.content_type.empty()) answer.set(http::field::content_type, kept.content_type);
  answer.set("Masticshunt-Outcome", "served");
  answer.set("Masticshunt-Replayed", "1");
  answer.set("X-Request-Id", current.request_id);
  answer.body() = std::move(kept.body);
  answer.keep_alive(side.parser.get().keep_alive() && side.parser.is_done());
  answer.prepare_payload();
  auto [error, written] = co_await http::async_write(socket_, answer, awaitable_result);
  end.response_forwarded = !error;
  end.connection_lost = static_cast<bool>(error);
  count(outcome::served);
  co_return end;
}

exchange_plan session::plan_for_upstream(const current_request& current, const caller_stream& side,
                                         const local_permit& permit) const {
  exchange_plan plan;
  plan.target = permit.upstream.address;
  plan.deadline = side.body_complete ? permit.deadline : permit.request.deadline;
  plan.from_upstream = true;
  plan.idempotent = current.request.idempotent;
  plan.answer_bytes_kept = current.request.idempotent ? 0 : settings_.answer_bytes_kept;
  auto& request = plan.request;
  const auto& received = side.parser.get();
  request.method_string(received.method_string());
  request.target(current.request.upstream_target);
  request.version(11);
  copy_end_to_end_fields(received, request);
  request.set(http::field::host, permit.upstream.address);
  request.set("Masticshunt-Fence", to_string(permit.ticket.token));
  request.set("Masticshunt-Deadline-Ms", milliseconds_left(plan.deadline));
  request.set("Masticshunt-Caller", current.descriptor.caller);
  if (!current.rank_name.empty()) request.set("Masticshunt-Rank", current.rank_name);
  request.set("X-Request-Id", current.request_id);
  if (current.request.chunked) request.chunked(true);
  return plan;
}

exchange_plan session::plan_for_agent(const current_request& current, const caller_stream& side,
                                      const ownership::agent_description& owner) const {
  exchange_plan plan;
  plan.target = owner.forward;
  plan.deadline = current.descriptor.deadline;
  plan.from_upstream = false;
  plan.idempotent = current.request.idempotent;
  auto& request = plan.request;
  const auto& received = side.parser.get();
  request.method_string(received.method_string());
  request.target(received.target());
  request.version(11);
  copy_end_to_end_fields(received, request);
  request.set(http::field::host, owner.forward);
  request.set("Masticshunt-Forwarded", "1");
  request.set("Masticshunt-Routed-Fence", to_string(current.tried_token));
  request.set("Masticshunt-Attempt-Number", std::to_string(current.attempts));
  request.set("Masticshunt-Deadline-Ms", milliseconds_left(current.descriptor.deadline));
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
