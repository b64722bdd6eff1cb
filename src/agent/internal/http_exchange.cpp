#include "agent/internal/http_exchange.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "agent/internal/socket_watchdog.h"
#include "masticshunt/caller/refusal.h"
#include "masticshunt/caller/request_rules.h"
#include "masticshunt/support/clock.h"
#include "masticshunt/support/http_head.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using requests::outcome;
using requests::refusal_reason;

namespace {

constexpr auto awaitable_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t header_bytes_max = 64 * 1024;
constexpr std::size_t refusal_bytes_max = 16 * 1024;
constexpr std::size_t read_bytes = 16 * 1024;
constexpr unsigned first_final_status = 200;
constexpr std::chrono::seconds body_progress_timeout{30};

bool is_need_buffer(const boost::system::error_code& error) {
  return error == http::error::need_buffer;
}

std::string_view as_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Watches the caller's connection while the exchange waits for a response. A disconnect of the
/// caller closes the connection to the peer and so ends the exchange.
class caller_watch {
 public:
  caller_watch(asio::ip::tcp::socket& caller, asio::ip::tcp::socket& peer)
      : caller_(caller), state_(std::make_shared<state>()) {
    state_->peer = &peer;
    caller_.async_wait(asio::ip::tcp::socket::wait_read,
                       [state = state_, &caller](const boost::system::error_code& error) {
                         if (error || state->peer == nullptr || !is_disconnected(caller)) return;
                         state->disconnected = true;
                         boost::system::error_code ignored;
                         state->peer->close(ignored);
                       });
  }
  ~caller_watch() { end(); }
  caller_watch(const caller_watch&) = delete;
  caller_watch& operator=(const caller_watch&) = delete;

  void end() {
    if (state_->peer == nullptr) return;
    state_->peer = nullptr;
    boost::system::error_code ignored;
    caller_.cancel(ignored);
  }
  [[nodiscard]] bool disconnected() const { return state_->disconnected; }

 private:
  struct state {
    asio::ip::tcp::socket* peer = nullptr;
    bool disconnected = false;
  };

  static bool is_disconnected(asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto bytes = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  asio::ip::tcp::socket& caller_;
  std::shared_ptr<state> state_;
};

refusal_reason reason_from(std::string_view name) {
  constexpr std::array reasons = {
      refusal_reason::no_owner,        refusal_reason::not_owner,
      refusal_reason::overloaded,      refusal_reason::deadline_passed,
      refusal_reason::draining,        refusal_reason::upstream_shed,
      refusal_reason::fenced,          refusal_reason::repeat_unknown,
      refusal_reason::already_running, refusal_reason::bad_request,
      refusal_reason::unknown_service, refusal_reason::schema_unsupported};
  const auto found =
      std::ranges::find_if(reasons, [&](refusal_reason each) { return to_string(each) == name; });
  return found == reasons.end() ? refusal_reason::none : *found;
}

outcome outcome_from(std::string_view name) {
  constexpr std::array outcomes = {outcome::served, outcome::not_run, outcome::may_have_run,
                                   outcome::failed};
  const auto found =
      std::ranges::find_if(outcomes, [&](outcome each) { return to_string(each) == name; });
  return found == outcomes.end() ? outcome::may_have_run : *found;
}

std::chrono::milliseconds retry_after_of(std::string_view seconds_text) {
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(seconds_text.data(), seconds_text.data() + seconds_text.size(), seconds);
  if (error != std::errc{} || seconds < 0) return {};
  return std::chrono::seconds{seconds};
}

/// Returns the deadline for the first byte of the response. A reused connection may be dead, so on
/// it an idempotent request to an upstream gets a third of the remaining time, which leaves time
/// for a retry on a new connection. Requests to other agents may wait long at the owner's gate;
/// there TCP_USER_TIMEOUT closes a connection whose peer acknowledges nothing.
time_point first_byte_deadline(const exchange_plan& plan, const http_connection& connection) {
  if (!connection.reused || !plan.idempotent || !plan.from_upstream) return plan.deadline;
  const auto now = boot_now();
  return now + (plan.deadline - now) / 3;
}

http::response<http::buffer_body> response_header(const response_parser& parser,
                                                  const caller_stream& caller, outcome reported) {
  const auto& received = parser.get();
  http::response<http::buffer_body> response;
  response.version(11);
  response.result(received.result_int());
  response.reason(received.reason());
  for (const auto& field : received) {
    const auto name = as_view(field.name_string());
    if (!caller::is_hop_by_hop(name)) response.insert(field.name_string(), field.value());
  }
  response.set("Masticshunt-Outcome", std::string(to_string(reported)));
  response.set("X-Request-Id", caller.request_id);
  response.keep_alive(caller.parser.get().keep_alive() && caller.parser.is_done());
  if (!parser.content_length() && parser.chunked()) response.chunked(true);
  return response;
}

/// Reads the header of a response. Returns false if the connection ended before, or if the bytes
/// are no header.
asio::awaitable<bool> read_header(http_connection& connection, response_parser& parser) {
  auto& buffer = connection.buffer;
  for (;;) {
    if (buffer.size() > 0) {
      if (support::has_folded_line(buffer.data())) co_return false;
      boost::system::error_code error;
      buffer.consume(parser.put(buffer.data(), error));
      if (parser.is_header_done()) co_return !error;
      if (error != http::error::need_more) co_return false;
    }
    auto [error, read] =
        co_await connection.socket.async_read_some(buffer.prepare(read_bytes), awaitable_result);
    if (error) co_return false;
    buffer.commit(read);
  }
}

}  // namespace

struct http_exchange::exchange_state {
  exchange_state(const asio::any_io_executor& executor, std::unique_ptr<body_chunk> acquired)
      : watchdog(executor), caller_watchdog(executor), chunk_holder(std::move(acquired)) {}

