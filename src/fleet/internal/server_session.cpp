#include "fleet/internal/server_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "fleet/internal/spawn.h"
#include "masticshunt/support/clock.h"
#include "masticshunt/support/socket_options.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t read_size = 16 * 1024;
/// A connection has about this much output that was taken from a body and is not sent.
constexpr std::size_t output_size = 32 * 1024;
/// Bodies below it are taken in without a reservation, as ordinary requests must be.
constexpr std::uint64_t small_body_bytes = 16 * 1024;
/// After its last answer a connection is read on for this long, and so far, so that a sender which
/// still sends reads the answer: closing with unread bytes would reset it.
constexpr duration linger_after_close = std::chrono::seconds{1};
constexpr std::size_t linger_bytes_max = 1024 * 1024;

void append_number(std::string& to, std::uint64_t value, int base = 10) {
  std::array<char, 24> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value, base).ptr;
  to.append(text.data(), end);
}

std::string reason_of(unsigned status) {
  const auto text = http::obsolete_reason(static_cast<http::status>(status));
  return {text.data(), text.size()};
}

bool has_no_body(unsigned status) {
  const auto known = static_cast<http::status>(status);
  return known == http::status::no_content || known == http::status::not_modified;
}

}  // namespace

server_session::server_session(http_server& server, tcp::socket socket, std::uint64_t connection)
    : server_(&server),
      socket_(std::move(socket)),
      connection_(connection),
      space_timer_(socket_.get_executor()) {
  error_code ignored;
  const auto peer = socket_.remote_endpoint(ignored);
  if (!ignored) sender_ = peer.address().to_string();
  socket_.non_blocking(true, ignored);
  support::apply_socket_options(
      socket_, {.user_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
                    server.limits().user_timeout)});
  accepted_at_ = boot_now();
  idle_since_ = accepted_at_;
  progress_since_ = accepted_at_;
  output_held_ = server.share_.hold();
}

void server_session::start() {
  spawn(socket_.get_executor(), [self = shared_from_this()] { return self->read_requests(); });
}

void server_session::sweep(time_point now) {
  const auto& limits = server_->limits();
  const bool late_header = header_since_ && now - *header_since_ > limits.header_timeout;
  const bool expired = idle() && now - idle_since_ > limits.idle_timeout;
  // The peer has taken no byte of its answers for so long.
  const bool stalled =
      pending_.empty() && has_unsent_output() && now - idle_since_ > limits.idle_timeout;
  const bool linger_expired = shut_down_at_ && now - *shut_down_at_ > linger_after_close;
  // The rest of a body that was answered early, and that nobody waits for.
  const bool abandoned_body = body_in_progress_ && pending_.empty() && !shut_down_at_ &&
                              now - idle_since_ > limits.idle_timeout;
  if (late_header || expired || stalled || linger_expired || abandoned_body) drop();
}

bool server_session::idle() const {
  return pending_.empty() && !header_since_ && !body_in_progress_ && !has_unsent_output() &&
         !shut_down_at_;
}

std::optional<requests::connection_holding> server_session::holding(time_point now,
                                                                    duration window) {
  const bool waits_for_peer =
      (body_in_progress_ && !waits_for_space_ && !sender_waits()) || writing_;
  if (!waits_for_peer) {
    progress_ = 0;
    progress_since_ = now;
    return std::nullopt;
  }
  const requests::connection_holding result{connection_, bytes_held(), progress_,
                                            now - progress_since_};
  if (result.window >= window) {
    progress_ = 0;
    progress_since_ = now;
  }
  return result;
}

bool server_session::sender_waits() const {
  return !pending_.empty() && pending_.back()->awaits_continue();
}

std::uint64_t server_session::bytes_held() const {
  std::uint64_t bytes = buffer_.size() + output_held_.bytes();
  for (const auto& each : pending_) {
    bytes += each->body->buffered().size();
    if (each->answer_.body) bytes += each->answer_.body->buffered().size();
  }
  return bytes;
}

void server_session::drop() {
  error_code ignored;
  socket_.close(ignored);
  space_timer_.cancel();
  abandon_pending();
}

void server_session::close_if_idle() {
  if (idle()) shut_down_send();
}

