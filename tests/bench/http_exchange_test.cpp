#include "bench/internal/http_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "bench/internal/answer_check.h"
#include "broken_answers/scripted_target.h"
#include "expect.h"
#include "fleet/loopback.h"

using namespace masticshunt;
using namespace masticshunt::bench;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

namespace {

/// Sends a request with a body of `body_bytes` to a target that answers with `answer`.
incoming_answer answer_of(const scripted_answer& answer, std::uint64_t body_bytes) {
  boost::asio::io_context context;
  const endpoint address = loopback_net() + "100:7510";
  scripted_target target(context, address);
  target.answer_with(answer);
  boost::system::error_code error;
  connection_pool pool(boost::asio::make_strand(context), fleet::tcp_endpoint(address, error), 1);
  const outgoing_request request{
      .method = "PUT", .target = "/s/a/b", .request_id = "1", .body_bytes = body_bytes};
  incoming_answer received;
  const auto run = [&]() -> awaitable<void> {
    const auto until = std::chrono::steady_clock::now() + milliseconds{2'000};
    auto connection = co_await pool.acquire(until);
    received = co_await exchange(*connection, request, until);
    context.stop();
  };
  boost::asio::co_spawn(boost::asio::make_strand(context), run(), boost::asio::detached);
  context.run();
  return received;
}

constexpr std::uint64_t long_upload = 32 * 1024 * 1024;

}  // namespace

Test(load_tool, takes_no_answer_for_whole_whose_connection_was_reset_during_an_upload) {
  for (const auto pause : {0, 3, 30, 150}) {
    for (int round = 0; round < 5; ++round) {
      const auto received = answer_of(
          {"HTTP/1.1 200 OK\r\n\r\npart of", ending::reset, milliseconds{pause}}, long_upload);
      expect_false(received.complete, std::to_string(received.body_bytes) + " bytes");
    }
  }
}

Test(load_tool, takes_an_answer_that_ends_in_order_for_whole) {
  const auto received =
      answer_of({"HTTP/1.1 200 OK\r\n\r\nall of it", ending::half_close}, long_upload);
  expect_true(received.complete);
  expect_equal(received.text, "all of it");
}

Test(load_tool, counts_an_answer_with_status_000_as_truncated) {
  const auto received = answer_of(
      {"HTTP/1.1 000 Trouble\r\nMasticshunt-Outcome: not-run\r\nContent-Length: 2\r\n\r\n{}"}, 0);
  std::string reason;
  expect_equal(classify_answer({}, received, reason), attempt_outcome::truncated, reason);
}

Test(load_tool, counts_an_answer_with_a_broken_name_as_truncated) {
  for (const auto* line : {"X Odd: 1", "X-Odd : 1", "X\001Odd: 1", "Content-Length : 2"}) {
    const auto received =
        answer_of({"HTTP/1.1 200 OK\r\n" + std::string(line) +
                   "\r\nMasticshunt-Outcome: not-run\r\nContent-Length: 2\r\n\r\n{}"},
                  0);
    std::string reason;
    expect_equal(classify_answer({}, received, reason), attempt_outcome::truncated, line);
  }
}

Test(load_tool, does_not_reuse_a_connection_with_bytes_after_the_answer) {
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  expect_true(answer_of({whole}, 0).keep_alive);
  expect_false(answer_of({whole + whole}, 0).keep_alive);
}
