#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>

#include "expect.h"
#include "fleet/internal/http_client.h"
#include "fleet/internal/http_server.h"
#include "fleet/internal/store_client.h"
#include "masticshunt/fleet/settings.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr duration wait_limit = std::chrono::seconds{20};
constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";

}  // namespace

namespace {

/// Reads the body of each request only `pause` after its head, so that the connection fills up.
struct late_reader {
  asio::steady_timer timer;
  duration pause;
  std::size_t received = 0;

  void handle(std::shared_ptr<server_request> request) {
    timer.expires_after(pause);
    timer.async_wait([this, request](const auto&) {
      request->body->on_change([this, request] { take(*request); });
      take(*request);
    });
  }
  void take(server_request& request) {
    received += request.body->take().size();
    if (request.body->complete()) request.respond({.text = "done"});
  }
};

/// Sends `bytes` to a peer that reads them after `pause`, over connections with `user_timeout`.
exchange_outcome upload_to_late_reader(std::size_t bytes, duration pause, duration user_timeout) {
  asio::io_context context;
  late_reader reader{asio::steady_timer(context), pause};
  http_server server(context.get_executor(),
                     [&reader](auto request) { reader.handle(std::move(request)); });
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const endpoint address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  probe.close();
  expect_equal(server.start(address), "");
  connection_pool pool(context.get_executor(), {.user_timeout = user_timeout});
  exchange_outcome outcome;
  const auto run = [&]() -> asio::awaitable<void> {
    exchange_request request;
    request.head = "PUT / HTTP/1.1\r\nHost: a\r\n";
    request.body = std::make_shared<body_pipe>();
    request.body->append(std::string(bytes, 'b'));
    request.body->finish();
    request.deadline = boot_now() + wait_limit;
    cancellation never_cancelled;
    outcome = co_await run_exchange(pool, address, std::move(request), never_cancelled);
    context.stop();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  expect_equal(reader.received, bytes);
  return outcome;
}

}  // namespace

Test(client, a_peer_that_reads_a_body_late_is_not_taken_for_lost) {
  constexpr std::size_t body_bytes = 32 * 1024 * 1024;
  constexpr duration user_timeout = std::chrono::milliseconds{300};
  const auto outcome = upload_to_late_reader(body_bytes, 5 * user_timeout, user_timeout);
  expect_true(outcome.result == exchange_result::answered, outcome.detail);
}

namespace {

/// A peer whose first connections fall silent after one answer each, as if their packets were lost
/// from then on; later connections are answered always.
struct falling_silent_peer {
  std::size_t falling_silent;
  tcp::acceptor acceptor;
  std::size_t connections = 0;
  std::size_t answered = 0;

  falling_silent_peer(asio::io_context& context, std::size_t count)
      : falling_silent(count),
        acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

  asio::awaitable<void> accept() {
    for (;;) {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(acceptor.get_executor(),
                     serve(std::move(socket), ++connections <= falling_silent), asio::detached);
    }
  }
  asio::awaitable<void> serve(tcp::socket socket, bool falls_silent) {
    std::string received;
    for (;;) {
      co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                      asio::use_awaitable);
      received.clear();
      // All of the first connections are opened before the first one is answered.
      asio::steady_timer pause(acceptor.get_executor(), std::chrono::milliseconds{50});
      co_await pause.async_wait(asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
      ++answered;
      if (falls_silent) co_await socket.async_wait(tcp::socket::wait_error, asio::use_awaitable);
    }
  }
};

/// Returns how many of two exchanges, one after the other, end in time after the idle connections
/// of a pool have fallen silent.
int answered_after_silence(std::size_t idle) {
  asio::io_context context;
  falling_silent_peer peer(context, idle);
  connection_pool pool(context.get_executor(), {});
  const endpoint to = "127.0.0.1:" + std::to_string(peer.acceptor.local_endpoint().port());
  asio::co_spawn(context, peer.accept(), asio::detached);
  const auto exchange = [&](duration time) -> asio::awaitable<exchange_result> {
    cancellation never_cancelled;
    exchange_request request;
    request.head = "GET / HTTP/1.1\r\nHost: a\r\n";
    request.deadline = boot_now() + time;
    co_return (co_await run_exchange(pool, to, std::move(request), never_cancelled)).result;
  };
  for (std::size_t i = 0; i < idle; ++i)
    asio::co_spawn(context, exchange(wait_limit), [](const auto&, auto) {});
  while (peer.answered < idle) context.run_for(std::chrono::milliseconds{10});
  context.run_for(std::chrono::milliseconds{200});  // Until the pool has them back.
  int answered = 0;
  const auto run = [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 2; ++i)
      if (co_await exchange(std::chrono::milliseconds{500}) == exchange_result::answered)
        ++answered;
    context.stop();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  return answered;
}

}  // namespace

Test(client, gives_up_idle_connections_that_fell_silent_with_the_one_in_use) {
  expect_equal(answered_after_silence(3), 1);
}

namespace {

/// Returns when the kernel ends a silent connection of a pool with `limits`.
std::chrono::seconds silence_until_end(const pool_limits& limits) {
  asio::io_context context;
  tcp::acceptor listener(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  connection_pool pool(context.get_executor(), limits);
  connection_ptr connection;
  const auto open = [&]() -> asio::awaitable<void> {
    cancellation never_cancelled;
    connection =
        co_await pool.acquire("127.0.0.1:" + std::to_string(listener.local_endpoint().port()),
                              boot_now() + wait_limit, never_cancelled);
  };
  asio::co_spawn(context, open(), asio::detached);
  context.run();
  const auto option = [&connection](int name) {
    int value = 0;
    socklen_t size = sizeof value;
    ::getsockopt(connection->socket.native_handle(), IPPROTO_TCP, name, &value, &size);
    return value;
  };
  return std::chrono::seconds{option(TCP_KEEPIDLE) + option(TCP_KEEPINTVL) * option(TCP_KEEPCNT)};
}

}  // namespace

Test(store_connections, that_fall_silent_end_within_the_time_for_a_new_desired_state) {
  expect_true(silence_until_end(store_connections) <= fleet_settings{}.config);
}

namespace {

void ignore_request(std::shared_ptr<server_request> /*request*/) {}

/// Opens a connection and listens at the port that it comes from. Returns the listener's failure.
std::string listen_where_connection_comes_from() {
  asio::io_context context;
  tcp::acceptor peer(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  connection_pool pool(context.get_executor(), {});
  connection_ptr connection;
  const auto open = [&]() -> asio::awaitable<void> {
    cancellation never_cancelled;
    connection = co_await pool.acquire("127.0.0.1:" + std::to_string(peer.local_endpoint().port()),
                                       boot_now() + wait_limit, never_cancelled);
  };
  asio::co_spawn(context, open(), asio::detached);
  context.run();
  http_server server(context.get_executor(), &ignore_request);
  const auto port = connection->socket.local_endpoint().port();
  return server.start("127.0.0.1:" + std::to_string(port));
}

}  // namespace

Test(client, leaves_the_port_that_it_connects_from_to_a_listener) {
  expect_equal(listen_where_connection_comes_from(), "");
}
