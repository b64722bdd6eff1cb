#include <sys/resource.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "expect.h"
#include "fleet/internal/http_client.h"
#include "fleet/internal/http_server.h"
#include "fleet/scripted_peer.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr duration wait_limit = std::chrono::seconds{20};

std::string stated_id(const answer_head& head) {
  const auto found = head.find("Id");
  return found == head.end() ? std::string{} : std::string(found->value());
}

std::string answer(std::string_view body, std::string_view id = "") {
  std::string text = "HTTP/1.1 200 OK\r\n";
  if (!id.empty()) text.append("Id: ").append(id).append("\r\n");
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/// Runs `count` exchanges one after the other against a peer with scripted `answers`. Returns their
/// outcomes.
std::vector<exchange_outcome> exchanges(const std::vector<std::string>& answers, std::size_t count,
                                        const std::string& id = "", int* connections = nullptr,
                                        duration time = wait_limit) {
  asio::io_context context;
  scripted_peer peer(context, answers);
  connection_pool pool(context.get_executor(), {});
  std::vector<exchange_outcome> outcomes;
  const auto run = [&]() -> asio::awaitable<void> {
    for (std::size_t i = 0; i < count; ++i) {
      cancellation never_cancelled;
      exchange_request request;
      request.head = "GET / HTTP/1.1\r\nHost: a\r\n";
      request.id = id;
      request.id_of = &stated_id;
      request.deadline = boot_now() + time;
      auto outcome =
          co_await run_exchange(pool, peer.address(), std::move(request), never_cancelled);
      outcomes.push_back(std::move(outcome));
    }
    context.stop();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  if (connections != nullptr) *connections = peer.connections;
  return outcomes;
}

using handler_with_server =
    std::function<void(const std::shared_ptr<server_request>&, http_server&)>;

/// Sends `bytes` to a server with `handler` and returns all bytes received until the end.
std::string exchange_bytes_with_server(const std::string& bytes,
                                       const handler_with_server& handler) {
  asio::io_context context;
  http_server server(context.get_executor(),
                     [&](const auto& request) { handler(request, server); });
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto address = probe.local_endpoint();
  probe.close();
  const auto error_text = server.start("127.0.0.1:" + std::to_string(address.port()));
  expect_equal(error_text, "");
  std::string received;
  const auto client = [&]() -> asio::awaitable<void> {
    tcp::socket socket(context);
    co_await socket.async_connect(address, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error) {
      const auto got = co_await socket.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      received.append(buffer.data(), got);
    }
    context.stop();
  };
  asio::co_spawn(context, client(), asio::detached);
  context.run();
  return received;
}

std::string exchange_bytes(const std::string& bytes, const request_handler& handler) {
  return exchange_bytes_with_server(bytes, [&](const auto& request, auto&) { handler(request); });
}

/// Runs an exchange with an address where no server listens.
exchange_outcome exchange_with_closed_port() {
  asio::io_context context;
  connection_pool pool(context.get_executor(), {});
  exchange_outcome outcome;
  const auto run = [&]() -> asio::awaitable<void> {
    cancellation never_cancelled;
    exchange_request request;
    request.head = "GET / HTTP/1.1\r\n";
    request.deadline = boot_now() + wait_limit;
    outcome = co_await run_exchange(pool, "127.0.0.1:1", std::move(request), never_cancelled);
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  return outcome;
}

/// Sends a request and closes its connection. Returns whether the request was cancelled.
bool request_is_cancelled_on_disconnect() {
  asio::io_context context;
  std::shared_ptr<server_request> held;
  http_server server(context.get_executor(), [&held](std::shared_ptr<server_request> request) {
    held = std::move(request);
  });
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto address = probe.local_endpoint();
  probe.close();
  expect_equal(server.start("127.0.0.1:" + std::to_string(address.port())), "");
  bool cancelled = false;
  const auto client = [&]() -> asio::awaitable<void> {
    tcp::socket socket(context);
    co_await socket.async_connect(address, asio::use_awaitable);
    const std::string bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    while (!held) co_await asio::post(context, asio::use_awaitable);
    held->cancel.on_request([&] {
      cancelled = true;
      context.stop();
    });
    socket.close();
  };
  asio::co_spawn(context, client(), asio::detached);
  context.run();
  return cancelled;
}

/// Closes a server gracefully while a connection is idle, and sends another request over that
/// connection. Returns the number of requests that reached the handler.
int requests_seen_around_graceful_close() {
  asio::io_context context;
  int seen = 0;
  http_server server(context.get_executor(), [&seen](const auto& request) {
    ++seen;
    request->respond({.text = "first"});
  });
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto address = probe.local_endpoint();
  probe.close();
  expect_equal(server.start("127.0.0.1:" + std::to_string(address.port())), "");
  const auto client = [&]() -> asio::awaitable<void> {
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    tcp::socket socket(context);
    co_await socket.async_connect(address, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    std::array<char, 4096> buffer{};
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
    server.close_gracefully();
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    constexpr int loop_turns = 500;  // turns of the event loop in which the server reads the bytes
    for (int i = 0; i < loop_turns; ++i) co_await asio::post(context, asio::use_awaitable);
    context.stop();
  };
  asio::co_spawn(context, client(), asio::detached);
  context.run();
  return seen;
}

/// The result of an exchange with a large body and a server whose handler sends 100 Continue.
struct body_exchange {
  exchange_outcome outcome;
  std::uint64_t received = 0;  ///< Bytes of the body that the server received.
};

/// Sends a body of `bytes` for which the server's `handler` must send 100 Continue within
/// `continue_limit`.
body_exchange exchange_with_body(std::size_t bytes, duration continue_limit,
                                 const request_handler& handler) {
  asio::io_context context;
  std::shared_ptr<server_request> seen;
  http_server server(context.get_executor(), [&](std::shared_ptr<server_request> request) {
    seen = request;
    handler(std::move(request));
  });
  server_limits limits;
  limits.handler_sends_continue = true;
  server.set_limits(limits);
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  probe.close();
  expect_equal(server.start(address), "");
  connection_pool pool(context.get_executor(), {});
  body_exchange result;
  const auto run = [&]() -> asio::awaitable<void> {
    cancellation never_cancelled;
    exchange_request request;
    request.head = "POST / HTTP/1.1\r\nHost: a\r\n";
    request.body = std::make_shared<body_pipe>();
    request.body->append(std::string(bytes, 'x'));
    request.body->finish();
    request.continue_deadline = boot_now() + continue_limit;
    request.deadline = boot_now() + wait_limit;
    result.outcome = co_await run_exchange(pool, address, std::move(request), never_cancelled);
    context.stop();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  if (seen) result.received = seen->body->received();
  return result;
}

}  // namespace

Test(exchange, returns_a_complete_answer) {
  const auto outcomes = exchanges({answer("hello")}, 1);
  expect_true(outcomes[0].result == exchange_result::answered);
  expect_equal(outcomes[0].body->buffered(), "hello");
}

Test(exchange, reuses_a_connection_after_a_complete_answer) {
  int connections = 0;
  const auto outcomes = exchanges({answer("a"), answer("b")}, 2, "", &connections);
  expect_true(outcomes[1].reused);
  expect_equal(connections, 1);
}

Test(exchange, a_truncated_answer_is_broken) {
  const auto outcomes = exchanges({"HTTP/1.1 200 OK\r\nX: Content-Lengt\r\nContent-Length"
                                   ": 10\r\n\r\nhalf"},
                                  1, "", nullptr, std::chrono::milliseconds{300});
  expect_true(outcomes[0].result == exchange_result::broken ||
              outcomes[0].result == exchange_result::timed_out);
}

Test(exchange, a_closed_connection_without_an_answer_is_broken) {
  expect_true(exchanges({""}, 1)[0].result == exchange_result::broken);
}

Test(exchange, bytes_that_are_no_answer_are_malformed) {
  expect_true(exchanges({"ABRACADABRA\r\n\r\n"}, 1)[0].result == exchange_result::malformed);
}

Test(exchange, an_answer_without_a_length_ends_with_its_connection) {
  const auto outcomes = exchanges({"HTTP/1.1 200 OK\r\n\r\nall of it"}, 1);
  expect_true(outcomes[0].result == exchange_result::answered);
  expect_equal(outcomes[0].body->buffered(), "all of it");
}

Test(exchange, the_answer_of_another_request_is_skipped) {
  const auto outcomes = exchanges({answer("stray", "other") + answer("mine", "me")}, 1, "me");
  expect_true(outcomes[0].result == exchange_result::answered);
  expect_equal(outcomes[0].body->buffered(), "mine");
}

Test(exchange, a_connection_with_bytes_after_the_answer_is_not_reused) {
  int connections = 0;
  exchanges({answer("a", "me") + answer("extra", "me"), answer("b", "me")}, 2, "me", &connections);
  expect_equal(connections, 2);
}

Test(exchange, an_unresponsive_peer_times_out) {
  const auto outcomes = exchanges({answer("a"), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"}, 2,
                                  "", nullptr, std::chrono::milliseconds{200});
  expect_true(outcomes[1].result == exchange_result::timed_out);
}

Test(exchange, a_closed_port_means_nothing_was_sent) {
  expect_true(exchange_with_closed_port().result == exchange_result::not_connected);
}

Test(exchange, a_large_body_is_sent_after_100_continue) {
  constexpr std::size_t bytes = 200'000;
  const auto result = exchange_with_body(bytes, wait_limit, [](const auto& request) {
    expect_true(request->awaits_continue());
    request->body->on_change([request] {
      if (request->body->complete()) request->respond({.text = "got it"});
    });
    request->send_continue();
  });
  expect_true(result.outcome.result == exchange_result::answered);
  expect_equal(result.outcome.body->buffered(), "got it");
  expect_equal(result.received, bytes);
}

Test(exchange, after_a_refusal_without_100_continue_the_body_is_not_sent) {
  const auto result = exchange_with_body(
      200'000, wait_limit, [](const auto& request) { request->respond({.status = 503}); });
  expect_true(result.outcome.result == exchange_result::answered);
  expect_equal(result.outcome.status, 503U);
  expect_equal(result.received, 0U);
}

Test(exchange, without_100_continue_in_time_the_body_is_not_sent) {
  const auto result =
      exchange_with_body(200'000, std::chrono::milliseconds{100}, [](const auto&) {});
  expect_true(result.outcome.result == exchange_result::too_late);
  expect_equal(result.received, 0U);
}

Test(server, answers_pipelined_requests_in_their_order) {
  std::vector<std::shared_ptr<server_request>> held;
  const auto received = exchange_bytes(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
      [&held](std::shared_ptr<server_request> request) {
        held.push_back(std::move(request));
        if (held.size() < 2) return;
        held[1]->respond({.text = "second"});
        held[0]->respond({.text = "first"});
      });
  expect_true(received.find("first") < received.find("second"), received);
  expect_true(received.find("second") != std::string::npos, received);
}

Test(server, receives_a_complete_chunked_body) {
  const auto received = exchange_bytes(
      "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      [](const std::shared_ptr<server_request>& request) {
        request->body->on_change([request] {
          if (request->body->complete()) request->respond({.text = request->body->buffered()});
        });
        if (request->body->complete()) request->respond({.text = request->body->buffered()});
      });
  expect_true(received.find("abcde") != std::string::npos, received);
}

Test(server, refuses_bytes_that_are_no_request) {
  const auto received = exchange_bytes("NONSENSE\r\n\r\n", [](const auto&) {});
  expect_true(received.starts_with("HTTP/1.1 400"), received);
}

Test(server, a_truncated_answer_does_not_look_complete) {
  const auto received =
      exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n", [](const auto& request) {
        auto body = std::make_shared<body_pipe>();
        body->announce(2 * body_pipe::buffered_max);
        body->append(std::string(body_pipe::buffered_max, 'x'));
        request->respond({.body = body});
        body->fail();
      });
  expect_true(received.size() < 2 * body_pipe::buffered_max);
  expect_true(received.find("Content-Length: 1048576") != std::string::npos);
}

Test(server, ignores_a_request_that_arrives_after_a_graceful_close) {
  expect_equal(requests_seen_around_graceful_close(), 1);
}

Test(server, answers_all_pipelined_requests_before_it_closes_gracefully) {
  std::vector<std::shared_ptr<server_request>> held;
  const auto received = exchange_bytes_with_server(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
      [&held](const auto& request, http_server& server) {
        held.push_back(request);
        if (held.size() < 2) return;
        server.close_gracefully();
        held[0]->respond({.text = "first"});
        held[1]->respond({.text = "second"});
      });
  const auto close = received.find("Connection: close");
  expect_true(received.find("first") < close && close < received.find("second"), received);
  expect_true(received.find("second") != std::string::npos, received);
}

Test(server, cancels_a_request_whose_sender_disconnected) {
  expect_true(request_is_cancelled_on_disconnect());
}

Test(server, passes_on_no_request_whose_sender_had_left_before_it_was_read) {
  asio::io_context context;
  int handled = 0;
  http_server server(context.get_executor(), [&handled](const auto&) { ++handled; });
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto address = probe.local_endpoint();
  probe.close();
  expect_equal(server.start("127.0.0.1:" + std::to_string(address.port())), "");
  {
    tcp::socket sender(context);
    sender.connect(address);
    asio::write(sender, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  }
  // The request and the end of the connection have arrived before the server reads either.
  context.run_for(std::chrono::milliseconds{200});
  expect_equal(handled, 0);
}

namespace {

/// Returns the processor time that a second takes while more callers connect than descriptors are
/// left to accept them.
duration processor_time_without_descriptors() {
  asio::io_context context;
  http_server server(context.get_executor(), [](std::shared_ptr<server_request>) {});
  tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto address = probe.local_endpoint();
  probe.close();
  expect_equal(server.start("127.0.0.1:" + std::to_string(address.port())), "");
  std::vector<tcp::socket> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back(context);
    callers.back().connect(address);
  }
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = static_cast<rlim_t>(callers.back().native_handle()) + 5;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const auto used = [] {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto microseconds = [](const timeval& time) {
      return std::chrono::seconds{time.tv_sec} + std::chrono::microseconds{time.tv_usec};
    };
    return microseconds(usage.ru_utime) + microseconds(usage.ru_stime);
  };
  const auto before = used();
  context.run_for(std::chrono::seconds{1});
  return used() - before;
}

}  // namespace

Test(server, hands_back_the_processor_while_descriptors_are_used_up) {
  expect_true(processor_time_without_descriptors() < std::chrono::milliseconds{200});
}
