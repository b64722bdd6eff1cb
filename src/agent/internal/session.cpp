#include "agent/internal/session.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "agent/internal/session_request.h"
#include "agent/internal/socket_watchdog.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using caller::refusal;
using caller::request_origin;
using requests::outcome;
using requests::refusal_reason;

namespace {

constexpr auto awaitable_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t prefix_chunk_bytes = 16 * 1024;
constexpr std::chrono::milliseconds route_poll_interval{5};
constexpr std::chrono::milliseconds owner_wait_interval_first{10};
constexpr std::chrono::milliseconds owner_wait_interval_max{250};
constexpr std::chrono::milliseconds owner_wait_reserve{20};

}  // namespace

session::session(worker& host, shared_tables& tables, const session_settings& settings,
                 asio::ip::tcp::socket socket, request_origin origin)
    : worker_(host),
      tables_(tables),
      settings_(settings),
      socket_(std::move(socket)),
      origin_(origin) {
  boost::system::error_code error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  const auto peer = socket_.remote_endpoint(error);
  if (!error) peer_address_ = peer.address().to_string();
}

asio::awaitable<void> session::run(const std::atomic<lifecycle_stage>& stage) {
  const auto self = shared_from_this();
  ++worker_.sessions;
  bool keep_alive = true;
  while (keep_alive && stage != lifecycle_stage::ended) {
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
        const refusal details{outcome::not_run,
                              refusal_reason::bad_request,
                              "the request is not well-formed HTTP/1.1: " + error.message(),
                              "send HTTP/1.1 with a header of at most " +
                                  std::to_string(settings_.header_bytes_max) + " bytes",
                              {},
                              {}};
        co_await refuse(details, "", false);
      }
      break;
    }
    ++worker_.busy_sessions;
    if (stage != lifecycle_stage::serving) parser.get().keep_alive(false);
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
  auto request = caller::read_request(parser.get().base(), origin_, reason);
  if (!request) return refused(refusal_reason::bad_request, reason.message, reason.remedy);
  current.request = std::move(*request);
  current.request_id =
      current.request.request_id.empty() ? new_request_id() : current.request.request_id;
  current.service = tables_.service(current.request.service);
  if (!current.service) {
    return refused(refusal_reason::unknown_service,
                   "no record names the service " + current.request.service);
  }
  if (!current.service->supported) {
    return refused(refusal_reason::schema_unsupported,
                   "a record of the service has a schema that this agent cannot read");
  }
  const auto rank = current.service->rank_index(current.request.rank);
  if (!rank) {
    return refused(refusal_reason::bad_request,
                   "the service has no rank called " + current.request.rank,
                   "use one of the ranks of the service's records");
  }
  auto& descriptor = current.descriptor;
  descriptor.service = current.request.service;
  descriptor.hash = current.request.hash;
  descriptor.caller = current.request.caller.empty() ? peer_address_ : current.request.caller;
  descriptor.rank = *rank;
  descriptor.idempotent = current.request.idempotent;
  descriptor.idempotency_key = current.request.idempotency_key;
  descriptor.declared_attempt = current.request.declared_attempt;
  descriptor.deadline =
      boot_now() + current.request.deadline.value_or(current.service->record.default_deadline);
  descriptor.routed_fence = current.request.routed_fence;
  descriptor.body_bytes = current.request.content_length.value_or(0);
  if (*rank < current.service->ranks.size()) current.rank_name = current.service->ranks[*rank].name;
  return std::nullopt;
}

asio::awaitable<bool> session::serve(request_parser& parser) {
  current_request current;
  if (const auto refused = check(current, parser)) {
    const bool body_follows = !parser.is_done();
    co_return co_await refuse(*refused, current.request_id,
                              parser.get().keep_alive() && !body_follows);
  }
  caller_stream stream{socket_, buffer_, parser, {}, false, false, false, current.request_id};
  if (!co_await read_prefix(stream)) co_return false;
  co_return co_await run_attempts(current, stream);
}

asio::awaitable<bool> session::read_prefix(caller_stream& stream) {
  auto& parser = stream.parser;
  if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [error, written] =
        co_await asio::async_write(socket_, asio::buffer(continue_response), awaitable_result);
    if (error) co_return false;
  }
  socket_watchdog watchdog(socket_.get_executor());
  watchdog.arm(socket_, boot_now() + settings_.header_timeout);
  while (!parser.is_done() && stream.prefix.size() < settings_.body_held_max) {
    const auto held = stream.prefix.size();
    stream.prefix.resize(held + prefix_chunk_bytes);
    auto& body = parser.get().body();
    body.data = stream.prefix.data() + held;
    body.size = prefix_chunk_bytes;
    auto [error, read] = co_await http::async_read_some(socket_, buffer_, parser, awaitable_result);
    stream.prefix.resize(held + prefix_chunk_bytes - body.size);
    if (error && error != http::error::need_buffer) co_return false;
  }
  stream.body_complete = parser.is_done();
  co_return true;
}

