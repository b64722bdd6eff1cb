#include "fleet/internal/http_client.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "fleet/internal/answer_reader.h"
#include "fleet/internal/spawn.h"
#include "masticshunt/support/clock.h"
#include "masticshunt/support/http_head.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t inline_body_max = 64 * 1024;
/// Of a body that is streamed, so much is taken from its pipe at a time.
constexpr std::size_t sent_at_once = 32 * 1024;
constexpr duration body_progress_timeout = std::chrono::seconds{20};
constexpr int stray_answers_max = 2;
constexpr unsigned first_final_status = 200;
constexpr unsigned first_failure_status = 300;

std::string framing_lines(const std::shared_ptr<body_pipe>& body) {
  if (!body) return "\r\n";
  if (const auto length = body->length())
    return *length == 0 && body->fully_buffered()
               ? "Content-Length: 0\r\n\r\n"
               : "Content-Length: " + std::to_string(*length) + "\r\n\r\n";
  return "Transfer-Encoding: chunked\r\n\r\n";
}

/// The peer's reaction to a head with Expect: 100-continue.
enum class continue_result { received, final_answer, no_answer };

/// Waits until the peer sends 100 Continue, or answers without reading the body.
asio::awaitable<continue_result> await_continue(client_connection& connection, time_point until) {
  constexpr std::string_view continue_prefix = "HTTP/1.1 100";
  constexpr std::string_view head_end = "\r\n\r\n";
  watchdog guard(connection, until);
  for (;;) {
    const auto received_bytes = connection.buffer.data();
    const std::string_view bytes(static_cast<const char*>(received_bytes.data()),
                                 received_bytes.size());
    if (bytes.size() >= continue_prefix.size()) {
      if (!bytes.starts_with(continue_prefix)) co_return continue_result::final_answer;
      if (const auto position = bytes.find(head_end); position != std::string_view::npos) {
        connection.buffer.consume(position + head_end.size());
        co_return continue_result::received;
      }
    }
    if (bytes.size() > answer_reader::part_bytes_max) co_return continue_result::no_answer;
    error_code error;
    const bool received = co_await receive_some(connection, error);
    if (!received) co_return continue_result::no_answer;
  }
}