void server_session::detach() {
  server_ = nullptr;
  drop();
}

asio::awaitable<void> server_session::read_requests() {
  const auto self = shared_from_this();
  while (server_ != nullptr && !read_closed_) {
    if (!co_await read_request()) break;
  }
  // Waits until the peer closes, so that its disconnect is noticed and the connection is not
  // reset.
  while (server_ != nullptr && socket_.is_open() && !received_end_) {
    co_await fill();
    buffer_.consume(buffer_.size());
  }
  close();
}

asio::awaitable<bool> server_session::read_request() {
  request_parser parser;
  parser.eager(true);
  parser.header_limit(server_->limits().header_bytes);
  parser.body_limit(server_->limits().body_bytes);
  std::shared_ptr<server_request> request;
  for (;;) {
    if (buffer_.size() > 0) {
      if (!request && !header_since_) header_since_ = boot_now();
      error_code error;
      buffer_.consume(parser.put(buffer_.data(), error));
      // What the parser leaves is the start of a head, a chunk line or trailers.
      if (error == http::error::need_more && buffer_.size() > parts_bytes_max())
        error = http::error::header_limit;
      if (error && error != http::error::need_more) {
        co_return refuse(error, request);
      }
      if (request && request->body->over_budget()) refuse_body(request);
      if (parser.is_header_done() && !request) {
        // A busy process may read a request only after its sender has left.
        if (parser.is_done() && buffer_.size() == 0 && peer_has_closed()) co_return false;
        request = add_request(parser);
      }
      if (parser.is_done()) break;
    }
    if (request && request->body->full()) co_await wait_for_space(*request->body);
    if (!co_await fill()) {
      if (request) request->body->fail();
      co_return false;
    }
    if (server_ == nullptr) co_return false;
    // Bytes that arrive after this side has closed are not read as a request, since their sender
    // treats them as not sent.
    const bool closing = server_ == nullptr || (server_->closing() && !pending_.empty());
    if (!request && (shut_down_at_ || closing || !socket_.is_open())) co_return false;
  }
  body_in_progress_ = false;
  while (pending_.size() >= server_->limits().pipelined_max && socket_.is_open()) {
    error_code ignored;
    space_timer_.expires_at(std::chrono::steady_clock::time_point::max());
    co_await space_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (server_ == nullptr) co_return false;
  }
  co_return socket_.is_open();
}

std::size_t server_session::parts_bytes_max() const {
  return std::max<std::size_t>(server_->limits().header_bytes, read_size);
}

