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

namespace masticshunt::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using requests::outcome;
using requests::refusal_reason;

namespace {

constexpr auto awaitable_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t header_bytes_max = 64 * 1024;
constexpr std::size_t refusal_bytes_max = 16 * 1024;
constexpr std::chrono::seconds body_progress_timeout{30};

bool is_need_buffer(const boost::system::error_code& error) {
  return error == http::error::need_buffer;
}

std::string_view as_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Watches the caller's connection while the answer is awaited; a caller that leaves ends the
/// exchange with the other side.
class caller_watch {
 public:
  caller_watch(asio::ip::tcp::socket& caller, asio::ip::tcp::socket& other)
      : caller_(caller), state_(std::make_shared<state>()) {
    state_->other = &other;
    caller_.async_wait(asio::ip::tcp::socket::wait_read,
                       [state = state_, &caller](const boost::system::error_code& error) {
                         if (error || state->other == nullptr || !has_left(caller)) return;
                         state->left = true;
                         boost::system::error_code ignored;
                         state->other->close(ignored);
                       });
  }
  ~caller_watch() { end(); }
  caller_watch(const caller_watch&) = delete;
  caller_watch& operator=(const caller_watch&) = delete;

  void end() {
    if (state_->other == nullptr) return;
    state_->other = nullptr;
    boost::system::error_code ignored;
    caller_.cancel(ignored);
  }
  [[nodiscard]] bool left() const { return state_->left; }

 private:
  struct state {
    asio::ip::tcp::socket* other = nullptr;
    bool left = false;
  };

  static bool has_left(asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
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

/// Returns when to give up waiting for the answer's first byte. An idle connection may have gone
/// silent, so on one an idempotent request leaves time to be sent again on a fresh connection. Not
/// so between agents, where the request may wait long at the owner's gate: there TCP_USER_TIMEOUT
/// ends a connection that nothing acknowledges.
time_point first_byte_deadline(const exchange_plan& plan, const http_connection& connection) {
  if (!connection.reused || !plan.idempotent || !plan.from_upstream) return plan.deadline;
  const auto now = boot_now();
  return now + (plan.deadline - now) / 3;
}

http::response<http::buffer_body> answer_header(const response_parser& parser,
                                                const caller_stream& caller, outcome what) {
  const auto& received = parser.get();
  http::response<http::buffer_body> answer;
  answer.version(11);
  answer.result(received.result_int());
  answer.reason(received.reason());
  for (const auto& field : received) {
    const auto name = as_view(field.name_string());
    if (!caller::is_hop_by_hop(name)) answer.insert(field.name_string(), field.value());
  }
  answer.set("Masticshunt-Outcome", std::string(to_string(what)));
  answer.set("X-Request-Id", caller.request_id);
  answer.keep_alive(caller.parser.get().keep_alive() && caller.parser.is_done());
  if (!parser.content_length() && parser.chunked()) answer.chunked(true);
  return answer;
}

}  // namespace

struct http_exchange::progress {
  progress(const asio::any_io_executor& executor, std::unique_ptr<body_chunk> taken)
      : watchdog(executor), caller_watchdog(executor), chunk_holder(std::move(taken)) {}

