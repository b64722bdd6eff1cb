#include "fleet/internal/answer_reader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticshunt/support/clock.h"
#include "masticshunt/support/http_head.h"
#include "masticshunt/support/socket_options.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t read_bytes = 16 * 1024;
constexpr std::uint64_t answer_bytes_max = std::uint64_t{1} << 32U;

}  // namespace

answer_reader::answer_reader(connection_ptr connection, bool headers_only, std::size_t body_max)
    : connection_(std::move(connection)) {
  parser_.header_limit(part_bytes_max);
  parser_.body_limit(answer_bytes_max);
  parser_.skip(headers_only);
  parser_.get().body() = std::make_shared<body_pipe>(body_max);
}

bool answer_reader::ready() const {
  return done() || (head_done() && body()->ready());
}

asio::awaitable<bool> receive_some(client_connection& connection, error_code& error) {
  const auto got = co_await connection.socket.async_read_some(
      connection.buffer.prepare(read_bytes), asio::redirect_error(asio::use_awaitable, error));
  connection.buffer.commit(got);
  if (got > 0) connection.received_at = boot_now();
  co_return !error;
}

asio::awaitable<bool> answer_reader::read_some(error_code& error) {
  auto& buffer = connection_->buffer;
  error = {};
  bool received = true;
  if (buffer.size() == 0 || needs_more_) received = co_await receive_some(*connection_, error);
  if (!received) {
    if (error != asio::error::eof || !head_done() || !parser_.need_eof()) co_return false;
    const bool whole = support::peer_ended_in_order(connection_->socket.native_handle());
    error = whole ? error_code{} : asio::error::connection_reset;
    if (error) co_return false;
    parser_.put_eof(error);
    co_return !error;
  }
  const bool in_head = !head_done();
  if (in_head && support::has_folded_line(buffer.data())) {
    error = http::error::bad_field;
    co_return false;
  }
  buffer.consume(parser_.put(buffer.data(), error));
  if (in_head && head_done()) keep_head();
  needs_more_ = error == http::error::need_more;
  if (needs_more_) error = {};
  if (needs_more_ && buffer.size() > part_bytes_max) error = http::error::buffer_overflow;
  co_return !error;
}

void answer_reader::keep_head() {
  if (parser_.chunked()) head_without_trailers_ = parser_.get().base();
  parser_.eager(true);
}

asio::awaitable<bool> answer_reader::skip(error_code& error) {
  while (!done()) {
    const bool received = co_await read_some(error);
    if (!received) co_return false;
    body()->take();
  }
  co_return true;
}

bool is_malformed(const error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_value).category();
}

}  // namespace masticshunt::fleet