/// Sends a body that was not sent together with its head. Closes the connection if the body is
/// truncated.
asio::awaitable<void> send_body(connection_ptr connection, std::shared_ptr<body_pipe> body,
                                std::shared_ptr<bool> sent) {
  error_code error;
  if (body->fully_buffered()) {
    co_await asio::async_write(connection->socket, asio::buffer(body->buffered()),
                               asio::redirect_error(asio::use_awaitable, error));
    *sent = !error;
    co_return;
  }
  const bool chunked = !body->length();
  asio::steady_timer changed(connection->socket.get_executor());
  body->on_change([&changed] { changed.cancel(); });
  while (!error && connection->socket.is_open()) {
    std::string bytes = body->take(sent_at_once);
    if (bytes.empty() && !body->complete()) {
      if (body->failed()) {
        connection->socket.close(error);
        break;
      }
      error_code ignored;
      changed.expires_at(std::chrono::steady_clock::time_point::max());
      co_await changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    if (chunked && !bytes.empty()) {
      char size[24]{};
      std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
      bytes.insert(0, size);
      bytes.append("\r\n");
    }
    const bool last = body->complete() && body->buffered().empty();
    if (last && chunked) bytes += "0\r\n\r\n";
    co_await asio::async_write(connection->socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    if (last) {
      *sent = !error;
      break;
    }
  }
  body->on_change(nullptr);
}

/// Whose answer it is that arrived.
enum class answer_owner {
  request,  ///< The answer to the request.
  unknown,  ///< It names no request, although answers usually do.
  other     ///< The answer to another request, or an interim one.
};

answer_owner owner_of(const exchange_request& request, unsigned status, const answer_head& head) {
  if (status < first_final_status) return answer_owner::other;
  if (request.id_of == nullptr) return answer_owner::request;
  const std::string id = request.id_of(head);
  if (!id.empty()) return id == request.id ? answer_owner::request : answer_owner::other;
  if (request.accepts_anonymous != nullptr && !request.accepts_anonymous(head))
    return answer_owner::other;
  return request.id.empty() ? answer_owner::request : answer_owner::unknown;
}

/// Receives the rest of a large answer while it is being forwarded. The connection returns to the
/// pool after it if `reusable`, and if the request was `sent` completely.
asio::awaitable<void> pump_answer(connection_pool& pool, connection_ptr connection,
                                  std::shared_ptr<answer_reader> answer, bool reusable,
                                  std::shared_ptr<bool> sent) {
  const auto body = answer->body();
  watchdog guard(*connection, boot_now() + body_progress_timeout);
  asio::steady_timer space(connection->socket.get_executor());
  body->on_writable([&space] { space.cancel(); });
  while (!answer->done()) {
    if (body->full()) {
      error_code ignored;
      space.expires_after(body_progress_timeout);
      co_await space.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      if (body->full()) break;
    }
    guard.move(boot_now() + body_progress_timeout);
    error_code error;
    const bool received = co_await answer->read_some(error);
    if (!received) break;
  }
  body->on_writable(nullptr);
  if (!answer->done()) {
    body->fail();
    co_return;
  }
  if (reusable && answer->keep_alive() && *sent && connection->buffer.size() == 0)
    pool.release(connection);
}

}  // namespace

asio::awaitable<exchange_outcome> run_exchange(connection_pool& pool, endpoint to,
                                               exchange_request request, cancellation& cancel) {
  exchange_outcome outcome;
  if (cancel.requested()) {
    outcome.result = exchange_result::cancelled;
    co_return outcome;
  }
  connection_ptr connection =
      co_await pool.acquire(std::move(to), request.deadline, cancel, request.answer_key);
  if (!connection) {
    outcome.result =
        cancel.requested() ? exchange_result::cancelled : exchange_result::not_connected;
    co_return outcome;
  }
  if (request.send_before && boot_now() > *request.send_before) {
    pool.release(std::move(connection));
    outcome.result = exchange_result::too_late;
    outcome.detail = "too late to be sent";
    co_return outcome;
  }
  outcome.reused = connection->uses > 0;
  const auto began = boot_now();
  cancel.on_request([connection] {
    error_code ignored;
    connection->socket.close(ignored);
  });
  watchdog guard(*connection, request.deadline);
  error_code error;
  const auto fail_with = [&](exchange_result result, std::string detail) {
    outcome.result = cancel.requested() ? exchange_result::cancelled
                     : guard.expired()  ? exchange_result::timed_out
                                        : result;
    outcome.detail = std::move(detail);
    // Connections can fall silent together, without a reset.
    const bool was_silent = outcome.reused && connection->received_at < began;
    if (was_silent && (guard.expired() || error == asio::error::timed_out))
      pool.drop_idle_since(connection->to, began);
    cancel.clear();
    error_code ignored;
    connection->socket.close(ignored);
  };

  std::string bytes = std::move(request.head);
  if (request.continue_deadline) bytes += "Expect: 100-continue\r\n";
  bytes += framing_lines(request.body);
  const auto sent = std::make_shared<bool>(true);
  bool body_follows =
      request.body && (request.continue_deadline || !request.body->fully_buffered() ||
                       request.body->buffered().size() > inline_body_max);
  if (request.body && !body_follows) bytes += request.body->buffered();
  std::size_t written = connection->socket.write_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) {
    error = {};
    written = 0;
  }
  if (!error && written < bytes.size()) {
    co_await asio::async_write(connection->socket, asio::buffer(bytes) + written,
                               asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    fail_with(exchange_result::broken, "send: " + error.message());
    co_return outcome;
  }
  free_memory_of(bytes);  // It may hold a copy of the body, which the answer's wait does not need.
  if (request.continue_deadline) {
    const auto continue_answer = co_await await_continue(*connection, *request.continue_deadline);
    if (continue_answer == continue_result::no_answer) {
      fail_with(exchange_result::too_late, "no 100 Continue for the body in time");
      outcome.result = cancel.requested() ? exchange_result::cancelled : exchange_result::too_late;
      co_return outcome;
    }
    body_follows = continue_answer == continue_result::received;
    *sent = body_follows;
  }
  if (body_follows) {
    *sent = false;
    pool.allow_stalls(*connection, request.deadline);
    spawn(connection->socket.get_executor(), send_body(connection, request.body, sent));
  }

  for (int strays = 0;; ++strays) {
    auto answer = std::make_shared<answer_reader>(connection, request.is_head, request.body_max);
    answer->body()->count_in(std::move(request.answer_held));
    bool received = true;
    while (received && !answer->head_done()) received = co_await answer->read_some(error);
    if (received && answer->status() < first_final_status &&
        !support::is_interim(answer->status())) {
      fail_with(exchange_result::malformed, "status " + std::to_string(answer->status()));
      co_return outcome;
    }
    const auto belongs =
        received ? owner_of(request, answer->status(), answer->head()) : answer_owner::request;
    if (received && belongs == answer_owner::other) {
      received = co_await answer->skip(error);
      if (received && strays < stray_answers_max) continue;
      if (received) {
        fail_with(exchange_result::malformed, "answers of other requests");
        co_return outcome;
      }
    }
    while (received && !answer->ready()) received = co_await answer->read_some(error);
    if (!received) {
      if (is_malformed(error))
        fail_with(exchange_result::malformed, "answer: " + error.message());
      else
        fail_with(exchange_result::broken, "receive: " + error.message());
      co_return outcome;
    }
    outcome.result = exchange_result::answered;
    outcome.status = answer->status();
    outcome.body = answer->body();
    if (answer->done() && !outcome.body->complete()) outcome.body->finish();
    outcome.head = answer->head();
    if (request.idle_limit_of != nullptr) {
      if (const auto limit = request.idle_limit_of(outcome.head)) connection->idle_limit = *limit;
    }
    const bool may_be_followed =
        request.repeats_after_success || outcome.status >= first_failure_status;
    if (!request.answer_key.empty() && may_be_followed)
      connection->repeatable.add(request.answer_key, request.answer_key_until, boot_now());
    cancel.clear();
    // An answer without the id may belong to an earlier request, and the own one may follow.
    const bool reusable = strays == 0 && belongs == answer_owner::request;
    if (answer->done()) {
      // Bytes after the answer belong to no request, so the connection is not reused.
      const bool clean = answer->keep_alive() && *sent && connection->buffer.size() == 0;
      if (reusable && clean && connection->socket.is_open()) pool.release(connection);
      co_return outcome;
    }
    cancel.on_request([connection] {
      error_code ignored;
      connection->socket.close(ignored);
    });
    spawn(connection->socket.get_executor(), pump_answer(pool, connection, answer, reusable, sent));
    co_return outcome;
  }
}

}  // namespace masticshunt::fleet
