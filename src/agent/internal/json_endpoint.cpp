#include "agent/internal/json_endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "agent/internal/socket_watchdog.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto awaitable_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t header_bytes_max = 8 * 1024;
constexpr std::uint64_t body_bytes_max = 64 * 1024;
constexpr std::chrono::seconds idle_age_max{30};
constexpr std::chrono::milliseconds accept_retry_delay{10};

}  // namespace

short_response make_response(const short_request& to, http::status status,
                             const std::string& content_type, std::string body) {
  short_response response{status, 11};
  response.set(http::field::content_type, content_type);
  response.keep_alive(to.keep_alive());
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

bool open_acceptor(asio::ip::tcp::acceptor& acceptor, const std::string& address,
                   std::uint16_t port, failure& reason) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (!error) acceptor.open(ip.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind({ip, port}, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (!error) return true;
  reason = {failure_kind::unavailable,
            "cannot listen on " + address + ":" + std::to_string(port) + ": " + error.message(),
            "check that the address belongs to this VM and that the port is free"};
  return false;
}

json_endpoint::json_endpoint(asio::io_context& context, handler on_request)
    : context_(context), on_request_(std::move(on_request)), acceptor_(context) {}

bool json_endpoint::listen(const std::string& address, std::uint16_t port, failure& reason) {
  if (!open_acceptor(acceptor_, address, port, reason)) return false;
  port_ = acceptor_.local_endpoint().port();
  asio::co_spawn(context_, accept_loop(), asio::detached);
  return true;
}

void json_endpoint::close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

asio::awaitable<void> json_endpoint::accept_loop() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(awaitable_result);
    if (!error) {
      asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
      continue;
    }
    if (!acceptor_.is_open()) co_return;
    asio::steady_timer retry_timer(context_, accept_retry_delay);
    co_await retry_timer.async_wait(awaitable_result);
  }
}

asio::awaitable<void> json_endpoint::serve(asio::ip::tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  bool keep_alive = true;
  while (keep_alive) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(header_bytes_max);
    parser.body_limit(body_bytes_max);
    socket_watchdog watchdog(socket.get_executor());
    watchdog.arm(socket, boot_now() + idle_age_max);
    auto [error, read] = co_await http::async_read(socket, buffer, parser, awaitable_result);
    if (error) co_return;
    auto response = on_request_(parser.get());
    keep_alive = response.keep_alive();
    auto [write_error, written] = co_await http::async_write(socket, response, awaitable_result);
    if (write_error) co_return;
  }
}

}  // namespace masticshunt::agent