  std::unique_ptr<http_connection> connection;
  socket_watchdog watchdog;
  socket_watchdog caller_watchdog;
  std::optional<response_parser> parser;
  exchange_end end;
  bool caller_disconnected = false;
  bool body_withheld = false;
  std::unique_ptr<body_chunk> chunk_holder;  ///< Returned to the pool when the exchange ends.
  body_chunk& chunk = *chunk_holder;
};

asio::awaitable<exchange_end> http_exchange::run(exchange_plan& plan, caller_stream& caller) {
  auto state = std::make_unique<exchange_state>(executor_, pool_.acquire_chunk());
  state->connection = co_await pool_.acquire(plan.target, false);
  if (!state->connection) {
    state->end.result = exchange_result::not_connected;
    pool_.release_chunk(std::move(state->chunk_holder));
    co_return std::move(state->end);
  }
  auto& socket = state->connection->socket;
  state->end.reused_connection = state->connection->reused;
  // The time for a first byte begins once a body of any length has been sent.
  const bool streams_body = !caller.body_complete;
  state->watchdog.arm(socket,
                      streams_body ? plan.deadline : first_byte_deadline(plan, *state->connection));
  if (streams_body) pool_.allow_stalls(*state->connection, plan.deadline);
  if (plan.on_cancellable) {
    plan.on_cancellable([&socket] {
      boost::system::error_code ignored;
      socket.close(ignored);
    });
  }
  const bool is_head = plan.request.method() == http::verb::head;
  const bool sent = co_await send_request(plan, caller, *state);
  if (streams_body && sent) {
    state->watchdog.arm(socket, first_byte_deadline(plan, *state->connection));
  }
  bool response_received = false;
  // A response may be waiting even if sending failed, when the peer refused the request early.
  if (!state->caller_disconnected && !state->body_withheld && !state->watchdog.fired()) {
    std::optional<caller_watch> watch;
    if (sent && caller.parser.is_done()) watch.emplace(caller.socket, socket);
    response_received = co_await read_response_header(*state, is_head);
    if (watch) {
      state->caller_disconnected = watch->disconnected();
      watch->end();
    }
  }
  if (response_received) {
    co_await forward_response(plan, caller, *state);
  } else if (state->caller_disconnected) {
    state->end.result = exchange_result::caller_disconnected;
  } else if (state->watchdog.fired()) {
    const bool in_time = boot_now() < plan.deadline;
    state->end.result = in_time ? exchange_result::broken : exchange_result::timed_out;
  } else {
    state->end.result = exchange_result::broken;
  }
  if (state->end.result == exchange_result::broken) pool_.drop_idle(plan.target);
  if (plan.on_cancellable) plan.on_cancellable({});
  state->watchdog.disarm();
  // Bytes after the response belong to no request.
  const bool clean = response_received && sent && state->parser->is_done() &&
                     state->parser->keep_alive() && state->connection->socket.is_open() &&
                     state->connection->buffer.size() == 0;
  if (clean) pool_.release(std::move(state->connection));
  pool_.release_chunk(std::move(state->chunk_holder));
  co_return std::move(state->end);
}

asio::awaitable<bool> http_exchange::send_request(exchange_plan& plan, caller_stream& caller,
                                                  exchange_state& state) {
  auto& socket = state.connection->socket;
  auto& request = plan.request;
  auto& body = request.body();
  body.data = caller.prefix.data();
  body.size = caller.prefix.size();
  body.more = !caller.body_complete;
  http::request_serializer<http::buffer_body> serializer(request);
  auto [error, written] = co_await http::async_write(socket, serializer, awaitable_result);
  if (error && !is_need_buffer(error)) co_return false;
  while (!serializer.is_done()) {
    auto& source = caller.parser.get().body();
    source.data = state.chunk.data();
    source.size = state.chunk.size();
    caller.body_consumed = true;
    auto [read_error, read] = co_await http::async_read_some(caller.socket, caller.buffer,
                                                             caller.parser, awaitable_result);
    if (read_error && !is_need_buffer(read_error)) {
      state.caller_disconnected = true;
      boost::system::error_code ignored;
      socket.close(ignored);
      co_return false;
    }
    const bool last = caller.parser.is_done();
    if (last && plan.may_complete_body && !plan.may_complete_body()) {
      state.body_withheld = true;
      boost::system::error_code ignored;
      socket.close(ignored);
      co_return false;
    }
    body.data = state.chunk.data();
    body.size = state.chunk.size() - source.size;
    body.more = !last;
    if (body.size == 0 && body.more) continue;
    auto [write_error, sent] = co_await http::async_write(socket, serializer, awaitable_result);
    if (write_error && !is_need_buffer(write_error)) co_return false;
  }
  co_return true;
}

asio::awaitable<bool> http_exchange::read_response_header(exchange_state& state, bool is_head) {
  for (;;) {
    state.parser.emplace();
    state.parser->header_limit(header_bytes_max);
    state.parser->body_limit(boost::none);
    state.parser->skip(is_head);
    const bool received = co_await read_header(*state.connection, *state.parser);
    if (!received) co_return false;
    const auto status = state.parser->get().result_int();
    if (support::is_interim(status)) continue;
    // What follows such a head can't be told from its body.
    if (status < first_final_status) co_return false;
    // The truncation of a response without length or chunked encoding cannot be detected, so such a
    // response is not forwarded.
    co_return !state.parser->need_eof() || is_head;
  }
}

asio::awaitable<void> http_exchange::read_refusal(exchange_state& state) {
  std::size_t total = 0;
  while (!state.parser->is_done() && total < refusal_bytes_max) {
    auto& body = state.parser->get().body();
    body.data = state.chunk.data();
    body.size = state.chunk.size();
    auto [error, read] = co_await http::async_read_some(
        state.connection->socket, state.connection->buffer, *state.parser, awaitable_result);
    if (error && !is_need_buffer(error)) co_return;
    total += state.chunk.size() - body.size;
  }
}

asio::awaitable<void> http_exchange::forward_response(exchange_plan& plan, caller_stream& caller,
                                                      exchange_state& state) {
  const auto& received = state.parser->get();
  auto& end = state.end;
  end.status = received.result_int();
  end.content_type = std::string(received[http::field::content_type]);
  const auto outcome_field = as_view(received["Masticshunt-Outcome"]);
  const bool states_outcome = !outcome_field.empty();
  end.outcome = states_outcome ? outcome_from(outcome_field)
                               : (end.status >= 500 ? outcome::failed : outcome::served);
  end.reason = reason_from(as_view(received["Masticshunt-Reason"]));
  end.retry_after = retry_after_of(as_view(received[http::field::retry_after]));
  end.owner = std::string(received["Masticshunt-Owner"]);
  const bool refused = plan.from_upstream ? end.outcome == outcome::not_run
                                          : states_outcome && end.reason != refusal_reason::none;
  if (refused || (!plan.from_upstream && end.outcome == outcome::may_have_run)) {
    if (plan.from_upstream) {
      end.reason = end.status == 409 ? refusal_reason::fenced : refusal_reason::upstream_shed;
    }
    end.result = exchange_result::refused;
    co_await read_refusal(state);
    co_return;
  }

  auto response = response_header(*state.parser, caller, end.outcome);
  http::response_serializer<http::buffer_body> serializer(response);
  end.body_kept = plan.response_bytes_kept > 0;
  bool more = !state.parser->is_done();
  std::size_t filled = 0;
  do {
    filled = 0;
    // Forwards available bytes in one write; a response that fits in the buffer takes a single
    // write.
    while (more && filled < state.chunk.size()) {
      auto& body = state.parser->get().body();
      body.data = state.chunk.data() + filled;
      body.size = state.chunk.size() - filled;
      state.watchdog.arm(state.connection->socket, boot_now() + body_progress_timeout);
      auto [error, read] = co_await http::async_read_some(
          state.connection->socket, state.connection->buffer, *state.parser, awaitable_result);
      if (error && !is_need_buffer(error)) {
        end.result = caller.response_started ? exchange_result::truncated : exchange_result::broken;
        if (!caller.response_started && state.watchdog.fired())
          end.result = exchange_result::timed_out;
        state.parser->get().body().data = nullptr;
        co_return;
      }
      filled = state.chunk.size() - body.size;
      more = !state.parser->is_done();
      const bool fits_in_chunk = state.parser->content_length().has_value() &&
                                 *state.parser->content_length() <= state.chunk.size();
      if (!fits_in_chunk) break;
    }
    if (end.body_kept) {
      end.body.append(state.chunk.data(), filled);
      end.body_kept = end.body.size() <= plan.response_bytes_kept;
    }
    response.body().data = filled > 0 ? state.chunk.data() : nullptr;
    response.body().size = filled;
    response.body().more = more;
    if (filled == 0 && more && caller.response_started) continue;
    caller.response_started = true;
    state.caller_watchdog.arm(caller.socket, boot_now() + body_progress_timeout);
    auto [error, written] = co_await http::async_write(caller.socket, serializer, awaitable_result);
    if (error && !is_need_buffer(error)) {
      end.result = exchange_result::caller_disconnected;
      co_return;
    }
  } while (more);
  end.result = exchange_result::answered;
}

}  // namespace masticshunt::agent