  std::unique_ptr<http_connection> connection;
  socket_watchdog watchdog;
  socket_watchdog caller_watchdog;
  std::optional<response_parser> answer;
  exchange_end end;
  bool caller_disconnected = false;
  bool body_withheld = false;
  std::unique_ptr<body_chunk> chunk_holder;  ///< Given back to the pool when the exchange ends.
  body_chunk& chunk = *chunk_holder;
};

asio::awaitable<exchange_end> http_exchange::run(exchange_plan& plan, caller_stream& caller) {
  auto now = std::make_unique<progress>(executor_, pool_.acquire_chunk());
  now->connection = co_await pool_.acquire(plan.target, false);
  if (!now->connection) {
    now->end.result = exchange_result::not_connected;
    pool_.release_chunk(std::move(now->chunk_holder));
    co_return std::move(now->end);
  }
  auto& socket = now->connection->socket;
  now->end.reused_connection = now->connection->reused;
  now->watchdog.arm(socket, first_byte_deadline(plan, *now->connection));
  if (plan.on_cancellable) {
    plan.on_cancellable([&socket] {
      boost::system::error_code ignored;
      socket.close(ignored);
    });
  }
  const bool is_head = plan.request.method() == http::verb::head;
  const bool sent = co_await send_request(plan, caller, *now);
  bool answered = false;
  // An answer may stand in the socket also when sending failed: the other side refused early.
  if (!now->caller_disconnected && !now->body_withheld && !now->watchdog.fired()) {
    std::optional<caller_watch> watch;
    if (sent && caller.parser.is_done()) watch.emplace(caller.socket, socket);
    answered = co_await read_response_header(*now, is_head);
    if (watch) {
      now->caller_disconnected = watch->left();
      watch->end();
    }
  }
  if (answered) {
    co_await forward_response(plan, caller, *now);
  } else if (now->caller_disconnected) {
    now->end.result = exchange_result::caller_disconnected;
  } else if (now->watchdog.fired()) {
    const bool in_time = boot_now() < plan.deadline;
    now->end.result = in_time ? exchange_result::broken : exchange_result::timed_out;
  } else {
    now->end.result = exchange_result::broken;
  }
  if (now->end.result == exchange_result::broken) pool_.drop_idle(plan.target);
  if (plan.on_cancellable) plan.on_cancellable({});
  now->watchdog.disarm();
  const bool clean = answered && sent && now->answer->is_done() && now->answer->keep_alive() &&
                     now->connection->socket.is_open();
  if (clean) pool_.release(std::move(now->connection));
  pool_.release_chunk(std::move(now->chunk_holder));
  co_return std::move(now->end);
}

asio::awaitable<bool> http_exchange::send_request(exchange_plan& plan, caller_stream& caller,
                                                  progress& now) {
  auto& socket = now.connection->socket;
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
    source.data = now.chunk.data();
    source.size = now.chunk.size();
    caller.body_consumed = true;
    auto [read_error, read] = co_await http::async_read_some(caller.socket, caller.buffer,
                                                             caller.parser, awaitable_result);
    if (read_error && !is_need_buffer(read_error)) {
      now.caller_disconnected = true;
      boost::system::error_code ignored;
      socket.close(ignored);
      co_return false;
    }
    const bool last = caller.parser.is_done();
    if (last && plan.may_complete_body && !plan.may_complete_body()) {
      now.body_withheld = true;
      boost::system::error_code ignored;
      socket.close(ignored);
      co_return false;
    }
    body.data = now.chunk.data();
    body.size = now.chunk.size() - source.size;
    body.more = !last;
    if (body.size == 0 && body.more) continue;
    auto [write_error, sent] = co_await http::async_write(socket, serializer, awaitable_result);
    if (write_error && !is_need_buffer(write_error)) co_return false;
  }
  co_return true;
}

asio::awaitable<bool> http_exchange::read_response_header(progress& now, bool is_head) {
  for (;;) {
    now.answer.emplace();
    now.answer->header_limit(header_bytes_max);
    now.answer->body_limit(boost::none);
    now.answer->skip(is_head);
    auto [error, read] = co_await http::async_read_header(
        now.connection->socket, now.connection->buffer, *now.answer, awaitable_result);
    if (error) co_return false;
    const auto status = now.answer->get().result_int();
    // An answer without a length or chunks could be cut off unseen, so it is not passed on.
    if (status >= 200) co_return !now.answer->need_eof() || is_head;
  }
}

asio::awaitable<void> http_exchange::read_refusal(progress& now) {
  std::size_t total = 0;
  while (!now.answer->is_done() && total < refusal_bytes_max) {
    auto& body = now.answer->get().body();
    body.data = now.chunk.data();
    body.size = now.chunk.size();
    auto [error, read] = co_await http::async_read_some(
        now.connection->socket, now.connection->buffer, *now.answer, awaitable_result);
    if (error && !is_need_buffer(error)) co_return;
    total += now.chunk.size() - body.size;
  }
}

asio::awaitable<void> http_exchange::forward_response(exchange_plan& plan, caller_stream& caller,
                                                      progress& now) {
  const auto& received = now.answer->get();
  auto& end = now.end;
  end.status = received.result_int();
  end.content_type = std::string(received[http::field::content_type]);
  const auto said = as_view(received["Masticshunt-Outcome"]);
  const bool states_outcome = !said.empty();
  end.what =
      states_outcome ? outcome_from(said) : (end.status >= 500 ? outcome::failed : outcome::served);
  end.reason = reason_from(as_view(received["Masticshunt-Reason"]));
  end.retry_after = retry_after_of(as_view(received[http::field::retry_after]));
  end.owner = std::string(received["Masticshunt-Owner"]);
  const bool refused = plan.from_upstream ? end.what == outcome::not_run
                                          : states_outcome && end.reason != refusal_reason::none;
  if (refused || (!plan.from_upstream && end.what == outcome::may_have_run)) {
    if (plan.from_upstream) {
      end.reason = end.status == 409 ? refusal_reason::fenced : refusal_reason::upstream_shed;
    }
    end.result = exchange_result::refused;
    co_await read_refusal(now);
    co_return;
  }

  auto answer = answer_header(*now.answer, caller, end.what);
  http::response_serializer<http::buffer_body> serializer(answer);
  end.body_kept = plan.answer_bytes_kept > 0;
  bool more = !now.answer->is_done();
  std::size_t filled = 0;
  do {
    filled = 0;
    // Whatever is at hand goes out in one write; a short answer costs one write in all.
    while (more && filled < now.chunk.size()) {
      auto& body = now.answer->get().body();
      body.data = now.chunk.data() + filled;
      body.size = now.chunk.size() - filled;
      now.watchdog.arm(now.connection->socket, boot_now() + body_progress_timeout);
      auto [error, read] = co_await http::async_read_some(
          now.connection->socket, now.connection->buffer, *now.answer, awaitable_result);
      if (error && !is_need_buffer(error)) {
        end.result = caller.response_started ? exchange_result::truncated : exchange_result::broken;
        if (!caller.response_started && now.watchdog.fired())
          end.result = exchange_result::timed_out;
        now.answer->get().body().data = nullptr;
        co_return;
      }
      filled = now.chunk.size() - body.size;
      more = !now.answer->is_done();
      const bool short_answer = now.answer->content_length().has_value() &&
                                *now.answer->content_length() <= now.chunk.size();
      if (!short_answer) break;
    }
    if (end.body_kept) {
      end.body.append(now.chunk.data(), filled);
      end.body_kept = end.body.size() <= plan.answer_bytes_kept;
    }
    answer.body().data = filled > 0 ? now.chunk.data() : nullptr;
    answer.body().size = filled;
    answer.body().more = more;
    if (filled == 0 && more && caller.response_started) continue;
    caller.response_started = true;
    now.caller_watchdog.arm(caller.socket, boot_now() + body_progress_timeout);
    auto [error, written] = co_await http::async_write(caller.socket, serializer, awaitable_result);
    if (error && !is_need_buffer(error)) {
      end.result = exchange_result::caller_disconnected;
      co_return;
    }
  } while (more);
  end.result = exchange_result::answered;
}

}  // namespace masticshunt::agent
