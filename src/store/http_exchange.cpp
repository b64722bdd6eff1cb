#include "store/internal/http_exchange.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>

#include "masticshunt/support/clock.h"
#include "masticshunt/support/http_head.h"
#include "masticshunt/support/socket_options.h"
#include "store/internal/url_text.h"

namespace masticshunt::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto tuple_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t response_bytes_max = 256 * 1'048'576ULL;
constexpr duration idle_age_max = std::chrono::seconds{30};
constexpr std::size_t idle_connections_max = 4;

std::optional<tcp::endpoint> parse_endpoint(const endpoint& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const auto port = parse_decimal(std::string_view(text).substr(colon + 1));
  boost::system::error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  if (error || !port || *port == 0 || *port > 65'535) return std::nullopt;
  return tcp::endpoint{address, static_cast<std::uint16_t>(*port)};
}

}  // namespace

http_exchange::http_exchange(asio::any_io_executor strand, std::vector<endpoint> addresses)
    : strand_(std::move(strand)), addresses_(std::move(addresses)) {}

http_exchange::connection_pointer http_exchange::take_idle() {
  const auto oldest = boot_now() - idle_age_max;
  idle_.remove_if([&](const auto& each) {
    return each->last_used < oldest || !support::is_silent(each->stream.socket().native_handle());
  });
  if (idle_.empty()) return nullptr;
  auto result = idle_.back();
  idle_.pop_back();
  return result;
}

void http_exchange::release(const connection_pointer& released) {
  if (closed_ || idle_.size() >= idle_connections_max) return;
  released->last_used = boot_now();
  released->stream.expires_never();
  idle_.push_back(released);
}

asio::awaitable<http_exchange::acquired_connection> http_exchange::acquire(time_point deadline) {
  if (auto reused = take_idle()) co_return acquired_connection{std::move(reused), true, {}};
  if (addresses_.empty())
    co_return acquired_connection{nullptr, false, "no store address configured"};
  const auto& address = addresses_[next_address_ % addresses_.size()];
  const auto remote = parse_endpoint(address);
  if (!remote) {
    ++next_address_;
    co_return acquired_connection{nullptr, false, address + " is not an IP address and port"};
  }
  auto opened = std::make_shared<connection>(strand_);
  running_.emplace_back(opened);
  opened->stream.expires_after(deadline - boot_now());
  auto [error] = co_await opened->stream.async_connect(*remote, tuple_awaitable);
  if (error) {
    ++next_address_;
    co_return acquired_connection{nullptr, false, "connect to " + address + ": " + error.message()};
  }
  support::apply_socket_options(opened->stream.socket());
  co_return acquired_connection{std::move(opened), false, {}};
}

asio::awaitable<exchange_result> http_exchange::run(http_request request, time_point deadline,
                                                    duration server_wait) {
  running_.remove_if([](const auto& each) { return each.expired(); });
  if (closed_) co_return exchange_result{std::nullopt, false, "the client is stopped"};
  auto acquired = co_await acquire(deadline);
  if (!acquired.connection)
    co_return exchange_result{std::nullopt, false, std::move(acquired.error)};

  running_.emplace_back(acquired.connection);
  const auto started_at = boot_now();
  auto limit = deadline;
  if (acquired.reused)
    limit = std::min(limit, started_at + server_wait + response_timeout_.timeout());
  acquired.connection->stream.expires_after(std::max(limit - started_at, duration{1}));
  auto result = co_await send_and_receive(acquired.connection, std::move(request));
  if (!result.response) co_return result;
  if (server_wait == duration::zero()) response_timeout_.record_latency(boot_now() - started_at);
  // Bytes after the response belong to no call.
  const bool clean = acquired.connection->buffer.size() == 0;
  if (result.response->keep_alive() && clean) release(acquired.connection);
  co_return result;
}

asio::awaitable<exchange_result> http_exchange::send_and_receive(connection_pointer acquired,
                                                                 http_request request) {
  request.prepare_payload();
  auto [write_error, written] =
      co_await http::async_write(acquired->stream, request, tuple_awaitable);
  if (write_error) co_return exchange_result{std::nullopt, true, "send: " + write_error.message()};
  http::response_parser<http::string_body> parser;
  parser.body_limit(response_bytes_max);
  auto [read_error, header_bytes] =
      co_await http::async_read_header(acquired->stream, acquired->buffer, parser, tuple_awaitable);
  // The parser adds trailers to the fields of the head.
  const auto head = parser.get().base();
  if (!read_error) {
    std::tie(read_error, header_bytes) =
        co_await http::async_read(acquired->stream, acquired->buffer, parser, tuple_awaitable);
  }
  if (!read_error) {
    if (head.result_int() < support::first_status)
      co_return exchange_result{std::nullopt, true,
                                "receive: status " + std::to_string(head.result_int())};
    auto response = parser.release();
    response.base() = head;
    co_return exchange_result{std::move(response), true, {}};
  }
  if (read_error == beast::error::timeout) idle_.clear();
  co_return exchange_result{std::nullopt, true, "receive: " + read_error.message()};
}

void http_exchange::close() {
  closed_ = true;
  idle_.clear();
  for (const auto& running : running_) {
    if (const auto alive = running.lock()) alive->stream.close();
  }
}

}  // namespace masticshunt::store