bool server_session::peer_has_closed() {
  char byte = 0;
  const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<void> server_session::wait_for_space(body_pipe& body) {
  body.on_writable([self = weak_from_this()] {
    if (const auto alive = self.lock()) alive->space_timer_.cancel();
  });
  waits_for_space_ = true;
  while (body.full() && socket_.is_open()) {
    error_code ignored;
    space_timer_.expires_at(std::chrono::steady_clock::time_point::max());
    co_await space_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  waits_for_space_ = false;
}

asio::awaitable<bool> server_session::fill() {
  error_code error;
  // A connection that waits keeps no buffer: most of many thousands wait.
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  co_await socket_.async_wait(tcp::socket::wait_read,
                              asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    const auto got = socket_.read_some(buffer_.prepare(read_size), error);
    buffer_.commit(got);
    progress_ += got;
    if (shut_down_at_) read_after_shutdown_ += got;
    if (read_after_shutdown_ > linger_bytes_max) error = asio::error::connection_aborted;
    if (error == asio::error::would_block) error = {};
  }
  // The end of the stream is reported only once; another read would never complete.
  if (error) received_end_ = true;
  co_return !error;
}

std::shared_ptr<server_request> server_session::add_request(request_parser& parser) {
  header_since_.reset();
  auto request = std::make_shared<server_request>();
  request->arrived = boot_now();
  request->keep_alive_ = parser.get().keep_alive();
  request->http_1_0_ = parser.get().version() < 11;
  request->is_head_ = parser.get().method() == http::verb::head;
  const bool expects_continue =
      boost::beast::iequals(parser.get()[http::field::expect], "100-continue");
  request->head = std::move(parser.get().base());
  request->body = parser.get().body();
  if (!request->body) request->body = std::make_shared<body_pipe>();
  if (parser.is_done() && !request->body->complete()) request->body->finish();
  request->sender = sender_;
  request->connection = connection_;
  request->share_ = server_->share_;
  request->on_answer_ = [self = weak_from_this()] {
    if (const auto alive = self.lock()) alive->flush();
  };
  if (!request->keep_alive_) read_closed_ = true;
  body_in_progress_ = !parser.is_done();
  if (expects_continue && pending_.empty() && body_in_progress_) {
    request->on_send_continue_ = [self = weak_from_this()] {
      if (const auto alive = self.lock()) alive->send_continue();
    };
    if (!server_->limits().handler_sends_continue) request->send_continue();
  }
  pending_.push_back(request);
  ++server_->open_requests_;
  if (body_in_progress_ && !reserve_body(*request->body))
    refuse_body(request);
  else
    server_->handler_(request);
  return request;
}

bool server_session::reserve_body(body_pipe& body) {
  if (server_->share_.budget == nullptr) return true;
  const auto length = body.length();
  if (length && *length < small_body_bytes) return true;
  body.count_in(server_->share_.hold());
  return body.reserve(length.value_or(small_body_bytes));
}

void server_session::refuse_body(const std::shared_ptr<server_request>& request) {
  if (request->answered_ || request->over_budget_ || request->body->taken()) return;
  request->over_budget_ = true;
  request->keep_alive_ = false;
  server_->refuse_(request);
  request->body->discard();
  request->body->fail();
  request->cancel.request();
}

void server_session::send_continue() {
  out_ += "HTTP/1.1 100 Continue\r\n\r\n";
  flush();
}

bool server_session::refuse(const error_code& error,
                            const std::shared_ptr<server_request>& request) {
  read_closed_ = true;
  const auto status = static_cast<unsigned>(
      error == http::error::header_limit ? http::status::request_header_fields_too_large
      : error == http::error::body_limit ? http::status::payload_too_large
                                         : http::status::bad_request);
  if (request) {
    // Nothing tells where the rest of such a body ends, so none of it is read. The request has
    // not been passed on if its body was still being collected.
    const bool not_passed_on = !request->answered_ && !request->body->taken();
    if (not_passed_on) {
      request->keep_alive_ = false;
      request->respond({.status = status, .close = true});
    }
    request->body->fail();
    if (!not_passed_on) drop();
    return false;
  }
  auto invalid = std::make_shared<server_request>();
  invalid->body = std::make_shared<body_pipe>();
  invalid->keep_alive_ = false;
  pending_.push_back(invalid);
  ++server_->open_requests_;
  invalid->respond({.status = status, .close = true});
  flush();
  return false;
}

void server_session::flush() {
  auto state = body_state::more;
  while (state == body_state::more && !writing_ && server_ != nullptr) {
    state = append_answers();
    if (state == body_state::failed) return drop();
    write_out();
  }
}

server_session::body_state server_session::append_answers() {
  while (!pending_.empty() && pending_.front()->answered_) {
    server_request& front = *pending_.front();
    if (front.answer_.abort) return body_state::failed;
    if (!front.started_ && !start_answer(front))
      return front.answer_.body->failed() ? body_state::failed : body_state::waiting;
    if (const auto state = pass_body(front); state != body_state::complete) return state;
    finish_front();
    if (shut_after_write_) break;
  }
  return body_state::complete;
}

bool server_session::start_answer(server_request& front) {
  server_answer& answer = front.answer_;
  if (answer.body) {
    if (!answer.body->ready() || (front.http_1_0_ && !answer.body->complete())) {
      answer.body->on_change([self = weak_from_this()] {
        if (const auto alive = self.lock()) alive->flush();
      });
      return false;
    }
    if (answer.body->failed()) return false;
  }
  front.started_ = true;
  out_ += "HTTP/1.1 ";
  append_number(out_, answer.status);
  out_ += ' ';
  out_ += reason_of(answer.status);
  out_ += "\r\n";
  out_ += answer.headers;
  const auto length =
      answer.body ? answer.body->length() : std::optional<std::uint64_t>{answer.text.size()};
  if (!has_no_body(answer.status)) {
    if (length) {
      out_ += "Content-Length: ";
      append_number(out_, *length);
      out_ += "\r\n";
    } else {
      front.chunked_ = true;
      out_ += "Transfer-Encoding: chunked\r\n";
    }
  }
  // Without 100 Continue, the sender may or may not send the body, so the next request could not
  // be delimited: the connection is closed.
  const bool last = server_->closing() && pending_.size() == 1;
  if (answer.close || last || front.awaits_continue()) front.keep_alive_ = false;
  if (!front.keep_alive_) {
    out_ += "Connection: close\r\n";
  } else if (front.http_1_0_) {
    out_ += "Connection: keep-alive\r\n";
  }
  out_ += "\r\n";
  return true;
}

server_session::body_state server_session::pass_body(server_request& front) {
  server_answer& answer = front.answer_;
  const bool headers_only = front.is_head_ || has_no_body(answer.status);
  if (!answer.body) {
    if (!headers_only) out_ += answer.text;
    return body_state::complete;
  }
  body_pipe& body = *answer.body;
  const std::string bytes = body.take(output_size);
  if (!headers_only && !bytes.empty()) {
    if (front.chunked_) {
      append_number(out_, bytes.size(), 16);
      out_ += "\r\n";
    }
    out_ += bytes;
    if (front.chunked_) out_ += "\r\n";
  }
  if (!body.buffered().empty()) return body_state::more;
  if (body.complete()) {
    if (front.chunked_ && !headers_only) out_ += "0\r\n\r\n";
    return body_state::complete;
  }
  if (body.failed()) return body_state::failed;
  body.on_change([self = weak_from_this()] {
    if (const auto alive = self.lock()) alive->flush();
  });
  return body_state::waiting;
}

void server_session::finish_front() {
  const auto& front = pending_.front();
  if (!front->keep_alive_) shut_after_write_ = true;
  if (front->answer_.body) front->answer_.body->on_change(nullptr);
  // Answered early: what still arrives of the body serves nobody.
  if (!front->body->complete() && !front->body->taken()) front->body->discard();
  pending_.pop_front();
  --server_->open_requests_;
  idle_since_ = boot_now();
  space_timer_.cancel();
}

void server_session::write_out() {
  if (out_.empty()) {
    if (shut_after_write_) shut_down_send();
    return;
  }
  error_code error;
  const auto sent = socket_.write_some(asio::buffer(out_), error);
  if (error && error != asio::error::would_block) return drop();
  if (!error && sent == out_.size()) {
    out_.clear();
    if (shut_after_write_) shut_down_send();
    return;
  }
  writing_ = true;
  if (!error) out_.erase(0, sent);
  output_held_.set(out_.size());
  unsent_ = std::exchange(out_, {});
  write_unsent();
}

void server_session::write_unsent() {
  socket_.async_write_some(asio::buffer(unsent_),
                           [self = shared_from_this()](const error_code& failed, std::size_t sent) {
                             if (failed) {
                               self->writing_ = false;
                               return self->drop();
                             }
                             self->progress_ += sent;
                             self->idle_since_ = boot_now();
                             self->unsent_.erase(0, sent);
                             self->output_held_.set(self->unsent_.size());
                             if (!self->unsent_.empty()) return self->write_unsent();
                             free_memory_of(self->unsent_);
                             self->writing_ = false;
                             self->flush();
                           });
}

void server_session::shut_down_send() {
  if (shut_down_at_) return;
  shut_down_at_ = boot_now();
  read_closed_ = true;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  abandon_pending();
}

void server_session::abandon_pending() {
  auto abandoned = std::exchange(pending_, {});
  if (server_ != nullptr) server_->open_requests_ -= abandoned.size();
  for (const auto& each : abandoned) {
    each->on_answer_ = nullptr;
    if (each->answer_.body) each->answer_.body->on_change(nullptr);
    each->body->fail();
    each->cancel.request();
  }
}

void server_session::close() {
  drop();
  if (server_ != nullptr) server_->sessions_.erase(shared_from_this());
  server_ = nullptr;
}

}  // namespace masticshunt::fleet
