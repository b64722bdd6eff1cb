#include "agent/internal/session.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "agent/internal/socket_watchdog.h"
#include "masticshunt/decisions/requests/attempt_history.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using caller::arrival;
using caller::refusal;
using requests::outcome;
using requests::refusal_reason;

namespace {

constexpr auto awaitable_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t prefix_chunk_bytes = 16 * 1024;
constexpr std::chrono::milliseconds route_poll_interval{5};
constexpr std::chrono::milliseconds retry_owner_first{10};
constexpr std::chrono::milliseconds retry_owner_max{250};
constexpr std::chrono::milliseconds owner_wait_reserve{20};

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

struct session::current_request {
  caller::caller_request asked;
  requests::request_descriptor descriptor;
  std::shared_ptr<const service_view> service;
  std::string rank_name;
  std::string request_id;
  time_point started = boot_now();
  requests::attempt_history history;
  std::uint32_t attempts = 0;
  std::uint32_t owner_waits = 0;
  agent_id tried_owner;  ///< The owner of the last attempt, with its token.
  fence_token tried_token;
};

session::session(worker& on, shared_tables& tables, const session_settings& settings,
                 asio::ip::tcp::socket socket, arrival from)
    : worker_(on), tables_(tables), settings_(settings), socket_(std::move(socket)), from_(from) {
  boost::system::error_code error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  const auto peer = socket_.remote_endpoint(error);
  if (!error) peer_address_ = peer.address().to_string();
}

asio::awaitable<void> session::run(const std::atomic<life_stage>& stage) {
  const auto self = shared_from_this();
  ++worker_.sessions;
  bool keep_alive = true;
  while (keep_alive && stage != life_stage::ended) {
    request_parser parser;
    parser.header_limit(settings_.header_bytes_max);
    parser.body_limit(boost::none);
    socket_watchdog watchdog(socket_.get_executor());
    watchdog.arm(socket_, boot_now() + (buffer_.size() > 0 ? settings_.header_timeout
                                                           : settings_.idle_age_max));
    auto [error, read] =
        co_await http::async_read_header(socket_, buffer_, parser, awaitable_result);
    watchdog.disarm();
    if (error) {
      const bool malformed =
          error.category() == http::make_error_code(http::error::bad_method).category() &&
          error != http::error::end_of_stream && error != http::error::partial_message;
      if (malformed) {
        const refusal why{outcome::not_run,
                          refusal_reason::bad_request,
                          "the request is not well-formed HTTP/1.1: " + error.message(),
                          "send HTTP/1.1 with a header of at most " +
                              std::to_string(settings_.header_bytes_max) + " bytes",
                          {},
                          {}};
        co_await refuse(why, "", false);
      }
      break;
    }
    ++worker_.busy_sessions;
    if (stage != life_stage::serving) parser.get().keep_alive(false);
    keep_alive = co_await serve(parser);
    --worker_.busy_sessions;
  }
  --worker_.sessions;
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

std::optional<refusal> session::check(current_request& current, request_parser& parser) {
  const auto refused = [](refusal_reason reason, std::string message, std::string remedy = "") {
    return refusal{outcome::not_run, reason, std::move(message), std::move(remedy), {}, {}};
  };
  failure reason;
  if (parser.get().version() != 11) {
    return refused(refusal_reason::bad_request, "the request is not HTTP/1.1", "use HTTP/1.1");
  }
  auto asked = caller::read_request(parser.get().base(), from_, reason);
  if (!asked) return refused(refusal_reason::bad_request, reason.message, reason.remedy);
  current.asked = std::move(*asked);
  current.request_id =
      current.asked.request_id.empty() ? new_request_id() : current.asked.request_id;
  current.service = tables_.service(current.asked.service);
  if (!current.service) {
    return refused(refusal_reason::unknown_service,
                   "no record names the service " + current.asked.service);
  }
  if (!current.service->supported) {
    return refused(refusal_reason::schema_unsupported,
                   "a record of the service has a schema that this agent cannot read");
  }
  const auto rank = current.service->rank_index(current.asked.rank);
  if (!rank) {
    return refused(refusal_reason::bad_request,
                   "the service has no rank called " + current.asked.rank,
                   "use one of the ranks of the service's records");
  }
  auto& descriptor = current.descriptor;
  descriptor.service = current.asked.service;
  descriptor.hash = current.asked.hash;
  descriptor.caller = current.asked.caller.empty() ? peer_address_ : current.asked.caller;
  descriptor.rank = *rank;
  descriptor.idempotent = current.asked.idempotent;
  descriptor.identity = current.asked.identity;
  descriptor.declared_attempt = current.asked.declared_attempt;
  descriptor.deadline =
      boot_now() + current.asked.deadline.value_or(current.service->record.default_deadline);
  descriptor.routed_fence = current.asked.routed_fence;
  descriptor.body_bytes = current.asked.content_length.value_or(0);
  if (*rank < current.service->ranks.size()) current.rank_name = current.service->ranks[*rank].name;
  return std::nullopt;
}

asio::awaitable<bool> session::serve(request_parser& parser) {
  current_request current;
  if (const auto why = check(current, parser)) {
    const bool body_follows = !parser.is_done();
    co_return co_await refuse(*why, current.request_id, parser.get().keep_alive() && !body_follows);
  }
  caller_side side{socket_, buffer_, parser, {}, false, false, false, current.request_id};
  if (!co_await read_prefix(side)) co_return false;
  co_return co_await try_until_answered(current, side);
}

asio::awaitable<bool> session::read_prefix(caller_side& side) {
  auto& parser = side.parser;
  if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [error, written] =
        co_await asio::async_write(socket_, asio::buffer(go_on), awaitable_result);
    if (error) co_return false;
  }
  socket_watchdog watchdog(socket_.get_executor());
  watchdog.arm(socket_, boot_now() + settings_.header_timeout);
  while (!parser.is_done() && side.prefix.size() < settings_.body_held_max) {
    const auto held = side.prefix.size();
    side.prefix.resize(held + prefix_chunk_bytes);
    auto& body = parser.get().body();
    body.data = side.prefix.data() + held;
    body.size = prefix_chunk_bytes;
    auto [error, read] = co_await http::async_read_some(socket_, buffer_, parser, awaitable_result);
    side.prefix.resize(held + prefix_chunk_bytes - body.size);
    if (error && error != http::error::need_buffer) co_return false;
  }
  side.body_complete = parser.is_done();
  co_return true;
}

asio::awaitable<bool> session::try_until_answered(current_request& current, caller_side& side) {
  tables_.first_attempt();
  for (;;) {
    ++current.attempts;
    attempt_end end = co_await attempt(current, side);
    if (end.connection_lost) co_return false;
    if (end.answer_passed) {
      tables_.served_latency.record(boot_now() - current.started);
      co_return side.parser.get().keep_alive() && side.parser.is_done();
    }
    current.history.add(end.why.what);
    const bool may_retry =
        from_ == arrival::from_caller && !side.body_taken && !end.never_sent_again;
    const bool again = may_retry && co_await wait_before_retry(current, end);
    if (!again) {
      if (end.why.what == outcome::not_run &&
          current.history.told(outcome::not_run) != outcome::not_run) {
        end.why.message = "an earlier attempt may have run; the last one was refused: " +
                          std::string(to_string(end.why.reason));
        end.why.reason = refusal_reason::none;
      }
      end.why.what = current.history.told(end.why.what);
      count(end.why.what);
      if (end.why.owner.empty()) end.why.owner = owner_hint(current);
      co_return co_await refuse(end.why, current.request_id,
                                side.parser.get().keep_alive() && side.parser.is_done());
    }
  }
}

asio::awaitable<bool> session::wait_before_retry(current_request& current, const attempt_end& end) {
  const bool owner_changes =
      end.why.what == outcome::not_run &&
      (end.why.reason == refusal_reason::no_owner || end.why.reason == refusal_reason::not_owner);
  if (owner_changes) co_return co_await wait_for_owner(current);
  const requests::failed_attempt last{current.attempts, end.why.what, end.why.reason,
                                      end.why.retry_after};
  const double jitter = std::uniform_real_distribution<double>(0, 1)(worker_.random);
  const auto delay = tables_.retry_delay(current.descriptor, last, jitter, boot_now());
  if (!delay) co_return false;
  ++tables_.counts.retries;
  asio::steady_timer timer(socket_.get_executor(), *delay);
  co_await timer.async_wait(awaitable_result);
  co_return true;
}

asio::awaitable<bool> session::wait_for_owner(current_request& current) {
  // The request reached no upstream, so sending it on costs none of the retry budget.
  const auto give_up = std::min(current.descriptor.deadline - owner_wait_reserve,
                                current.started + settings_.owner_wait_max);
  if (boot_now() >= give_up || worker_.held_requests >= settings_.held_requests_max) {
    co_return false;
  }
  const auto interval = std::min<duration>(
      retry_owner_first * (1U << std::min(current.owner_waits, 8U)), retry_owner_max);
  ++current.owner_waits;
  const auto try_again = std::min(boot_now() + interval, give_up);
  ++worker_.held_requests;
  asio::steady_timer timer(socket_.get_executor());
  for (;;) {
    timer.expires_after(route_poll_interval);
    co_await timer.async_wait(awaitable_result);
    const auto owner = tables_.route(current.asked.service, current.asked.hash);
    const bool changed =
        owner && (owner->owner.id != current.tried_owner || owner->token != current.tried_token);
    if (changed || boot_now() >= try_again) break;
  }
  --worker_.held_requests;
  ++tables_.counts.redirects;
  co_return true;
}

asio::awaitable<session::attempt_end> session::attempt(current_request& current,
                                                       caller_side& side) {
  attempt_end end;
  if (boot_now() >= current.descriptor.deadline) {
    end.never_sent_again = true;
    end.why = {
        outcome::not_run, refusal_reason::deadline_passed, "the deadline passed", "", {}, {}};
    co_return end;
  }
  if (from_ == arrival::from_agent) co_return co_await attempt_here(current, side);
  const auto owner = tables_.route(current.asked.service, current.asked.hash);
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
  if (owner->is_self) co_return co_await attempt_here(current, side);
  co_return co_await attempt_at(current, side, owner->owner);
}

asio::awaitable<session::attempt_end> session::attempt_here(current_request& current,
                                                            caller_side& side) {
  local_verdict verdict =
      co_await tables_.admit(current.descriptor, current.service, socket_.get_executor());
  if (const auto* permit = std::get_if<local_permit>(&verdict)) {
    co_return co_await run_permitted(current, side, *permit);
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
  end.never_sent_again = refused.what != outcome::not_run;
  co_return end;
}

asio::awaitable<session::attempt_end> session::run_permitted(current_request& current,
                                                             caller_side& side,
                                                             const local_permit& permit) {
  exchange_plan plan = plan_for_upstream(current, side, permit);
  plan.on_cancellable = [waiter = permit.waiter](std::function<void()> cancel) {
    waiter->cancel = std::move(cancel);
  };
  plan.may_complete_body = [this, &permit] { return tables_.still_owned(permit); };
  http_exchange exchange(worker_.pool, socket_.get_executor());
  exchange_end ended = co_await exchange.run(plan, side);

  auto result = requests::attempt_result::error;
  auto knowledge = requests::run_knowledge::unknown;
  switch (ended.result) {
    case exchange_result::answered:
      result = requests::attempt_result::answered;
      knowledge = requests::run_knowledge::answered;
      break;
    case exchange_result::refused:
      result = requests::attempt_result::shed;
      knowledge = requests::run_knowledge::did_not_run;
      break;
    case exchange_result::not_connected:
      knowledge = requests::run_knowledge::did_not_run;
      break;
    case exchange_result::timed_out:
      result = requests::attempt_result::timed_out;
      break;
    case exchange_result::caller_left:
      result = requests::attempt_result::cancelled;
      break;
    case exchange_result::broken:
    case exchange_result::cut:
      break;
  }
  requests::already_answered kept{static_cast<std::uint16_t>(ended.status), ended.content_type,
                                  std::move(ended.body), ended.body_kept};
  tables_.finish(permit, result, knowledge, std::move(kept));
  if (ended.result == exchange_result::not_connected) tables_.upstream_refused(permit.upstream);
  co_return judge(current, ended);
}

asio::awaitable<session::attempt_end> session::attempt_at(
    current_request& current, caller_side& side, const ownership::agent_description& owner) {
  ++tables_.counts.forwarded;
  exchange_plan plan = plan_for_agent(current, side, owner);
  http_exchange exchange(worker_.pool, socket_.get_executor());
  const exchange_end ended = co_await exchange.run(plan, side);
  co_return judge(current, ended);
}

session::attempt_end session::judge(const current_request& current, const exchange_end& ended) {
  attempt_end end;
  switch (ended.result) {
    case exchange_result::answered:
      end.answer_passed = true;
      count(ended.what);
      break;
    case exchange_result::refused:
      end.why = {ended.what, ended.reason,      "the owner refused the request",
                 "",         ended.retry_after, ended.owner};
      end.never_sent_again = ended.what != outcome::not_run && !current.asked.idempotent;
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
      end.never_sent_again = true;
      break;
    case exchange_result::broken:
      end.why = {outcome::may_have_run,
                 refusal_reason::none,
                 "the connection broke after the request was sent",
                 "",
                 {},
                 {}};
      end.never_sent_again = !current.asked.idempotent;
      break;
    case exchange_result::cut:
    case exchange_result::caller_left:
      end.connection_lost = true;
      count(outcome::may_have_run);
      break;
  }
  return end;
}

asio::awaitable<session::attempt_end> session::replay(current_request& current, caller_side& side,
                                                      requests::already_answered kept) {
  attempt_end end;
  if (!kept.body_kept) {
    end.never_sent_again = true;
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
  end.answer_passed = !error;
  end.connection_lost = static_cast<bool>(error);
  count(outcome::served);
  co_return end;
}

exchange_plan session::plan_for_upstream(const current_request& current, const caller_side& side,
                                         const local_permit& permit) const {
  exchange_plan plan;
  plan.target = permit.upstream.address;
  plan.deadline = side.body_complete ? permit.deadline : permit.request.deadline;
  plan.from_upstream = true;
  plan.idempotent = current.asked.idempotent;
  plan.answer_bytes_kept = current.asked.idempotent ? 0 : settings_.answer_bytes_kept;
  auto& request = plan.request;
  const auto& received = side.parser.get();
  request.method_string(received.method_string());
  request.target(current.asked.upstream_target);
  request.version(11);
  copy_end_to_end_fields(received, request);
  request.set(http::field::host, permit.upstream.address);
  request.set("Masticshunt-Fence", to_string(permit.ticket.token));
  request.set("Masticshunt-Deadline-Ms", milliseconds_left(plan.deadline));
  request.set("Masticshunt-Caller", current.descriptor.caller);
  if (!current.rank_name.empty()) request.set("Masticshunt-Rank", current.rank_name);
  request.set("X-Request-Id", current.request_id);
  if (current.asked.chunked) request.chunked(true);
  return plan;
}

exchange_plan session::plan_for_agent(const current_request& current, const caller_side& side,
                                      const ownership::agent_description& owner) const {
  exchange_plan plan;
  plan.target = owner.forward;
  plan.deadline = current.descriptor.deadline;
  plan.from_upstream = false;
  plan.idempotent = current.asked.idempotent;
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
  if (current.asked.declared_attempt) {
    request.set("Masticshunt-Attempt", std::to_string(*current.asked.declared_attempt));
  }
  request.set("X-Request-Id", current.request_id);
  if (current.asked.chunked) request.chunked(true);
  return plan;
}

asio::awaitable<bool> session::refuse(const refusal& why, const std::string& request_id,
                                      bool keep_alive) {
  auto response = caller::to_response(why, request_id, keep_alive);
  auto [error, written] = co_await http::async_write(socket_, response, awaitable_result);
  co_return keep_alive && !error;
}

endpoint session::owner_hint(const current_request& current) const {
  const auto owner = tables_.route(current.asked.service, current.asked.hash);
  return owner ? owner->owner.caller : endpoint{};
}

std::string session::new_request_id() {
  constexpr std::array digits = {'0', '1', '2', '3', '4', '5', '6', '7',
                                 '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
  std::string id(16, '0');
  auto bits = worker_.random();
  for (char& digit : id) {
    digit = digits[bits & 0xf];
    bits >>= 4;
  }
  return id;
}

void session::count(outcome what) {
  switch (what) {
    case outcome::served:
      ++tables_.counts.served;
      break;
    case outcome::not_run:
      ++tables_.counts.not_run;
      break;
    case outcome::may_have_run:
      ++tables_.counts.may_have_run;
      break;
    case outcome::failed:
      ++tables_.counts.failed;
      break;
  }
}

}  // namespace masticshunt::agent