asio::awaitable<bool> session::run_attempts(current_request& current, caller_stream& stream) {
  tables_.first_attempt();
  for (;;) {
    ++current.attempts;
    attempt_end end = co_await attempt(current, stream);
    if (end.connection_lost) co_return false;
    if (end.response_forwarded) {
      tables_.served_latency.record(boot_now() - current.started);
      co_return stream.parser.get().keep_alive() && stream.parser.is_done();
    }
    current.history.add(end.refusal.outcome);
    const bool may_retry =
        origin_ == request_origin::from_caller && !stream.body_consumed && !end.retry_forbidden;
    const bool retry = may_retry && co_await wait_before_retry(current, end);
    if (!retry) {
      finalize_refusal(current, end.refusal);
      count(end.refusal.outcome);
      if (end.refusal.owner.empty()) end.refusal.owner = owner_hint(current);
      co_return co_await refuse(end.refusal, current.request_id,
                                stream.parser.get().keep_alive() && stream.parser.is_done());
    }
  }
}

void session::finalize_refusal(const current_request& current, refusal& details) const {
  if (details.outcome != outcome::not_run) return;
  if (current.history.reported_outcome(outcome::not_run) != outcome::not_run) {
    details.message = "an earlier attempt may have run; the last one was refused: " +
                      std::string(to_string(details.reason));
    details.reason = refusal_reason::none;
    details.outcome = outcome::may_have_run;
  } else if (origin_ == request_origin::from_caller) {
    // Between agents, "not run" refers to the attempt; to callers it refers to the idempotency key.
    details.outcome = requests::refusal_outcome(current.descriptor);
  }
}

asio::awaitable<bool> session::wait_before_retry(current_request& current, const attempt_end& end) {
  const bool owner_changes =
      end.refusal.outcome == outcome::not_run && (end.refusal.reason == refusal_reason::no_owner ||
                                                  end.refusal.reason == refusal_reason::not_owner);
  if (owner_changes) co_return co_await wait_for_owner(current);
  const requests::failed_attempt last{current.attempts, end.refusal.outcome, end.refusal.reason,
                                      end.refusal.retry_after};
  const double jitter = std::uniform_real_distribution<double>(0, 1)(worker_.random);
  const auto delay = tables_.retry_delay(current.descriptor, last, jitter, boot_now());
  if (!delay) co_return false;
  ++tables_.counts.retries;
  asio::steady_timer timer(socket_.get_executor(), *delay);
  co_await timer.async_wait(awaitable_result);
  co_return true;
}

asio::awaitable<bool> session::wait_for_owner(current_request& current) {
  // The request reached no upstream, so another attempt is not charged to the retry budget.
  const auto wait_end = std::min(current.descriptor.deadline - owner_wait_reserve,
                                 current.started + settings_.owner_wait_max);
  if (boot_now() >= wait_end || worker_.held_requests >= settings_.held_requests_max) {
    co_return false;
  }
  const auto interval =
      std::min<duration>(owner_wait_interval_first * (1U << std::min(current.owner_waits, 8U)),
                         owner_wait_interval_max);
  ++current.owner_waits;
  const auto next_attempt = std::min(boot_now() + interval, wait_end);
  ++worker_.held_requests;
  asio::steady_timer timer(socket_.get_executor());
  for (;;) {
    timer.expires_after(route_poll_interval);
    co_await timer.async_wait(awaitable_result);
    const auto owner = tables_.route(current.request.service, current.request.hash);
    const bool changed =
        owner && (owner->owner.id != current.tried_owner || owner->token != current.tried_token);
    if (changed || boot_now() >= next_attempt) break;
  }
  --worker_.held_requests;
  ++tables_.counts.redirects;
  co_return true;
}

asio::awaitable<bool> session::refuse(const refusal& details, const std::string& request_id,
                                      bool keep_alive) {
  auto response = caller::to_response(details, request_id, keep_alive);
  auto [error, written] = co_await http::async_write(socket_, response, awaitable_result);
  co_return keep_alive && !error;
}

endpoint session::owner_hint(const current_request& current) const {
  const auto owner = tables_.route(current.request.service, current.request.hash);
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

void session::count(outcome result) {
  switch (result) {
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
