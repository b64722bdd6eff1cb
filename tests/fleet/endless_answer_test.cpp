#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>
#include <vector>

#include "expect.h"
#include "fleet/internal/http_client.h"
#include "fleet/internal/http_server.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// What both sides' sockets and one connection of the client may hold.
constexpr std::size_t held_max = 16 * 1024 * 1024;

/// A peer that sends `start` and then `repeated` until the connection is closed.
struct endless_peer {
  std::string start;
  std::string repeated;
  tcp::acceptor acceptor;
  std::size_t sent = 0;

  endless_peer(asio::io_context& context, std::string first, std::string_view unit)
      : start(std::move(first)),
        acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    while (repeated.size() < 64 * 1024) repeated += unit;
  }
  [[nodiscard]] endpoint address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  asio::awaitable<void> serve() {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(start), asio::use_awaitable);
    boost::system::error_code error;
    while (!error)
      sent += co_await asio::async_write(socket, asio::buffer(repeated),
                                         asio::redirect_error(asio::use_awaitable, error));
  }
};

/// Returns how many bytes of an answer that begins with `start` and goes on with `repeated` without
/// end are taken in a second, if nobody reads its body.
std::size_t taken_of_endless_answer(std::string start, std::string_view repeated) {
  asio::io_context context;
  endless_peer peer(context, std::move(start), repeated);
  connection_pool pool(context.get_executor(), {});
  exchange_outcome outcome;
  const auto run = [&]() -> asio::awaitable<void> {
    cancellation never_cancelled;
    exchange_request request;
    request.head = "GET / HTTP/1.1\r\nHost: a\r\n";
    request.deadline = boot_now() + milliseconds{800};
    outcome = co_await run_exchange(pool, peer.address(), std::move(request), never_cancelled);
  };
  asio::co_spawn(context, peer.serve(), asio::detached);
  asio::co_spawn(context, run(), asio::detached);
  context.run_for(std::chrono::seconds{1});
  return peer.sent;
}

void expect_bounded(std::string start, std::string_view repeated) {
  const auto taken = taken_of_endless_answer(std::move(start), repeated);
  expect_true(taken <= held_max, std::to_string(taken) + " bytes taken");
}

constexpr std::string_view chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

Test(client, keeps_no_endless_head) {
  expect_bounded("HTTP/1.1 200 OK\r\nA: ", "a");
}

Test(client, keeps_no_endless_head_of_many_lines) {
  expect_bounded("HTTP/1.1 200 OK\r\n", "A: a\r\n");
}

Test(client, keeps_no_endless_chunk_line) {
  expect_bounded(std::string(chunked_head) + "1;", "a");
}

Test(client, keeps_no_endless_trailers) {
  expect_bounded(std::string(chunked_head) + "0\r\n", "A: a\r\n");
}

Test(client, keeps_no_endless_body_that_nobody_reads) {
  expect_bounded("HTTP/1.1 200 OK\r\n\r\n", "a");
  expect_bounded(std::string(chunked_head), "1\r\na\r\n");
}

namespace {

/// Streams an answer whose third chunk line comes in two parts. Returns the bytes of its body.
std::size_t streamed_with_split_chunk_line() {
  constexpr std::size_t first_chunk = body_pipe::buffered_max;
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  connection_pool pool(context.get_executor(), {});
  exchange_outcome outcome;
  std::size_t received = 0;
  const auto serve = [&]() -> asio::awaitable<void> {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    char size[16]{};
    std::snprintf(size, sizeof size, "%zx\r\n", first_chunk);
    const std::vector<std::string> parts{
        std::string(chunked_head) + size + std::string(first_chunk, 'a') + "\r\n", "1\r\nb\r\n1",
        "\r\nc\r\n0\r\n\r\n"};
    asio::steady_timer pause(context);
    for (const auto& part : parts) {
      co_await asio::async_write(socket, asio::buffer(part), asio::use_awaitable);
      pause.expires_after(milliseconds{200});
      co_await pause.async_wait(asio::use_awaitable);
    }
  };
  const auto run = [&]() -> asio::awaitable<void> {
    cancellation never_cancelled;
    exchange_request request;
    request.head = "GET / HTTP/1.1\r\nHost: a\r\n";
    request.deadline = boot_now() + std::chrono::seconds{5};
    const auto to = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    outcome = co_await run_exchange(pool, to, std::move(request), never_cancelled);
    asio::steady_timer pause(context);
    while (!outcome.body->complete() && !outcome.body->failed()) {
      received += outcome.body->take().size();
      pause.expires_after(milliseconds{10});
      co_await pause.async_wait(asio::use_awaitable);
    }
    received += outcome.body->take().size();
  };
  asio::co_spawn(context, serve(), asio::detached);
  asio::co_spawn(context, run(), asio::detached);
  context.run_for(std::chrono::seconds{3});
  return received;
}

}  // namespace

// An agent that streamed such an answer kept its core busy for good and served nobody.
Test(client, hands_back_the_processor_while_half_a_chunk_line_has_arrived, .timeout = 10) {
  expect_equal(streamed_with_split_chunk_line(), body_pipe::buffered_max + 2);
}

namespace {

/// Sends a request whose body starts with `start` and goes on without end. Returns the bytes taken.
std::size_t taken_of_endless_request(const std::string& start, std::string_view repeated) {
  asio::io_context context;
  std::shared_ptr<server_request> held;
  http_server server(context.get_executor(),
                     [&held](std::shared_ptr<server_request> request) { held = request; });
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto address = probe.local_endpoint();
  probe.close();
  expect_equal(server.start("127.0.0.1:" + std::to_string(address.port())), "");
  std::string unit;
  while (unit.size() < 64 * 1024) unit += repeated;
  std::size_t sent = 0;
  const auto client = [&]() -> asio::awaitable<void> {
    tcp::socket socket(context);
    co_await socket.async_connect(address, asio::use_awaitable);
    const std::string head =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + start;
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    boost::system::error_code error;
    while (!error)
      sent += co_await asio::async_write(socket, asio::buffer(unit),
                                         asio::redirect_error(asio::use_awaitable, error));
  };
  asio::co_spawn(context, client(), asio::detached);
  context.run_for(std::chrono::seconds{1});
  return sent;
}

}  // namespace

Test(server, keeps_no_endless_chunk_line_or_trailers) {
  expect_true(taken_of_endless_request("1;", "a") <= held_max);
  expect_true(taken_of_endless_request("0\r\n", "A: a\r\n") <= held_max);
}
